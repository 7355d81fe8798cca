//! Downstream: the clients' connections, and one final response to each of their requests.
//!
//! A connection is accepted by [`listener`], entered in the table of [`connections`] (which owns all limits
//! and decides which idle connection closes first) and driven by [`service`]. Each request goes through
//! [`handler`]: [`health`] checks are answered at once, all others are validated by [`request`] and handed to
//! the engine by [`exchange`].

mod connection;
mod connections;
mod error;
mod exchange;
mod handler;
mod health;
mod listener;
mod request;
mod request_ids;
mod responses;
mod server;
mod service;

pub use server::DownstreamServer;

#[cfg(test)]
#[path = "../../../tests/unit/downstream.rs"]
mod tests;
