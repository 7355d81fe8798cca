//! The clients' listening socket that the platform holds and passes on to each process of a node.

use std::ffi::OsString;
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, IntoRawFd, OwnedFd, RawFd};

use socket2::{SockRef, Socket};
use thiserror::Error;

/// The environment variable that holds the descriptor's number.
const ENV_VARIABLE: &str = "GW_PASSED_SOCKET";

/// The highest descriptor of the standard streams, none of which is passed on as a socket.
const LAST_STANDARD_STREAM: RawFd = 2;

/// Why the process cannot use the socket that it was passed.
#[derive(Debug, Error)]
pub enum InheritedListenerError {
    /// The variable's value is not the number of a descriptor behind the standard streams.
    #[error("{ENV_VARIABLE}: {value:?} is not the number of a descriptor above {LAST_STANDARD_STREAM}")]
    InvalidNumber {
        /// The variable's value.
        value: OsString,
    },
    /// The descriptor is not open, or not a socket.
    #[error("{ENV_VARIABLE}: descriptor {descriptor} is not a usable socket")]
    Unusable {
        /// The descriptor's number.
        descriptor: RawFd,
        /// What the kernel says of it.
        source: io::Error,
    },
    /// The socket does not listen.
    #[error("{ENV_VARIABLE}: descriptor {descriptor} does not listen")]
    NotListening {
        /// The descriptor's number.
        descriptor: RawFd,
    },
    /// The socket listens, but not for TCP connections.
    #[error("{ENV_VARIABLE}: descriptor {descriptor} does not listen for TCP")]
    NotTcp {
        /// The descriptor's number.
        descriptor: RawFd,
    },
}

/// The listener that was passed on, if one was. To be called before the process opens any descriptor.
///
/// # Errors
///
/// If `GW_PASSED_SOCKET` is set and does not name a TCP listener.
pub fn from_environment() -> Result<Option<TcpListener>, InheritedListenerError> {
    let Some(value) = std::env::var_os(ENV_VARIABLE) else { return Ok(None) };
    let descriptor = value.to_str().and_then(|text| text.parse().ok());
    match descriptor.filter(|number| *number > LAST_STANDARD_STREAM) {
        Some(descriptor) => adopt(descriptor).map(Some),
        None => Err(InheritedListenerError::InvalidNumber { value }),
    }
}

fn adopt(descriptor: RawFd) -> Result<TcpListener, InheritedListenerError> {
    // SAFETY: nothing in this process has opened a descriptor but the standard streams, so this one, if it is
    // open, is what the platform has passed on, and belongs to nobody else. If it is not, nothing is done
    // with it but to ask the kernel, which says so.
    #[allow(unsafe_code)]
    let socket = unsafe { OwnedFd::from_raw_fd(descriptor) };
    let error = match SockRef::from(&socket).is_listener() {
        Ok(true) => return configure(descriptor, socket.into()),
        Ok(false) => InheritedListenerError::NotListening { descriptor },
        Err(source) => InheritedListenerError::Unusable { descriptor, source },
    };
    // Not this process's to close.
    let _ = socket.into_raw_fd();
    Err(error)
}

fn configure(descriptor: RawFd, socket: Socket) -> Result<TcpListener, InheritedListenerError> {
    if socket.local_addr().ok().and_then(|address| address.as_socket()).is_none() {
        return Err(InheritedListenerError::NotTcp { descriptor });
    }
    // The mode is shared with the node's other process, which wants the same.
    socket.set_nonblocking(true).map_err(|source| InheritedListenerError::Unusable { descriptor, source })?;
    Ok(socket.into())
}
