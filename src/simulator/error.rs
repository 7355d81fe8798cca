//! Errors of the simulator's wire and of the program `mothspool-simulator`.

use std::io;

use thiserror::Error;

use crate::balancer::SettingsError;
use crate::settings_format::SettingsFormatError;

/// An error in the input that prevents the decoding of a frame.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The input ends within the four bytes of a frame's length.
    #[error("malformed input: unexpected end within a frame's length, after {received} of 4 bytes")]
    TruncatedLength {
        /// Number of bytes of the length in the input.
        received: usize,
    },
    /// The input ends within a frame.
    #[error("malformed input: unexpected end within a frame, after {received} of {announced} bytes")]
    TruncatedFrame {
        /// Number of bytes of the frame in the input.
        received: u64,
        /// Number of bytes according to the frame's length.
        announced: u64,
    },
    /// A field is longer than the rest of its frame.
    #[error("malformed input: {field} needs {needed} bytes, but {remaining} are left in the frame")]
    TruncatedField {
        /// Name of the field in the specification of the wire.
        field: &'static str,
        /// Size of the field in bytes, according to its type or its count.
        needed: usize,
        /// Number of bytes that are left in the frame.
        remaining: usize,
    },
    /// The code in a field is unknown.
    #[error("malformed input: unknown {field} {code}")]
    UnknownCode {
        /// Name of the field in the specification of the wire, or `record code`.
        field: &'static str,
        /// The code.
        code: u16,
    },
    /// The number of an endpoint list is out of range.
    #[error("malformed input: endpoint list number is {number}, but must be below {bound}")]
    ListNumberOutOfRange {
        /// The number.
        number: usize,
        /// Number of lists.
        bound: usize,
    },
    /// The size in bytes of an endpoint list exceeds the range of `usize`.
    #[error("malformed input: an endpoint list of {count} entries is too long")]
    ListTooLong {
        /// Number of entries according to the list's count.
        count: usize,
    },
    /// The settings of a `Launch` cannot be parsed.
    #[error("malformed input: {0}")]
    Settings(#[from] SettingsFormatError),
}

/// An error that ends the program before the end of its input.
#[derive(Debug, Error)]
pub enum HostError {
    /// The input cannot be decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A value in the settings of a `Launch` is out of range or inconsistent with the others.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The input cannot be read, or the output cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
}
