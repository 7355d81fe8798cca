//! Parser for the endpoint lists that are received on a watch.

use thiserror::Error;

use crate::protocol::endpoint_list::EndpointList;

/// Maximum size of an endpoint list in bytes: enough for several thousand endpoints, even in indented form.
const MAX_LIST_BYTES: usize = 2 << 20;

/// Reason why an endpoint list can't be parsed.
#[derive(Debug, Error)]
pub(super) enum ParseError {
    /// The list does not end within [`MAX_LIST_BYTES`].
    #[error("endpoint list exceeds {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// There is a blank line within the list, or a line end within one of its strings.
    #[error("endpoint list is truncated after {bytes} bytes")]
    Truncated {
        /// Number of bytes received of the list.
        bytes: usize,
    },
    /// The text is not an endpoint list. The message of the source names the line and column within it.
    #[error("endpoint list is malformed")]
    Malformed(#[from] serde_json::Error),
}

/// Assembles endpoint lists from single bytes. A list may be indented over several lines and ends with the
/// last of them. An empty line between two lists means that nothing has changed.
pub(super) struct ListParser {
    /// Bytes received of the current list.
    buffer: Vec<u8>,
    /// Number of open brackets outside of strings.
    depth: usize,
    /// Whether the last byte is inside a string.
    in_string: bool,
    /// Whether the last byte is a backslash that escapes the next byte.
    escaped: bool,
    /// Whether the current line contains only white space so far.
    line_is_blank: bool,
}

impl ListParser {
    /// Creates a parser that expects the first byte of a list.
    pub(super) fn new() -> ListParser {
        ListParser { buffer: Vec::new(), depth: 0, in_string: false, escaped: false, line_is_blank: true }
    }

    /// Returns whether no byte has been received since the end of the last list or empty line.
    pub(super) fn is_between_lists(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Adds the next byte. Returns the list that it completes, if any.
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
            // An empty line means that nothing has changed and is sent only between lists, and a JSON string
            // contains no line end. Either of them within a list shows that the list is truncated.
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
