//! The log of the node, on standard error: one event a line.
//!
//! An event without fields is its message. An event with fields is followed by them, its level and the time,
//! as `name=value`. [`LEVEL_VARIABLE`] selects the lowest level that is written.

mod format;
mod writer;

use std::error::Error;
use std::fmt;

use tracing_subscriber::filter::LevelFilter;

use self::format::LineFormat;
use self::writer::LogWriter;

/// Environment variable with the lowest level that is written: `error`, `warn`, `info`, `debug`, `trace` or
/// `off`. It is `info` if the variable is missing or has another value.
const LEVEL_VARIABLE: &str = "GW_LOG";

/// Has events written to standard error from now on. Has no effect if they already are.
pub fn init() {
    let level = std::env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok());
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .event_format(LineFormat)
        .with_writer(LogWriter::open())
        .finish();
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// Displays an error followed by its chain of causes, separated by colons.
pub struct ErrorChain<'a>(pub &'a dyn Error);

impl fmt::Display for ErrorChain<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)?;
        let mut cause = self.0.source();
        while let Some(error) = cause {
            write!(f, ": {error}")?;
            cause = error.source();
        }
        Ok(())
    }
}
