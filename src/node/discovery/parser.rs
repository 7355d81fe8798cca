//! Parses the endpoint lists that arrive on a watch.

use thiserror::Error;

use crate::protocol::endpoint_list::EndpointList;

/// The longest list in bytes: one of some thousand endpoints, however it is indented.
const MAX_LIST_BYTES: usize = 2 << 20;

/// Why a list can't be parsed.
#[derive(Debug, Error)]
pub(super) enum ParseError {
    /// It has no end within [`MAX_LIST_BYTES`].
    #[error("an endpoint list is longer than {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// An empty line, or the end of a line within a string, where it goes on.
    #[error("an endpoint list breaks off after {bytes} bytes")]
    Truncated {
        /// How many bytes of it there are.
        bytes: usize,
    },
    /// It is no endpoint list. The message of the source names line and column within it.
    #[error("an endpoint list is malformed")]
    Malformed(#[from] serde_json::Error),
}

/// Assembles lists from bytes. Each list ends with a line, but may be indented over many; an empty line
/// between two of them says that nothing has changed.
pub(super) struct ListParser {
    /// What has arrived of the current list.
    buffer: Vec<u8>,
    /// How many brackets are open outside of strings.
    depth: usize,
    /// Whether the last byte is within a string.
    in_string: bool,
    /// Whether the last byte is a backslash that escapes the next one.
    escaped: bool,
    /// Whether there is nothing but white space on the current line so far.
    line_is_blank: bool,
}

impl ListParser {
    /// A parser that expects the first byte of a list.
    pub(super) fn new() -> ListParser {
        ListParser { buffer: Vec::new(), depth: 0, in_string: false, escaped: false, line_is_blank: true }
    }

    /// Whether nothing of a next list has arrived, so that all before was complete.
    pub(super) fn is_between_lists(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Takes the next byte. Returns the list that ends with it, if one does.
    pub(super) fn push(&mut self, byte: u8) -> Result<Option<EndpointList>, ParseError> {
        if byte == b'\n' {
            return self.end_line();
        }
        if self.buffer.len() >= MAX_LIST_BYTES {
            return Err(ParseError::TooLong);
        }
        self.buffer.push(byte);
        self.line_is_blank &= byte.is_ascii_whitespace();
        self.track_nesting(byte);
        Ok(None)
    }

    fn track_nesting(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = self.in_string,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    fn end_line(&mut self) -> Result<Option<EndpointList>, ParseError> {
        let line_was_blank = std::mem::replace(&mut self.line_is_blank, true);
        if self.depth > 0 || self.in_string {
            // An empty line says that nothing changes: the list before it was broken off.
            if line_was_blank || self.in_string {
                return Err(ParseError::Truncated { bytes: self.buffer.len() });
            }
            self.buffer.push(b'\n');
            return Ok(None);
        }
        let list = std::mem::take(&mut self.buffer);
        if list.trim_ascii().is_empty() {
            return Ok(None);
        }
        Ok(Some(serde_json::from_slice(&list)?))
    }
}
