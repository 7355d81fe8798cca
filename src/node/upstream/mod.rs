//! The upstream side: the endpoints that discovery lists, the connections to them, and one attempt at a time
//! on each.
//!
//! [`UpstreamPool`] is what the other modules use; the engine hands it an [`UpstreamRequest`] for each
//! attempt and gets an [`AttemptOutcome`]. Below it, in the order in which the modules import each other:
//!
//! - `connection`: an HTTP/1.1 connection and the incarnation of the endpoint that it was opened to;
//! - `idle`, `endpoints`: the idle connections of an endpoint, and the directory of endpoints;
//! - `idle_timeout`, `stale_connections`: how long an idle connection is kept, and when it is no longer
//!   trusted;
//! - `request`, `connect`: what an attempt sends, and how a connection for it is opened;
//! - `pool`, `response`, `attempt`: the pool, the response that passes through, and the steps of one attempt.

mod attempt;
mod connect;
mod connection;
mod endpoints;
mod idle;
mod idle_timeout;
mod pool;
mod request;
mod response;
mod stale_connections;
mod stall;

pub use attempt::AttemptOutcome;
pub use endpoints::ListedEndpoint;
pub use pool::{UpstreamPool, max_upstream_connections};
pub use request::UpstreamRequest;
pub use response::StreamingResponse;
