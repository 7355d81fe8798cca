//! Reading of input frames. Each is a length in 4 bytes, little-endian, followed by that number of bytes.

use std::io::Read;

use crate::simulator::error::{HostError, WireError};

/// Size of a frame's length in bytes.
const LENGTH_BYTES: u64 = 4;

/// Reads the next frame, without its length, into `frame`. Returns whether there was a frame: at the end of
/// the input there is none.
///
/// Memory is allocated for bytes that have arrived, not in advance for the length of the frame, which may be
/// wrong.
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
