//! Headers that the node itself reads or writes.

use hyper::header::{self, HeaderMap, HeaderName};

/// `Req-Id`: identifies a request. Clients should use a new one for each request, including each retry. The
/// node rejects a repeated one while the other request is open, and for some time after its client has left
/// if it must not be executed twice.
pub const REQ_ID: HeaderName = HeaderName::from_static("req-id");
/// `Idempotency-Key`: the key by which endpoints recognise a retry, in classes that have one.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `Req-Deadline`: how long the sender waits for the response, in seconds with decimals.
pub const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
/// `Req-Owner`: the name of the tenant in the settings.
pub const REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
/// `Req-Cost`: the estimated work, in microseconds.
pub const REQ_COST: HeaderName = HeaderName::from_static("req-cost");
/// `Srv-Declined`: with the value `1` on a response, the endpoint rejected the request without executing it.
pub const SRV_DECLINED: HeaderName = HeaderName::from_static("srv-declined");

/// Headers that concern one connection, or the framing of a message on it, even if `Connection` does not name
/// them.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes the headers that concern one connection and not the message: those in [`HOP_BY_HOP_HEADERS`], and
/// those that `Connection` names.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    for name in connection_options(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Returns the headers that `Connection` names, except those that identify the request. Without its
/// idempotency key, a request could be executed twice, so these headers are forwarded even if a client names
/// them there.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(',')).filter_map(|name| name.trim().parse().ok());
    names.filter(|name| *name != REQ_ID && *name != IDEMPOTENCY_KEY).collect()
}
