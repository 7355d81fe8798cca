//! A response is used only if its end is stated, and in one way.

use hyper::header::HeaderName;

use super::*;

fn framing_of(headers: &[(&'static str, &'static str)]) -> Option<ResponseFraming> {
    let headers = headers
        .iter()
        .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)))
        .fold(HeaderMap::new(), |mut headers, (name, value)| {
            headers.append(name, value);
            headers
        });
    ResponseFraming::of(&headers)
}

#[test]
fn a_length_or_chunks_delimit_a_response() {
    for headers in [
        &[("content-length", "5")][..],
        &[("transfer-encoding", "chunked")],
        &[("transfer-encoding", "Chunked"), ("connection", "close")],
    ] {
        let framing = framing_of(headers);
        assert!(framing.is_some_and(ResponseFraming::keeps_connection), "{headers:?}");
    }
}

#[test]
fn without_either_a_response_ends_with_its_connection_if_it_says_so() {
    for headers in [&[("connection", "close")][..], &[("connection", "keep-alive, CLOSE ")]] {
        let framing = framing_of(headers);
        assert!(framing.is_some_and(|framing| !framing.keeps_connection()), "{headers:?}");
    }
}

#[test]
fn a_response_without_framing_or_with_ambiguous_framing_has_none() {
    for headers in [
        &[][..],
        &[("connection", "keep-alive")],
        &[("connection", "closed")],
        &[("content-length", "5"), ("transfer-encoding", "chunked")],
        &[("transfer-encoding", "gzip, chunked")],
        &[("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")],
        &[("transfer-encoding", "identity"), ("connection", "close")],
    ] {
        assert!(framing_of(headers).is_none(), "{headers:?}");
    }
}
