//! Where the requests on a downstream connection begin and end, as far as the bytes show it that hyper does
//! not.

use tokio::time::Instant;

/// The beginning of a header line that states the length of a body. hyper drops this header from a request
/// that has `Transfer-Encoding` too, which it must not have.
const CONTENT_LENGTH: &[u8] = b"content-length:";

/// Follows the bytes of one request of a downstream connection.
pub struct MessageFramer {
    in_head: bool,
    /// How many bytes the current line of the head has so far, line ends aside.
    line_length: usize,
    /// Whether they match [`CONTENT_LENGTH`].
    matches_content_length: bool,
    /// When the first line began. Empty lines before it are skipped.
    started_at: Option<Instant>,
    /// How many lines state a length.
    content_length_lines: usize,
    /// How many bytes came behind the head.
    body_bytes: u64,
    /// Whether an earlier request did not end where its framing said, so that bytes of one message may have
    /// been taken for bytes of another.
    is_ambiguous: bool,
}

impl MessageFramer {
    /// For the first request of a connection.
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

    /// Takes in what was read.
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

    /// An empty line ends the head, but is skipped before it.
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

    /// Goes on to the next request. This one was complete, with a body of `body_length` bytes if that is
    /// known.
    pub fn complete(&mut self, body_length: Option<u64>) {
        let is_ambiguous = self.is_ambiguous || self.in_head || body_length != Some(self.body_bytes);
        *self = MessageFramer { is_ambiguous, ..MessageFramer::new() };
    }

    /// Whether some of the request was read.
    pub fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// When the head began, if it is not complete yet.
    pub fn head_started_at(&self) -> Option<Instant> {
        self.started_at.filter(|_| self.in_head)
    }

    /// Whether the head may state a length.
    pub fn may_have_content_length(&self) -> bool {
        self.content_length_lines > 0 || self.in_head || self.is_ambiguous
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/message_framer.rs"]
mod tests;
