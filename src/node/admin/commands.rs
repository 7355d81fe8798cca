//! The commands of the admin API, and their decoding from requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde::Deserialize;
use thiserror::Error;
use tokio::time::timeout;

use crate::state_store::StateError;

/// How long a caller may take to send the head of a request, and how long to send its body.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum length of a request body.
const MAX_BODY_BYTES: usize = 4096;

/// A command of an operator.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Show the status of the node.
    Status,
    /// Send no new requests to this endpoint, whatever its state in discovery.
    EnterMaintenance {
        /// The endpoint's uid in discovery.
        uid: String,
    },
    /// Send requests to this endpoint again.
    ExitMaintenance {
        /// The endpoint's uid in discovery.
        uid: String,
    },
    /// Put the node into standby, which drains it of clients.
    EnterStandby,
    /// End standby, so that the node accepts new clients again.
    ExitStandby,
}

/// A path of the admin API.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Route {
    Status,
    EnterMaintenance,
    ExitMaintenance,
    EnterStandby,
    ExitStandby,
}

/// The reason why a request is not a valid command, or a command was not executed. The state is then
/// unchanged.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The path is not part of the admin API.
    #[error("no such call")]
    UnknownPath,
    /// The path requires another method.
    #[error("not the method of this call")]
    WrongMethod {
        /// The method that the path requires.
        allowed: Method,
    },
    /// The body is longer than 4096 bytes.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The connection closed before the end of the body, or the framing of the body is invalid.
    #[error("the body is broken")]
    BodyBroken,
    /// The body was not complete within 1 s.
    #[error("the body did not come in time")]
    BodyTimedOut,
    /// The body of a command for an endpoint does not name an endpoint.
    #[error("not {{\"host\":\"ID\"}}")]
    MalformedBody,
    /// The endpoint is not in maintenance, and no endpoint list has contained it.
    #[error("no such host")]
    UnknownEndpoint,
    /// The new state could not be written.
    #[error("the shared state cannot be written; nothing is changed")]
    StateNotWritten(#[source] StateError),
}

/// The body of a command for an endpoint.
#[derive(Deserialize)]
struct EndpointBody {
    host: String,
}

impl Route {
    /// Returns the route of a request.
    pub fn of<B>(request: &Request<B>) -> Result<Route, CommandError> {
        let route = match request.uri().path() {
            "/status" => Route::Status,
            "/maintenance/enter" => Route::EnterMaintenance,
            "/maintenance/exit" => Route::ExitMaintenance,
            "/standby" => Route::EnterStandby,
            "/active" => Route::ExitStandby,
            _ => return Err(CommandError::UnknownPath),
        };
        if *request.method() == route.method() {
            Ok(route)
        } else {
            Err(CommandError::WrongMethod { allowed: route.method() })
        }
    }

    fn method(self) -> Method {
        match self {
            Route::Status => Method::GET,
            Route::EnterMaintenance | Route::ExitMaintenance | Route::EnterStandby | Route::ExitStandby => {
                Method::POST
            }
        }
    }

    /// Returns the command of a request with this route and body. The body is ignored except by commands for
    /// an endpoint.
    pub fn command(self, body: &[u8]) -> Result<Command, CommandError> {
        Ok(match self {
            Route::Status => Command::Status,
            Route::EnterMaintenance => Command::EnterMaintenance { uid: parse_uid(body)? },
            Route::ExitMaintenance => Command::ExitMaintenance { uid: parse_uid(body)? },
            Route::EnterStandby => Command::EnterStandby,
            Route::ExitStandby => Command::ExitStandby,
        })
    }
}

fn parse_uid(body: &[u8]) -> Result<String, CommandError> {
    let EndpointBody { host } = serde_json::from_slice(body).map_err(|_| CommandError::MalformedBody)?;
    Ok(host)
}

/// Reads the complete body of a request.
pub async fn read_body(body: Incoming) -> Result<Bytes, CommandError> {
    match timeout(REQUEST_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(CommandError::BodyTooLarge),
        Ok(Err(_)) => Err(CommandError::BodyBroken),
        Err(_) => Err(CommandError::BodyTimedOut),
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/admin_commands.rs"]
mod tests;
