//! The admin API: commands of operators over HTTP on a separate address, one request per connection. It
//! responds regardless of the load from clients.
//!
//! The listener accepts connections, reads a command from each, has the service execute it, and writes the
//! response. The state applier applies the resulting state, and that of commands to another process.

mod commands;
mod listener;
mod responses;
mod service;
mod state_applier;

pub use listener::listen;
pub use service::AdminService;
pub use state_applier::StateApplier;
