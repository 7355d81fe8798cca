//! Bodies of requests and responses.

/// Pseudo-random bytes, so that a piece lost, doubled or out of order shows.
pub fn random_bytes(length: usize) -> Vec<u8> {
    let mut random = fastrand::Rng::with_seed(length as u64);
    std::iter::repeat_with(|| random.u8(..)).take(length).collect()
}

/// A 200 response with this body.
pub fn ok_with_body(headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
