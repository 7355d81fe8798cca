//! Message bodies. Small ones are buffered, so that they can be sent again or thrown away; larger ones, and
//! those for which the memory budget has no capacity left, pass through in pieces, each read when its reader
//! asks for it.
//!
//! [`budget`] owns the memory, [`incoming`] counts and bounds what hyper receives. Request bodies are read by
//! [`request`], at the pace that [`pacing`] demands of clients, and sent by [`outbound`]; [`response`] does
//! both for response bodies.

mod budget;
mod error;
mod incoming;
mod outbound;
mod pacing;
mod request;
mod response;

pub use budget::{BufferBudget, BufferedPrefix};
pub use error::BodyError;
pub use incoming::IncomingBody;
pub use outbound::OutboundBody;
pub use request::{RequestBody, UploadProgress};
pub use response::{ResponseBody, ResponsePrefix, StreamingResponseBody, TransferEnd};
