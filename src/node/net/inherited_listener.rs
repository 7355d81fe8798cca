//! The clients' listening socket that the platform holds and passes on to each process of a node.

use std::error::Error;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, IntoRawFd, OwnedFd, RawFd};

use socket2::{SockRef, Socket};

/// Names the descriptor.
const NAME: &str = "GW_PASSED_SOCKET";

/// The socket that was passed on, if one was. To be called before the process opens any descriptor.
pub fn listener() -> Result<Option<TcpListener>, Box<dyn Error>> {
    let Some(text) = std::env::var_os(NAME) else { return Ok(None) };
    let number = text.to_str().and_then(|text| text.parse().ok()).filter(|number| *number > 2);
    let number = number.ok_or_else(|| format!("{NAME}: {text:?} is no descriptor"))?;
    let listener = adopt(number).map_err(|why| format!("{NAME}: descriptor {number} {why}"))?;
    Ok(Some(listener))
}

fn adopt(number: RawFd) -> Result<TcpListener, String> {
    // SAFETY: nothing in this process has opened a descriptor but the standard streams, so this one, if it is
    // open, is what the platform has passed on, and belongs to nobody else. If it is not, nothing is done with
    // it but to ask the kernel, which says so.
    #[allow(unsafe_code)]
    let socket = unsafe { OwnedFd::from_raw_fd(number) };
    match SockRef::from(&socket).is_listener() {
        Ok(true) => {}
        other => {
            // Not ours to close.
            let _ = socket.into_raw_fd();
            return Err(
                other.map_or_else(|error| format!("is of no use: {error}"), |_| "does not listen".into())
            );
        }
    }
    let socket = Socket::from(socket);
    if socket.local_addr().ok().and_then(|address| address.as_socket()).is_none() {
        return Err("does not listen for TCP".into());
    }
    // It is shared with the node's other process, which wants the same.
    socket.set_nonblocking(true).map_err(|error| error.to_string())?;
    Ok(socket.into())
}
