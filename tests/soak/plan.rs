//! What a request of the soak is like, and how its endpoint answers it. Both follow from the seed and the
//! number of the request, and the endpoint reads them from the path.

use std::time::Duration;

use crate::support::*;

/// Length up to which the node may take a response for a small one, in bytes.
const MAX_SMALL_BODY_BYTES: usize = 64 << 10;
/// Time before the client's deadline by which a small response has to be complete to be expected in time.
const SMALL_RESPONSE_MARGIN: Duration = Duration::from_millis(250);

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Class {
    View,
    Submit,
    Order,
}

/// A request and its response.
#[derive(Clone, Debug)]
pub struct Plan {
    pub id: String,
    pub class: Class,
    pub client_wait: Duration,
    /// Length of the body of the request, in bytes; 0 for a view.
    pub request_bytes: usize,
    pub is_request_chunked: bool,
    pub framing: Framing,
    pub response_bytes: usize,
    /// Number of pieces in which the response is sent, the head included.
    pub pieces: usize,
    /// Pause after each piece.
    pub pause: Duration,
    /// When the client leaves, if it does not wait for the response.
    pub leaves_after: Option<Duration>,
}

impl Plan {
    /// Returns the plan of a request.
    pub fn new(seed: u64, number: u64) -> Plan {
        let mut random = fastrand::Rng::with_seed(seed.wrapping_mul(1_000_003).wrapping_add(number));
        let class = *random.choice(&[Class::View, Class::Submit, Class::Order]).unwrap();
        let sizes = [0, 10, 3_000, 60_000, 70_000, 200_000, 500_000];
        let pauses = [0, 0, 0, 2, 40, 350, 900, 1700];
        let pause = Duration::from_millis(*random.choice(&pauses).unwrap());
        let is_slow = pause > Duration::from_millis(100);
        let request_sizes = [0, 20, 5_000, 100_000, 1_000_000];
        Plan {
            id: format!("{seed:08x}{number:08x}"),
            class,
            client_wait: Duration::from_millis(random.u64(500..2500)),
            request_bytes: if class == Class::View { 0 } else { *random.choice(&request_sizes).unwrap() },
            is_request_chunked: random.bool(),
            framing: *random.choice(&FRAMINGS).unwrap(),
            response_bytes: *random.choice(&sizes).unwrap(),
            pieces: if is_slow { random.usize(2..4) } else { random.usize(1..30) },
            pause,
            leaves_after: (random.u8(..10) == 0).then(|| Duration::from_millis(random.u64(1..400))),
        }
    }

    /// Returns the bytes of the request.
    pub fn request(&self) -> Vec<u8> {
        let (method, name, key) = match self.class {
            Class::View => ("GET", "view", ""),
            Class::Submit => ("POST", "submit", "Idempotency-Key: 1\r\n"),
            Class::Order => ("POST", "order", ""),
        };
        let body = random_bytes(self.request_bytes);
        let framing = match (method, self.is_request_chunked) {
            ("GET", _) => String::new(),
            (_, true) => "Transfer-Encoding: chunked\r\n".into(),
            (_, false) => format!("Content-Length: {}\r\n", body.len()),
        };
        let head = format!(
            "{method} /{name}/{} HTTP/1.1\r\nHost: o\r\nReq-Id: {}\r\nReq-Owner: acme\r\nReq-Deadline: {}\r\n\
             {key}{framing}\r\n",
            self.id,
            self.id,
            self.client_wait.as_secs_f64()
        );
        let body = match self.is_request_chunked && method == "POST" {
            true => [body.chunks(30_000).flat_map(chunk).collect(), LAST_CHUNK.to_vec()].concat(),
            false => body,
        };
        [head.into_bytes(), body].concat()
    }

    /// Returns the body of the response.
    pub fn response_body(&self) -> Vec<u8> {
        random_bytes(self.response_bytes)
    }

    /// Returns the reply of the endpoint. The head is a piece of its own.
    pub fn reply(&self) -> Reply {
        let body = self.response_body();
        let part_bytes = body.len().div_ceil(self.pieces).max(1);
        let parts: Vec<&[u8]> = std::iter::once(&[][..]).chain(body.chunks(part_bytes)).collect();
        self.framing.reply(&parts, self.pause)
    }

    /// Returns whether the client has to get the whole response: the response is large or may be, so that its
    /// first bytes count, or it is complete in time.
    pub fn must_be_served(&self) -> bool {
        let may_be_large = self.framing != Framing::Length || self.response_bytes > MAX_SMALL_BODY_BYTES;
        let duration = self.pause * (self.pieces as u32 + 1);
        may_be_large || duration + SMALL_RESPONSE_MARGIN < self.client_wait
    }
}
