//! Frames of records on disk: length, checksum, then the record in postcard's format.

use serde::{Serialize, de::DeserializeOwned};

use crate::fault::{Damaged, Unwritable};

/// Adds a record's frame to `bytes`; its payload may take `most` bytes.
pub fn write<T: Serialize>(record: &T, most: usize, bytes: &mut Vec<u8>) -> Result<(), Unwritable> {
    let payload = postcard::to_stdvec(record).map_err(Unwritable::Form)?;
    if payload.len() > most {
        return Err(Unwritable::TooLong { bytes: payload.len() });
    }
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(())
}

/// Takes a record off the front of `bytes`; where there is none, they stay as they are.
pub fn read<T: DeserializeOwned>(most: usize, bytes: &mut &[u8]) -> Result<T, Damaged> {
    let (length, rest) = bytes.split_first_chunk::<4>().ok_or(Damaged::CutShort)?;
    let (sum, rest) = rest.split_first_chunk::<4>().ok_or(Damaged::CutShort)?;
    let length = u32::from_le_bytes(*length) as usize;
    if length > most {
        return Err(Damaged::TooLong { bytes: length });
    }
    let (payload, rest) = rest.split_at_checked(length).ok_or(Damaged::CutShort)?;
    if crc32fast::hash(payload) != u32::from_le_bytes(*sum) {
        return Err(Damaged::Checksum);
    }
    let record = postcard::from_bytes(payload).map_err(Damaged::Form)?;
    *bytes = rest;
    Ok(record)
}
