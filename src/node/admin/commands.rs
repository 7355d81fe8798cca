//! The commands of the admin API, and how they are read from requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde::Deserialize;
use thiserror::Error;
use tokio::time::timeout;

use crate::state_store::StateError;

/// How long a caller may take for the head of a request, and again for its body.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// A command of an operator.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Show how the node is.
    Status,
    /// Send this endpoint nothing new, whatever discovery says.
    EnterMaintenance {
        /// The endpoint's uid, as discovery writes it.
        uid: String,
    },
    /// Send this endpoint requests again.
    ExitMaintenance {
        /// The endpoint's uid.
        uid: String,
    },
    /// Empty the node of clients.
    EnterStandby,
    /// Take clients again.
    ExitStandby,
}

/// What a path of the admin API stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Route {
    Status,
    EnterMaintenance,
    ExitMaintenance,
    EnterStandby,
    ExitStandby,
}

/// Why a request is no command, or a command was not carried out. Nothing is changed then.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The path is none of the admin API's.
    #[error("no such call")]
    UnknownPath,
    /// The path is called with another method.
    #[error("not the method of this call")]
    WrongMethod {
        /// The method that is right.
        allowed: Method,
    },
    /// The body is longer than 4,096 bytes.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The connection ended within the body, or the body's framing is invalid.
    #[error("the body is broken")]
    BodyBroken,
    /// The body was not complete after 1 s.
    #[error("the body did not come in time")]
    BodyTimedOut,
    /// The body of a command about an endpoint does not name one.
    #[error("not {{\"host\":\"ID\"}}")]
    MalformedBody,
    /// No endpoint list has named the endpoint.
    #[error("no such host")]
    UnknownEndpoint,
    /// The new state could not be written.
    #[error("the shared state cannot be written; nothing is changed")]
    StateNotWritten(#[source] StateError),
}

/// The body of a command about an endpoint.
#[derive(Deserialize)]
struct EndpointBody {
    host: String,
}

impl Route {
    /// The route that a request is for.
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

    /// The command of a request for this route with this body. Only commands about an endpoint look at the
    /// body.
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
