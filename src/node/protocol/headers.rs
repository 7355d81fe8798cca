//! The headers of the protocol that the node reads or writes itself.

use hyper::header::{self, HeaderMap, HeaderName};

/// `Req-Id`: identifies a request; fresh on every request, a client's retry included.
pub const REQ_ID: HeaderName = HeaderName::from_static("req-id");
/// `Idempotency-Key`: the key by which endpoints recognise a retry, where the class has one.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `Req-Deadline`: how long the sender waits for the response, in seconds with decimals.
pub const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
/// `Req-Owner`: the tenant, named as in the settings.
pub const REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
/// `Req-Cost`: an estimate of the work, in microseconds.
pub const REQ_COST: HeaderName = HeaderName::from_static("req-cost");
/// `Srv-Declined`: with the value `1` on a response, the endpoint rejected the request without executing it.
pub const SRV_DECLINED: HeaderName = HeaderName::from_static("srv-declined");

/// The headers that are about one connection, or the framing of a message on it, whatever `Connection` says.
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

/// Removes the headers that are about one connection and not about the message: the fixed ones, and those
/// that `Connection` names.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    for name in connection_options(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// The headers that `Connection` names. It can't name those that identify the request: without its key a
/// request would be executed twice, whatever a client says of its connection.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(',')).filter_map(|name| name.trim().parse().ok());
    names.filter(|name| *name != REQ_ID && *name != IDEMPOTENCY_KEY).collect()
}
