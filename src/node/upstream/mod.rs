//! The upstream side: the endpoints that discovery lists, the connections to them, and the attempts, of which
//! each connection carries one at a time.
//!
//! Other modules use [`UpstreamPool`]: the engine passes it an [`UpstreamRequest`] for each attempt and gets
//! an [`AttemptOutcome`]. The modules, each listed after those that it imports:
//!
//! - `connection`: an HTTP/1.1 connection and the incarnation of the endpoint that it was opened to;
//! - `idle`, `endpoints`: the idle connections to an endpoint, and the directory of endpoints;
//! - `idle_timeout`, `stale_connections`: how long an idle connection is kept, and after which idle time it
//!   is considered stale;
//! - `request`, `connect`: what an attempt sends, and how a connection for it is opened;
//! - `pool`, `response`: the connection pool, and responses that are streamed to the client;
//! - `stall`, `attempt`: detection of stalled responses, and the steps of one attempt.

mod abandoned;
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

pub use attempt::{AttemptOutcome, ResponseProgress};
pub use endpoints::ListedEndpoint;
pub use pool::{UpstreamPool, max_upstream_connections};
pub use request::UpstreamRequest;
pub use response::StreamingResponse;
