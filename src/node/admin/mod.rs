//! The admin API: operators' commands over HTTP on the node's second address, one a connection, answered
//! whatever the load of clients is.
//!
//! The listener accepts callers, reads a command from each, has the service carry it out and writes the
//! response.

mod commands;
mod listener;
mod responses;
mod service;

pub use listener::listen;
pub use service::AdminService;
