//! The health check for the load balancer in front of the nodes.

use hyper::{Method, Response, StatusCode};

use crate::body::ResponseBody;
use crate::downstream::responses::plain;
use crate::lifecycle::Lifecycle;

/// Path of the health check.
pub const PATH: &str = "/_health";

/// Returns the response to a health check.
pub fn respond(method: &Method, lifecycle: &Lifecycle) -> Response<ResponseBody> {
    if method != Method::GET && method != Method::HEAD {
        return plain(StatusCode::METHOD_NOT_ALLOWED, "GET only");
    }
    match lifecycle.passes_health_check() {
        true => plain(StatusCode::OK, "ok"),
        false => plain(StatusCode::SERVICE_UNAVAILABLE, "not serving"),
    }
}
