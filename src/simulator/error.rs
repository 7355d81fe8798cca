//! Errors of the simulator's wire and of the program that speaks it.

use std::io;

use thiserror::Error;

use crate::balancer::SettingsError;
use crate::settings_format::SettingsFormatError;

/// Why a frame can't be decoded.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The input ends within the four bytes of a frame's length.
    #[error("malformed input: it ends within a frame's length, after {received} of 4 bytes")]
    TruncatedLength {
        /// How many bytes of the length there are.
        received: usize,
    },
    /// The input ends within a frame.
    #[error("malformed input: it ends within a frame, after {received} of {announced} bytes")]
    TruncatedFrame {
        /// How many bytes of the frame there are.
        received: u64,
        /// How many its length announces.
        announced: u64,
    },
    /// A field is longer than what is left of its frame.
    #[error("malformed input: {field}: {needed} bytes announced, {remaining} left in the frame")]
    TruncatedField {
        /// The field, with the name of the wire's page.
        field: &'static str,
        /// How many bytes the field has, by its type or its count.
        needed: usize,
        /// How many bytes the frame still has.
        remaining: usize,
    },
    /// A field holds a code that the wire does not have.
    #[error("malformed input: unknown {field} {code}")]
    UnknownCode {
        /// What the code stands for.
        field: &'static str,
        /// The code.
        code: u16,
    },
    /// The number of an endpoint list is out of bounds.
    #[error("malformed input: endpoint list number {number} is not below {bound}")]
    ListNumberOutOfRange {
        /// The number.
        number: usize,
        /// How many lists there are.
        bound: usize,
    },
    /// An endpoint list announces more entries than memory can address.
    #[error("malformed input: an endpoint list of {count} entries is too long")]
    ListTooLong {
        /// How many entries it announces.
        count: usize,
    },
    /// The settings of a `Launch` can't be read.
    #[error("malformed input: {0}")]
    Settings(#[from] SettingsFormatError),
}

/// Why the program ends before its input does.
#[derive(Debug, Error)]
pub enum HostError {
    /// The input can't be decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The settings of a `Launch` make no sense together.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The input can't be read, or the output can't be written.
    #[error(transparent)]
    Io(#[from] io::Error),
}
