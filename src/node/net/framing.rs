//! Tracking of where requests begin and end on a downstream connection. It shows what hyper does not report:
//! that a head has begun to arrive, and that a head has a `Content-Length` that hyper drops.

use tokio::time::Instant;

/// The beginning of a header line that states the length of a body. A request must not have this header
/// together with `Transfer-Encoding`; hyper drops it from such a request.
const CONTENT_LENGTH: &[u8] = b"content-length:";

/// Tracks the bytes of the current request on a downstream connection.
pub struct MessageFramer {
    /// Whether the head is incomplete.
    in_head: bool,
    /// Number of bytes of the current line of the head so far, without CR and LF.
    line_length: usize,
    /// Whether the current line matches [`CONTENT_LENGTH`] so far.
    matches_content_length: bool,
    /// The time at which the first line of the head began. Empty lines before it are skipped.
    started_at: Option<Instant>,
    /// Number of lines that begin with [`CONTENT_LENGTH`].
    content_length_lines: usize,
    /// Number of bytes received after the head.
    body_bytes: u64,
    /// Whether an earlier request was completed while its head seemed incomplete, or with a body whose length
    /// was unknown or did not match the bytes after the head. Bytes of one message may then have been taken
    /// for bytes of another.
    is_ambiguous: bool,
}

impl MessageFramer {
    /// Creates a framer for the first request of a connection.
    pub fn new() -> MessageFramer {
        MessageFramer {
            in_head: true,
            line_length: 0,
            matches_content_length: true,
            started_at: None,
            content_length_lines: 0,
            body_bytes: 0,
            is_ambiguous: false,
        }
    }

    /// Processes bytes that were read from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        for (position, byte) in bytes.iter().enumerate() {
            if !self.in_head {
                self.body_bytes += (bytes.len() - position) as u64;
                return;
            }
            match byte {
                b'\r' => {}
                b'\n' => self.end_line(),
                byte => self.push_to_line(*byte),
            }
        }
    }

    /// Processes the end of a line. An empty line ends the head, or is skipped if it precedes the head.
    fn end_line(&mut self) {
        self.in_head = self.line_length > 0 || self.started_at.is_none();
        self.line_length = 0;
        self.matches_content_length = true;
    }

    fn push_to_line(&mut self, byte: u8) {
        self.started_at.get_or_insert_with(Instant::now);
        let expected = CONTENT_LENGTH.get(self.line_length);
        self.matches_content_length &= expected.is_none_or(|expected| expected.eq_ignore_ascii_case(&byte));
        self.line_length += 1;
        if self.matches_content_length && self.line_length == CONTENT_LENGTH.len() {
            self.content_length_lines += 1;
        }
    }

    /// Begins the next request. The current request was complete, with a body of `body_length` bytes if that
    /// is known.
    pub fn complete(&mut self, body_length: Option<u64>) {
        let is_ambiguous = self.is_ambiguous || self.in_head || body_length != Some(self.body_bytes);
        *self = MessageFramer { is_ambiguous, ..MessageFramer::new() };
    }

    /// Returns whether a part of the current request was read.
    pub fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Returns the time at which the head began, if it is incomplete.
    pub fn head_started_at(&self) -> Option<Instant> {
        self.started_at.filter(|_| self.in_head)
    }

    /// Returns whether the head may contain a `Content-Length`. That is also assumed while the head is
    /// incomplete, and if the bytes of an earlier request were ambiguous.
    pub fn may_have_content_length(&self) -> bool {
        self.content_length_lines > 0 || self.in_head || self.is_ambiguous
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/message_framer.rs"]
mod tests;
