//! Writes the log without ever waiting for its reader.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};
use std::sync::atomic::{AtomicU64, Ordering};

use tracing_subscriber::fmt::MakeWriter;

use super::format::LINE_PREFIX;

/// Names standard error as a file.
const STANDARD_ERROR_PATH: &str = "/proc/self/fd/2";

/// Writes lines to standard error. A line that can't be written at once is dropped and counted.
pub struct LogWriter {
    /// Standard error in non-blocking mode, if it is a pipe. A mode that is set on the inherited descriptor
    /// itself would apply to the other processes that have it.
    pipe: Option<File>,
    /// Number of lines that were dropped since the last one that was written.
    dropped_lines: AtomicU64,
}

impl LogWriter {
    /// Creates a writer to the present standard error.
    pub fn open() -> LogWriter {
        LogWriter { pipe: open_pipe(), dropped_lines: AtomicU64::new(0) }
    }

    /// Writes a line.
    fn write_line(&self, line: &[u8]) -> io::Result<()> {
        match &self.pipe {
            Some(pipe) => write_whole(pipe, line),
            None => io::stderr().write_all(line),
        }
    }

    /// Writes how many lines were dropped, if any were.
    fn report_dropped_lines(&self) -> io::Result<()> {
        let dropped = self.dropped_lines.load(Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("{LINE_PREFIX}log lines dropped, as nobody read them: {dropped}\n");
            self.write_line(line.as_bytes())?;
            self.dropped_lines.fetch_sub(dropped, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Opens standard error in non-blocking mode if it is a pipe.
fn open_pipe() -> Option<File> {
    let is_pipe = fs::metadata(STANDARD_ERROR_PATH).is_ok_and(|metadata| metadata.file_type().is_fifo());
    let open = || OpenOptions::new().write(true).custom_flags(libc::O_NONBLOCK).open(STANDARD_ERROR_PATH);
    is_pipe.then(open)?.ok()
}

/// Writes a line to a pipe, which takes a line of usual length either whole or not at all.
fn write_whole(mut pipe: &File, line: &[u8]) -> io::Result<()> {
    loop {
        match pipe.write(line) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            written => return written.map(drop),
        }
    }
}

impl Write for &LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.report_dropped_lines().and_then(|()| self.write_line(line)).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = &'a LogWriter;

    fn make_writer(&'a self) -> Self::Writer {
        self
    }
}
