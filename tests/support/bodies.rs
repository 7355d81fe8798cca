//! Request and response bodies.

/// Returns pseudo-random bytes, so that a comparison detects lost, repeated and reordered parts.
pub fn random_bytes(length: usize) -> Vec<u8> {
    let mut random = fastrand::Rng::with_seed(length as u64);
    std::iter::repeat_with(|| random.u8(..)).take(length).collect()
}

/// Returns a chunk of a chunked body with this content.
pub fn chunk(content: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", content.len()).as_bytes(), content, b"\r\n"].concat()
}

/// Returns a 200 response with these header lines and this body.
pub fn ok_with_body(headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
