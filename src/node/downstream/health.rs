//! The health check of the front that spreads connections over the nodes.

use hyper::{Method, Response, StatusCode};

use crate::body::ResponseBody;
use crate::downstream::responses::plain;
use crate::lifecycle::Lifecycle;

/// The path of the health check.
pub const PATH: &str = "/_health";

/// The response to a health check.
pub fn respond(method: &Method, lifecycle: &Lifecycle) -> Response<ResponseBody> {
    if method != Method::GET && method != Method::HEAD {
        return plain(StatusCode::METHOD_NOT_ALLOWED, "GET only");
    }
    match lifecycle.passes_health_check() {
        true => plain(StatusCode::OK, "ok"),
        false => plain(StatusCode::SERVICE_UNAVAILABLE, "not serving"),
    }
}
