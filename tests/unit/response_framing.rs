//! Detection of the framing of responses. Missing, ambiguous and unsupported framing is not recognized.

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
fn content_length_or_chunked_encoding_delimits_a_response() {
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
fn connection_close_delimits_a_response_without_length_or_chunked_encoding() {
    for headers in [&[("connection", "close")][..], &[("connection", "keep-alive, CLOSE ")]] {
        let framing = framing_of(headers);
        assert!(framing.is_some_and(|framing| !framing.keeps_connection()), "{headers:?}");
    }
}

#[test]
fn missing_ambiguous_or_unsupported_framing_is_not_recognized() {
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
