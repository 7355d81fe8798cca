//! A parser for HTTP/1.1 messages.

use std::io::BufRead;

/// An HTTP/1.1 request or response as received.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Header names as received, and values without surrounding white space.
    pub headers: Vec<(String, String)>,
    /// Body without its transfer coding.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Returns the status code of a response, or 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Reads one message. Returns `None` if the input ends or a read fails before the end of the message.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut read_line = || {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            Some(line.trim_end().to_string())
        };
        let start_line = read_line()?;
        let mut headers = Vec::new();
        loop {
            let header = read_line()?;
            let Some((name, value)) = header.split_once(':') else { break };
            headers.push((name.to_string(), value.trim().to_string()));
        }
        let mut message = Message { start_line, headers, body: Vec::new() };
        if message.header("transfer-encoding") == Some("chunked") {
            return message.read_chunks(from);
        }
        let length = message.header("content-length").and_then(|n| n.parse().ok());
        if let Some(length) = length {
            message.body.resize(length, 0);
            from.read_exact(&mut message.body).ok()?;
        } else if message.header("connection") == Some("close") && message.start_line.starts_with("HTTP/") {
            from.read_to_end(&mut message.body).ok()?;
        }
        Some(message)
    }

    fn read_chunks(mut self, from: &mut impl BufRead) -> Option<Message> {
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
            let start = self.body.len();
            self.body.resize(start + length, 0);
            from.read_exact(&mut self.body[start..]).ok()?;
            line.clear();
            from.read_line(&mut line).ok()?;
            if length == 0 {
                return Some(self);
            }
        }
    }
}
