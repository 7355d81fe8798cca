//! The log of the node, on standard error.

use std::error::Error;
use std::fmt;

/// Writes a line to the log. A line that cannot be written is dropped: the reader of standard error may have
/// closed it, and `eprintln!` would panic then.
macro_rules! log {
    ($($line:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stderr(), "mothspool: {}", format_args!($($line)*));
    }};
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
