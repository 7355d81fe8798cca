//! Message bodies. Small bodies are buffered, so that they can be sent again or discarded. Larger bodies, and
//! those for which the memory budget has no capacity left, are streamed in pieces, each of which is read when
//! the receiver asks for it.
//!
//! [`budget`] manages the memory, [`incoming`] counts the bytes that hyper receives and limits their number.
//! [`request`] reads request bodies, for which [`pacing`] enforces a minimum rate, and [`outbound`] sends
//! them. [`reception`] estimates when their last byte was received. [`response`] reads
//! response bodies, and [`streaming`] passes on those that are not complete. [`early_streaming`] decides
//! when, by what [`response_lengths`] knows of other responses.

mod budget;
mod early_streaming;
mod error;
mod incoming;
mod outbound;
mod pacing;
mod reception;
mod request;
mod response;
mod response_lengths;
mod streaming;

pub use budget::{BufferBudget, is_too_large_to_buffer, may_be_large};
pub use early_streaming::{DecisionTimes, EarlyStreaming, StreamingCause};
pub use error::BodyError;
pub use incoming::IncomingBody;
pub use outbound::OutboundBody;
pub use request::{CompleteUpload, RequestBody, UploadProgress};
pub use response::{PrefixError, ResponseBody, ResponsePrefix};
pub use response_lengths::ResponseLengths;
pub use streaming::{StreamingResponseBody, TransferEnd};
