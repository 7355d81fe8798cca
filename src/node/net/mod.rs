//! Sockets: wrappers around TCP streams that observe the bytes that hyper reads and writes, the inherited
//! listener, and limits on connections and descriptors.

pub mod inherited_listener;

mod downstream_socket;
mod framing;
mod lingering;
mod permits;
mod receive_queue;
mod stream;
mod system_errors;
mod upstream_socket;

pub use downstream_socket::{DownstreamSocket, SocketObserver};
pub use lingering::REQUIRED_CLIENT_RATE;
pub use permits::{ConnectionPermit, ConnectionPermits};
pub use stream::Stream;
pub use system_errors::{is_descriptor_limit, is_local_shortage};
pub use upstream_socket::{UpstreamIo, UpstreamSocket};
