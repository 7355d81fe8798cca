//! Serialized requests.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Health check as the load balancer in front of the nodes sends it.
pub const HEALTH_REQUEST: &[u8] = b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n";

/// Returns a request to the admin API.
pub fn admin_request(method: &str, path: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nHost: n\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Returns a request with a unique id and these additional header lines.
pub fn request(method: &str, path: &str, deadline: &str, extra_headers: &str, body: &str) -> Vec<u8> {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let id = format!("9b1f03aa{:08x}", NUMBER.fetch_add(1, Ordering::SeqCst));
    request_with_id(&id, method, path, deadline, extra_headers, body)
}

/// Returns a request with this id and these additional header lines.
pub fn request_with_id(
    id: &str,
    method: &str,
    path: &str,
    deadline: &str,
    extra_headers: &str,
    body: &str,
) -> Vec<u8> {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n\
         Req-Deadline: {deadline}\r\n{extra_headers}{length}\r\n{body}"
    )
    .into_bytes()
}

/// Sleeps for 200 ms. On an idle machine this is far longer than the node needs to read what has arrived, and
/// far longer than the idle time of 10 ms after which an upstream connection may be reused.
pub fn pause_200_ms() {
    thread::sleep(Duration::from_millis(200));
}

/// Returns a request of the idempotent class.
pub fn view_request() -> Vec<u8> {
    request("GET", "/view/7f3a?x=1", "14.0", "", "")
}

/// Returns a request of the class that is idempotent with an idempotency key.
pub fn submit_request() -> Vec<u8> {
    request("POST", "/submit/7f3a", "14.0", "Idempotency-Key: 5c0f6e1a\r\n", "value")
}

/// Returns a request of the non-idempotent class.
pub fn order_request() -> Vec<u8> {
    request("POST", "/order/7f3a", "14.0", "", "xyz")
}

/// Returns a small request of each class with this deadline.
pub fn requests_of_each_class(deadline: &str) -> [Vec<u8>; 3] {
    [
        request("GET", "/view/1", deadline, "", ""),
        request("POST", "/submit/1", deadline, "Idempotency-Key: 1\r\n", "value"),
        request("POST", "/order/1", deadline, "", "xyz"),
    ]
}

/// Returns the head of a request, without a `Content-Length` except as part of `extra_headers`.
pub fn request_head(method: &str, path: &str, extra_headers: &str) -> Vec<u8> {
    request_head_with_deadline(method, path, "14.0", extra_headers)
}

/// Returns the head of a request with this deadline, without a `Content-Length` except as part of
/// `extra_headers`.
pub fn request_head_with_deadline(method: &str, path: &str, deadline: &str, extra_headers: &str) -> Vec<u8> {
    let text = String::from_utf8(request("GET", path, deadline, extra_headers, "")).unwrap();
    text.replacen("GET", method, 1).into_bytes()
}
