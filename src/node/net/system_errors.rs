//! Errors of system calls that say something of the node's own machine and nothing of the peer.

use std::io;

/// Returns whether a socket could not be opened or accepted because the process or the machine has no
/// descriptor left.
pub fn is_descriptor_limit(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ENFILE | libc::EMFILE))
}

/// Returns whether a connection could not be opened because this machine lacks something for the moment:
/// descriptors, memory, ports, or a route.
pub fn is_local_shortage(error: &io::Error) -> bool {
    let is_shortage = |code| {
        matches!(
            code,
            libc::ENOBUFS
                | libc::ENOMEM
                | libc::EADDRNOTAVAIL
                | libc::EAGAIN
                | libc::ENETUNREACH
                | libc::ENETDOWN
        )
    };
    is_descriptor_limit(error) || error.raw_os_error().is_some_and(is_shortage)
}
