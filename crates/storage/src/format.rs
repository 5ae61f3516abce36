//! The binary format of segments and snapshots: file headers and record frames. All numbers are little-endian.
//!
//! A frame contains the number of its batch in the file, and whether it is the last frame of that batch. A batch is
//! written only after the previous batch was synced, so an intact frame of a later batch proves that all earlier batches
//! were synced. This distinguishes a torn tail, which is normal after a power loss, from damage, which is an error.

use crate::error::StorageError;

/// The format version that this program writes.
pub const FORMAT_VERSION: u16 = 1;

/// The size of the file header, which precedes the first frame.
pub const SEGMENT_HEADER_BYTES: usize = 32;

/// The size of the frame header, which precedes the payload.
pub const FRAME_HEADER_BYTES: usize = 16;

/// The maximum size of a payload.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024 * 1024;

const FILE_MAGIC: [u8; 4] = *b"PWSL";
const FRAME_MAGIC: [u8; 4] = *b"rec1";
const LAST_OF_BATCH: u32 = 1 << 31;

/// The kind of a file, as stated in its header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Segment,
    Snapshot,
}

/// The header of a segment or a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FileHeader {
    pub kind: FileKind,
    /// The sequence number of a segment's first record, or of the last record that a snapshot covers.
    pub sequence: u64,
    /// The number of a segment; 0 for a snapshot.
    pub segment: u64,
}

impl FileHeader {
    pub fn encode(&self) -> [u8; SEGMENT_HEADER_BYTES] {
        let mut bytes = [0; SEGMENT_HEADER_BYTES];
        bytes[..4].copy_from_slice(&FILE_MAGIC);
        bytes[4..6].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
        bytes[6] = match self.kind {
            FileKind::Segment => 0,
            FileKind::Snapshot => 1,
        };
        bytes[8..16].copy_from_slice(&self.sequence.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.segment.to_le_bytes());
        let crc = crc32fast::hash(&bytes[..28]);
        bytes[28..].copy_from_slice(&crc.to_le_bytes());
        bytes
    }

    /// Decodes a file header. Returns `None` if the bytes are not a valid header.
    pub fn decode(file: &str, bytes: &[u8]) -> Result<Option<Self>, StorageError> {
        let Some(bytes) = bytes.get(..SEGMENT_HEADER_BYTES) else { return Ok(None) };
        if bytes[..4] != FILE_MAGIC || crc32fast::hash(&bytes[..28]) != read_u32(bytes, 28) {
            return Ok(None);
        }
        let version = u16::from_le_bytes([bytes[4], bytes[5]]);
        if version != FORMAT_VERSION {
            return Err(StorageError::UnknownVersion { file: file.to_string(), version });
        }
        let kind = match bytes[6] {
            0 => FileKind::Segment,
            1 => FileKind::Snapshot,
            _ => return Ok(None),
        };
        Ok(Some(FileHeader { kind, sequence: read_u64(bytes, 8), segment: read_u64(bytes, 16) }))
    }
}

/// The header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FrameHeader {
    pub length: u32,
    /// The number of the batch in the file, starting at 1.
    pub batch: u32,
    pub is_last_of_batch: bool,
    crc: u32,
}

impl FrameHeader {
    /// Decodes a frame header without checking its payload. Returns `None` if the bytes are not a valid header.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.get(..FRAME_HEADER_BYTES)?;
        let length = read_u32(bytes, 4);
        if bytes[..4] != FRAME_MAGIC || length == 0 || length as usize > MAX_PAYLOAD_BYTES {
            return None;
        }
        let batch = read_u32(bytes, 8);
        Some(FrameHeader {
            length,
            batch: batch & !LAST_OF_BATCH,
            is_last_of_batch: batch & LAST_OF_BATCH != 0,
            crc: read_u32(bytes, 12),
        })
    }

    /// Whether the payload matches the length and the checksum in the header.
    pub fn matches(&self, payload: &[u8]) -> bool {
        payload.len() == self.length as usize
            && self.crc == frame_crc(self.length, self.batch_field(), payload)
    }

    /// The size of the frame with its header.
    pub fn frame_bytes(&self) -> u64 {
        FRAME_HEADER_BYTES as u64 + u64::from(self.length)
    }

    fn batch_field(&self) -> u32 {
        self.batch | if self.is_last_of_batch { LAST_OF_BATCH } else { 0 }
    }
}

/// Appends a frame to a buffer.
pub(crate) fn write_frame(
    buffer: &mut Vec<u8>, payload: &[u8], batch: u32, is_last_of_batch: bool,
) -> Result<(), StorageError> {
    if payload.is_empty() || payload.len() > MAX_PAYLOAD_BYTES {
        return Err(StorageError::PayloadSize(payload.len()));
    }
    let length = payload.len() as u32;
    let batch = batch | if is_last_of_batch { LAST_OF_BATCH } else { 0 };
    buffer.extend_from_slice(&FRAME_MAGIC);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&batch.to_le_bytes());
    buffer.extend_from_slice(&frame_crc(length, batch, payload).to_le_bytes());
    buffer.extend_from_slice(payload);
    Ok(())
}

/// Finds the first intact frame at or after `start` for which `is_wanted` returns true, and returns its offset and header.
pub(crate) fn find_frame(
    bytes: &[u8], start: usize, is_wanted: impl Fn(&FrameHeader) -> bool,
) -> Option<(usize, FrameHeader)> {
    (start..bytes.len().saturating_sub(FRAME_HEADER_BYTES)).find_map(|offset| {
        let header = FrameHeader::decode(&bytes[offset..])?;
        let payload = bytes[offset + FRAME_HEADER_BYTES..].get(..header.length as usize)?;
        (is_wanted(&header) && header.matches(payload)).then_some((offset, header))
    })
}

fn frame_crc(length: u32, batch: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&batch.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let mut number = [0; 4];
    number.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_le_bytes(number)
}

fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_le_bytes(number)
}
