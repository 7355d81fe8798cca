//! The framer finds the head of each request in whatever pieces it is read.

use super::*;

const HEAD: &[u8] = b"\r\n\r\nPOST /x HTTP/1.1\r\nHost: n\r\nCoNtEnT-LeNgTh: 5\r\n\r\n";

#[test]
fn a_head_that_comes_byte_by_byte_is_followed_to_its_end() {
    let mut framer = MessageFramer::new();
    for (read, byte) in HEAD.iter().enumerate() {
        // The two empty lines before the head do not count.
        assert_eq!(framer.has_started(), read > 4, "after {read} bytes");
        assert!(framer.may_have_content_length(), "after {read} bytes");
        framer.push(&[*byte]);
    }
    assert!(framer.has_started());
    assert_eq!(framer.head_started_at(), None);
    assert!(framer.may_have_content_length());
}

#[test]
fn only_a_line_that_begins_with_the_header_states_a_length() {
    let mut framer = MessageFramer::new();
    framer.push(
        b"POST /x HTTP/1.1\r\nX-Content-Length: 5\r\nContent-Lengths: 5\r\nExpect: content-length:\r\n\r\n",
    );
    assert!(!framer.may_have_content_length());
}

#[test]
fn requests_stay_apart_as_long_as_each_ends_where_its_length_says() {
    let mut framer = MessageFramer::new();
    framer.push(HEAD);
    framer.push(b"hel");
    framer.push(b"lo");
    framer.complete(Some(5));
    assert!(!framer.has_started());
    framer.push(b"GET / HTTP/1.1\r\n\r\n");
    assert!(!framer.may_have_content_length());
}

#[test]
fn after_a_body_of_unknown_or_other_length_any_request_may_state_one() {
    for body_length in [None, Some(4), Some(6)] {
        let mut framer = MessageFramer::new();
        framer.push(HEAD);
        framer.push(b"hello");
        framer.complete(body_length);
        for _ in 0..2 {
            framer.push(b"GET / HTTP/1.1\r\n\r\n");
            assert!(framer.may_have_content_length(), "{body_length:?}");
            framer.complete(Some(0));
        }
    }
}
