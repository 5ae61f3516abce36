//! Frames: a length in four bytes, most significant first, then a value in MessagePack.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// The largest value that a frame may hold.
pub const MOST_BYTES: usize = 16 * 1024 * 1024;

/// Why bytes are no frame.
#[derive(Debug)]
pub enum FrameError {
    /// The length is over [`MOST_BYTES`].
    TooLong(usize),
    Decode(rmp_serde::decode::Error),
    Encode(rmp_serde::encode::Error),
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::TooLong(length) => write!(f, "a frame of {length} bytes is longer than {MOST_BYTES}"),
            FrameError::Decode(error) => write!(f, "a frame cannot be read: {error}"),
            FrameError::Encode(error) => write!(f, "a frame cannot be written: {error}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// A value without a length, for a datagram or a file.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, FrameError> {
    rmp_serde::to_vec(value).map_err(FrameError::Encode)
}

/// Reads what [`encode`] wrote.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    rmp_serde::from_slice(bytes).map_err(FrameError::Decode)
}

/// Appends a value as a frame.
pub fn write_frame<T: Serialize>(buffer: &mut BytesMut, value: &T) -> Result<(), FrameError> {
    let start = buffer.len();
    buffer.put_u32(0);
    rmp_serde::encode::write(&mut buffer.writer(), value).map_err(FrameError::Encode)?;
    let length = buffer.len() - start - LENGTH_BYTES;
    if length > MOST_BYTES {
        buffer.truncate(start);
        return Err(FrameError::TooLong(length));
    }
    buffer[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(())
}

/// Takes the first whole frame from what has arrived; none while it is incomplete.
pub fn read_frame<T: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>, FrameError> {
    if buffer.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = (&buffer[..LENGTH_BYTES]).get_u32() as usize;
    if length > MOST_BYTES {
        return Err(FrameError::TooLong(length));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let value: Bytes = buffer.split_to(length).freeze();
    decode(&value).map(Some)
}
