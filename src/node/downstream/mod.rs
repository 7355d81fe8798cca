//! Downstream: accepts the clients' connections and sends one final response to each of their requests.
//!
//! A connection is accepted by [`listener`], added to the table in [`connections`] (which owns all limits and
//! selects the idle connection that closes first) and served by [`service`]. Each request is answered by
//! [`handler`]: [`health`] checks are answered immediately, all other requests are validated by [`request`]
//! and handed to the engine by [`exchange`].

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
