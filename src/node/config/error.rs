//! Errors in the configuration. No message repeats that of its source: [`ErrorChain`] displays both.
//!
//! [`ErrorChain`]: crate::log::ErrorChain

use std::io;
use std::net::AddrParseError;

use mothspool::SettingsError;
use mothspool::settings_format::SettingsFormatError;
use thiserror::Error;

/// An error in the configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The configuration file is invalid or cannot be read.
    #[error("{path}")]
    File {
        /// Path of the file.
        path: String,
        /// The cause.
        source: FileError,
    },
    /// An environment variable is invalid.
    #[error("{variable}")]
    Environment {
        /// Name of the variable.
        variable: &'static str,
        /// The cause.
        source: AddressError,
    },
}

/// An error in the configuration file.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("cannot read the configuration file")]
    Read(#[from] io::Error),
    /// The file is not JSON, or a field is missing or has the wrong type. The message names the field, line
    /// and column.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The value of a field is not an address.
    #[error("{field}")]
    Address {
        /// Name of the field.
        field: &'static str,
        /// The cause.
        source: AddressError,
    },
    /// A value in `settings` has the wrong type, or is none of the values that its setting allows. The
    /// message names the setting and the value.
    #[error(transparent)]
    SettingsFormat(#[from] SettingsFormatError),
    /// A value in `settings` is out of range or inconsistent with the others.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// A text that is not an IP address with a port.
#[derive(Debug, Error)]
#[error("{value:?} is not an IP address with a port")]
pub struct AddressError {
    /// The text.
    pub value: String,
    /// The error of the parser.
    pub source: AddrParseError,
}
