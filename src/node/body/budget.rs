//! The memory for buffered bodies: a budget, reservations of it, and buffers that keep to their reservation.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use hyper::body::SizeHint;

use crate::config::max_buffered_bytes;

/// The largest body that is buffered, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// What was buffered of a larger body is passed on in pieces of this many bytes.
const MAX_PIECE_BYTES: usize = 8 << 10;

/// The memory for the buffered bodies of all requests and responses.
pub struct BufferBudget {
    /// How many bytes are not reserved.
    available: Cell<usize>,
}

impl BufferBudget {
    /// The budget of a process that may use `memory` bytes for everything.
    pub fn new(memory_bytes: usize) -> Rc<BufferBudget> {
        Rc::new(BufferBudget { available: Cell::new(max_buffered_bytes(memory_bytes)) })
    }

    /// Reserves what a body of this size may take; `None` if it is known to be too large to be buffered, or
    /// too little is available.
    pub fn reserve(self: &Rc<BufferBudget>, size: &SizeHint) -> Option<BufferReservation> {
        let bytes = match size.exact() {
            Some(length) => usize::try_from(length).ok()?,
            None => MAX_BUFFERED_BODY_BYTES,
        };
        if bytes > MAX_BUFFERED_BODY_BYTES {
            return None;
        }
        self.available.set(self.available.get().checked_sub(bytes)?);
        Some(BufferReservation { budget: self.clone(), bytes })
    }

    fn release(&self, bytes: usize) {
        self.available.set(self.available.get() + bytes);
    }
}

/// Some bytes of a [`BufferBudget`], released on drop.
pub struct BufferReservation {
    budget: Rc<BufferBudget>,
    bytes: usize,
}

impl BufferReservation {
    /// Releases all but `bytes`.
    fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.budget.release(excess);
        self.bytes -= excess;
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

/// A body while it is being buffered. It takes no more memory than its reservation.
pub struct BodyBuffer {
    bytes: BytesMut,
    reservation: BufferReservation,
}

impl BodyBuffer {
    /// An empty buffer.
    pub fn new(reservation: BufferReservation) -> BodyBuffer {
        BodyBuffer { bytes: BytesMut::new(), reservation }
    }

    /// Appends a piece, or returns it if it exceeds the reservation.
    pub fn push(&mut self, piece: Bytes) -> Result<(), Bytes> {
        let needed = self.bytes.len() + piece.len();
        if needed > self.reservation.bytes {
            return Err(piece);
        }
        if needed > self.bytes.capacity() {
            // `BytesMut` by itself would grow beyond the reservation.
            let capacity = (2 * self.bytes.capacity()).clamp(needed, self.reservation.bytes);
            let mut grown = BytesMut::with_capacity(capacity);
            grown.extend_from_slice(&self.bytes);
            self.bytes = grown;
        }
        self.bytes.extend_from_slice(&piece);
        Ok(())
    }

    /// What was buffered, with a reservation of just the memory that it takes.
    pub fn freeze(mut self) -> (Bytes, BufferReservation) {
        self.reservation.shrink_to(self.bytes.capacity());
        (self.bytes.freeze(), self.reservation)
    }
}

/// What was read of a body before it turned out to be too large to be buffered.
#[derive(Default)]
pub struct BufferedPrefix {
    buffered: Option<(Bytes, BufferReservation)>,
    /// The piece that exceeded the reservation.
    overflow: Option<Bytes>,
}

impl BufferedPrefix {
    /// What was buffered, if anything, and the piece that exceeded the reservation.
    pub fn new(buffer: Option<BodyBuffer>, overflow: Bytes) -> BufferedPrefix {
        let buffered = buffer.map(BodyBuffer::freeze).filter(|(bytes, _)| !bytes.is_empty());
        BufferedPrefix { buffered, overflow: Some(overflow) }
    }

    /// How many bytes are still to be passed on.
    pub fn len(&self) -> usize {
        let buffered = self.buffered.as_ref().map_or(0, |(bytes, _)| bytes.len());
        buffered + self.overflow.as_ref().map_or(0, Bytes::len)
    }

    /// Whether all of it was passed on.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The next piece. It is a copy, so that the reservation ends with the last piece and not with its
    /// reader.
    pub fn next_piece(&mut self) -> Option<Bytes> {
        let Some((bytes, _)) = &mut self.buffered else { return self.overflow.take() };
        let piece = Bytes::copy_from_slice(&bytes.split_to(bytes.len().min(MAX_PIECE_BYTES)));
        if bytes.is_empty() {
            self.buffered = None;
        }
        Some(piece)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/body_buffer.rs"]
mod tests;
