//! The listening socket for clients, which the platform holds open and passes on to each process of a node.

use std::ffi::OsString;
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, IntoRawFd, OwnedFd, RawFd};

use socket2::{SockRef, Socket};
use thiserror::Error;

/// The environment variable that holds the number of the socket's descriptor.
const SOCKET_VARIABLE: &str = "GW_PASSED_SOCKET";

/// The highest descriptor number of the standard streams, none of which can be the inherited socket.
const LAST_STANDARD_STREAM: RawFd = 2;

/// The reason why the process cannot use the socket that was passed to it.
#[derive(Debug, Error)]
pub enum InheritedListenerError {
    /// The variable's value is not the number of a descriptor after the standard streams.
    #[error("{SOCKET_VARIABLE}: {value:?} is not a descriptor number above {LAST_STANDARD_STREAM}")]
    InvalidNumber {
        /// The variable's value.
        value: OsString,
    },
    /// The descriptor is not open, or not a socket.
    #[error("{SOCKET_VARIABLE}: descriptor {descriptor} is not a usable socket")]
    Unusable {
        /// The descriptor's number.
        descriptor: RawFd,
        /// The error that the kernel reports.
        source: io::Error,
    },
    /// The socket is not listening.
    #[error("{SOCKET_VARIABLE}: descriptor {descriptor} is not a listening socket")]
    NotListening {
        /// The descriptor's number.
        descriptor: RawFd,
    },
    /// The socket is listening, but not for TCP connections.
    #[error("{SOCKET_VARIABLE}: descriptor {descriptor} is not a TCP listener")]
    NotTcp {
        /// The descriptor's number.
        descriptor: RawFd,
    },
}

/// Returns the listener that was passed to the process, if any. Must be called before the process opens any
/// descriptor.
///
/// # Errors
///
/// Returns an error if `GW_PASSED_SOCKET` is set and does not name a TCP listener.
pub fn from_environment() -> Result<Option<TcpListener>, InheritedListenerError> {
    let Some(value) = std::env::var_os(SOCKET_VARIABLE) else { return Ok(None) };
    let descriptor = value.to_str().and_then(|text| text.parse().ok());
    match descriptor.filter(|number| *number > LAST_STANDARD_STREAM) {
        Some(descriptor) => adopt(descriptor).map(Some),
        None => Err(InheritedListenerError::InvalidNumber { value }),
    }
}

fn adopt(descriptor: RawFd) -> Result<TcpListener, InheritedListenerError> {
    // SAFETY: this process has opened no descriptor except the standard streams. If this descriptor is open,
    // it was therefore passed on by the platform and has no other owner. If it is not open, it is used only
    // in a system call that reports the error.
    #[allow(unsafe_code)]
    let socket = unsafe { OwnedFd::from_raw_fd(descriptor) };
    let error = match SockRef::from(&socket).is_listener() {
        Ok(true) => return configure(descriptor, socket.into()),
        Ok(false) => InheritedListenerError::NotListening { descriptor },
        Err(source) => InheritedListenerError::Unusable { descriptor, source },
    };
    // This process does not own the descriptor, so it must not close it.
    let _ = socket.into_raw_fd();
    Err(error)
}

fn configure(descriptor: RawFd, socket: Socket) -> Result<TcpListener, InheritedListenerError> {
    if socket.local_addr().ok().and_then(|address| address.as_socket()).is_none() {
        return Err(InheritedListenerError::NotTcp { descriptor });
    }
    // The node's other process shares this mode of the socket, and needs it too.
    socket.set_nonblocking(true).map_err(|source| InheritedListenerError::Unusable { descriptor, source })?;
    Ok(socket.into())
}
