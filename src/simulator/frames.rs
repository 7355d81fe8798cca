//! Reading frames: a length of four bytes, little-endian, and so many bytes.

use std::io::Read;

use crate::simulator::error::{HostError, WireError};

/// The bytes of a frame's length.
const LENGTH_BYTES: u64 = 4;

/// Reads the next frame into `frame`; false at the end of the input.
///
/// Memory grows only with bytes that arrive, not with what a length announces.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, HostError> {
    frame.clear();
    let received = input.take(LENGTH_BYTES).read_to_end(frame)?;
    if received == 0 {
        return Ok(false);
    }
    let Ok(length) = <[u8; 4]>::try_from(&frame[..]) else {
        return Err(WireError::TruncatedLength { received }.into());
    };
    let announced = u64::from(u32::from_le_bytes(length));
    frame.clear();
    let received = input.take(announced).read_to_end(frame)? as u64;
    if received < announced {
        return Err(WireError::TruncatedFrame { received, announced }.into());
    }
    Ok(true)
}
