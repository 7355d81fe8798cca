//! The node's log: standard error.

/// Writes a line to the log. Whoever reads it may have gone; `eprintln!` would end the node then.
macro_rules! log {
    ($($line:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stderr(), "mothspool: {}", format_args!($($line)*));
    }};
}
