//! Helpers that run the node as a process on loopback, with scripted endpoints, discovery and clients.

mod bodies;
mod command;
mod connection;
mod connections;
mod discovery;
mod message;
mod node;
mod requests;
mod upstream;
mod wait;

pub use bodies::*;
pub use command::*;
pub use connection::*;
pub use connections::*;
pub use discovery::*;
pub use message::*;
pub use node::*;
pub use requests::*;
pub use upstream::*;
pub use wait::*;
