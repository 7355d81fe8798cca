//! Memory for buffered bodies: the budget of the process, reservations from it, and buffers that stay within
//! their reservation.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use hyper::body::SizeHint;

use crate::config::max_buffered_bytes;

/// Maximum length of a body that is buffered, in bytes.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Maximum size of the pieces in which the buffered part of a larger body is passed on, in bytes.
const MAX_PIECE_BYTES: usize = 8 << 10;

/// Returns whether a body of this size is known to be too large to be buffered.
pub fn is_too_large_to_buffer(size: &SizeHint) -> bool {
    size.lower() > MAX_BUFFERED_BODY_BYTES as u64
}

/// Returns whether a body of this size is too large to be buffered, or may be because its length is unknown.
pub fn may_be_large(size: &SizeHint) -> bool {
    size.exact().is_none() || is_too_large_to_buffer(size)
}

/// Memory budget for the buffered bodies of all requests and responses.
pub struct BufferBudget {
    /// Number of bytes that are not reserved.
    available: Cell<usize>,
}

impl BufferBudget {
    /// Creates the budget of a process that may use `memory_bytes` bytes in total.
    pub fn new(memory_bytes: usize) -> Rc<BufferBudget> {
        Rc::new(BufferBudget { available: Cell::new(max_buffered_bytes(memory_bytes)) })
    }

    /// Reserves the memory for a body of this size: its exact length if that is known, otherwise
    /// [`MAX_BUFFERED_BODY_BYTES`]. Returns `None` if the body is known to be too large to be buffered, or if
    /// too little memory is available.
    pub fn reserve(self: &Rc<BufferBudget>, size: &SizeHint) -> Option<BufferReservation> {
        if is_too_large_to_buffer(size) {
            return None;
        }
        let bytes = size.exact().map_or(MAX_BUFFERED_BODY_BYTES, |length| length as usize);
        self.available.set(self.available.get().checked_sub(bytes)?);
        Some(BufferReservation { budget: self.clone(), bytes })
    }

    fn release(&self, bytes: usize) {
        self.available.set(self.available.get() + bytes);
    }
}

/// Reservation of memory from a [`BufferBudget`], released on drop.
pub struct BufferReservation {
    budget: Rc<BufferBudget>,
    bytes: usize,
}

impl BufferReservation {
    /// Releases all but `bytes` bytes of the reservation.
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

/// Buffer that receives a body. Its capacity never exceeds its reservation.
pub struct BodyBuffer {
    bytes: BytesMut,
    reservation: BufferReservation,
}

impl BodyBuffer {
    /// Creates an empty buffer.
    pub fn new(reservation: BufferReservation) -> BodyBuffer {
        BodyBuffer { bytes: BytesMut::new(), reservation }
    }

    /// Appends a piece, or returns it as the error if it exceeds the reservation.
    pub fn push(&mut self, piece: Bytes) -> Result<(), Bytes> {
        let needed = self.bytes.len() + piece.len();
        if needed > self.reservation.bytes {
            return Err(piece);
        }
        if needed > self.bytes.capacity() {
            // `BytesMut::extend_from_slice` may grow the buffer beyond the reservation.
            let capacity = (2 * self.bytes.capacity()).clamp(needed, self.reservation.bytes);
            let mut grown = BytesMut::with_capacity(capacity);
            grown.extend_from_slice(&self.bytes);
            self.bytes = grown;
        }
        self.bytes.extend_from_slice(&piece);
        Ok(())
    }

    /// Returns the buffered bytes and the reservation, reduced to the memory that they use.
    pub fn freeze(mut self) -> (Bytes, BufferReservation) {
        self.reservation.shrink_to(self.bytes.capacity());
        (self.bytes.freeze(), self.reservation)
    }
}

/// The part of a body that was read before it was known that the body is streamed: it exceeds its
/// reservation, or nothing could be reserved.
#[derive(Default)]
pub struct BufferedPrefix {
    buffered: Option<(Bytes, BufferReservation)>,
    /// The first piece that was not buffered.
    overflow: Option<Bytes>,
}

impl BufferedPrefix {
    /// Creates a prefix of what was buffered, if anything, and the first piece that was not buffered, if any.
    pub fn new(buffer: Option<BodyBuffer>, overflow: Option<Bytes>) -> BufferedPrefix {
        let buffered = buffer.map(BodyBuffer::freeze).filter(|(bytes, _)| !bytes.is_empty());
        BufferedPrefix { buffered, overflow }
    }

    /// Returns the number of bytes that are still to be passed on.
    pub fn len(&self) -> usize {
        let buffered = self.buffered.as_ref().map_or(0, |(bytes, _)| bytes.len());
        buffered + self.overflow.as_ref().map_or(0, Bytes::len)
    }

    /// Returns whether the whole prefix was passed on.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the next piece. Pieces of the buffer are copies, so that the buffer and its reservation are
    /// released after the last of them, even while the reader still holds pieces.
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
