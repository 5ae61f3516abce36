//! Frames: a length in four bytes, most significant first, then a value in MessagePack.
//!
//! A long value is compressed by LZ4 where that makes it shorter: the highest bit of the length tells. Configurations and
//! states repeat themselves, and a link that is full of them carries nothing else for that time.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// The largest value that a frame may hold.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Set in the length of a frame whose value is compressed.
const COMPRESSED: u32 = 1 << 31;

/// A shorter value is not worth compressing.
const COMPRESSED_FROM: usize = 1024;

/// A compressed value is sent if it takes at most this part of the plain one, in eighths.
const MOST_EIGHTHS: usize = 7;

/// Why bytes are no frame.
#[derive(Debug)]
pub enum FrameError {
    /// The length is over [`MAX_FRAME_BYTES`].
    TooLong(usize),
    Decode(rmp_serde::decode::Error),
    Decompress(lz4_flex::block::DecompressError),
    Encode(rmp_serde::encode::Error),
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::TooLong(length) => {
                write!(f, "a frame of {length} bytes is longer than {MAX_FRAME_BYTES}")
            }
            FrameError::Decode(error) => write!(f, "a frame cannot be read: {error}"),
            FrameError::Decompress(error) => write!(f, "a frame cannot be decompressed: {error}"),
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
    let value_start = start + LENGTH_BYTES;
    rmp_serde::encode::write(&mut buffer.writer(), value).map_err(FrameError::Encode)?;
    let length = buffer.len() - value_start;
    if length > MAX_FRAME_BYTES {
        buffer.truncate(start);
        return Err(FrameError::TooLong(length));
    }
    let flag = if compress_tail(buffer, value_start) { COMPRESSED } else { 0 };
    let length = (buffer.len() - value_start) as u32 | flag;
    buffer[start..value_start].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Compresses what follows a place, if that makes it shorter.
fn compress_tail(buffer: &mut BytesMut, start: usize) -> bool {
    let plain = &buffer[start..];
    if plain.len() < COMPRESSED_FROM {
        return false;
    }
    let compressed = lz4_flex::block::compress_prepend_size(plain);
    if compressed.len() > plain.len() / 8 * MOST_EIGHTHS {
        return false;
    }
    buffer.truncate(start);
    buffer.extend_from_slice(&compressed);
    true
}

/// Takes the first whole frame from what has arrived; none while it is incomplete.
pub fn read_frame<T: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>, FrameError> {
    if buffer.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let word = (&buffer[..LENGTH_BYTES]).get_u32();
    let length = (word & !COMPRESSED) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let value: Bytes = buffer.split_to(length).freeze();
    if word & COMPRESSED == 0 {
        return decode(&value).map(Some);
    }
    decode(&decompress(&value)?).map(Some)
}

/// The plain form of a compressed value.
///
/// Danger: the announced length is that of the memory that is taken.
fn decompress(value: &[u8]) -> Result<Vec<u8>, FrameError> {
    let (length, compressed) = lz4_flex::block::uncompressed_size(value).map_err(FrameError::Decompress)?;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    lz4_flex::block::decompress(compressed, length).map_err(FrameError::Decompress)
}
