//! The limit on descriptors.

use std::io;

/// Error code: the machine has reached its limit on open files.
const ENFILE: i32 = 23;
/// Error code: the process has reached its limit on open descriptors.
const EMFILE: i32 = 24;

/// Returns whether a socket could not be opened or accepted because the process or the machine has no
/// descriptor left.
pub fn is_descriptor_limit(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
