//! Unit tests of the message framer: it finds the head of each request, in any division into reads.

use super::*;

const HEAD: &[u8] = b"\r\n\r\nPOST /x HTTP/1.1\r\nHost: n\r\nCoNtEnT-LeNgTh: 5\r\n\r\n";

#[test]
fn finds_the_end_of_a_head_that_arrives_byte_by_byte() {
    let mut framer = MessageFramer::new();
    for (read, byte) in HEAD.iter().enumerate() {
        // The two empty lines before the head are not part of the request.
        assert_eq!(framer.has_started(), read > 4, "after {read} bytes");
        assert!(framer.may_have_content_length(), "after {read} bytes");
        framer.push(&[*byte]);
    }
    assert!(framer.has_started());
    assert_eq!(framer.head_started_at(), None);
    assert!(framer.may_have_content_length());
}

#[test]
fn recognizes_only_the_exact_content_length_header() {
    let mut framer = MessageFramer::new();
    framer.push(
        b"POST /x HTTP/1.1\r\nX-Content-Length: 5\r\nContent-Lengths: 5\r\nExpect: content-length:\r\n\r\n",
    );
    assert!(!framer.may_have_content_length());
}

#[test]
fn separates_requests_that_end_at_their_stated_length() {
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
fn assumes_a_content_length_after_a_body_of_unknown_or_wrong_length() {
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
