//! Why a configuration can't be used. Each message leaves out that of its source: [`ErrorChain`] writes both.
//!
//! [`ErrorChain`]: crate::log::ErrorChain

use std::io;
use std::net::AddrParseError;

use mothspool::SettingsError;
use mothspool::settings_format::SettingsFormatError;
use thiserror::Error;

/// A configuration that can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The fault is in the file.
    #[error("{path}")]
    File {
        /// The path of the file.
        path: String,
        /// What is wrong with it.
        source: FileError,
    },
    /// The fault is in the environment.
    #[error("{variable}")]
    Environment {
        /// The name of the variable.
        variable: &'static str,
        /// What is wrong with it.
        source: AddressError,
    },
}

/// What is wrong with a configuration file.
#[derive(Debug, Error)]
pub enum FileError {
    /// It can't be read.
    #[error("the file cannot be read")]
    Read(#[from] io::Error),
    /// It is no JSON, a field is missing or has the wrong type. The message names the field, line and column.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field holds no address.
    #[error("{field}")]
    Address {
        /// The name of the field.
        field: &'static str,
        /// What is wrong with it.
        source: AddressError,
    },
    /// A value in `settings` has the wrong type or is none that the setting can have. The message names both.
    #[error(transparent)]
    SettingsFormat(#[from] SettingsFormatError),
    /// The values in `settings` make no sense together.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// A text that is no address with a port.
#[derive(Debug, Error)]
#[error("{value:?} is not an IP address with a port")]
pub struct AddressError {
    /// The text.
    pub value: String,
    /// What the parser says.
    pub source: AddrParseError,
}
