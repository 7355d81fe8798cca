//! The limit on file descriptors.

use std::io;

/// The error code for the machine's limit.
const ENFILE: i32 = 23;
/// The error code for the process's limit.
const EMFILE: i32 = 24;

/// Whether a socket could not be opened or accepted because the process or the machine has no descriptor
/// left.
pub fn is_descriptor_limit(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
