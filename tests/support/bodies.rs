//! Bodies of requests and responses.

/// So many bytes, of which no two pieces are alike.
pub fn varied(length: usize) -> Vec<u8> {
    let mut dice = fastrand::Rng::with_seed(length as u64);
    std::iter::repeat_with(|| dice.u8(..)).take(length).collect()
}

pub fn sized(headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
