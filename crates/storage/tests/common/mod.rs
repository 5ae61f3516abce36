//! Helpers shared by the tests of the log.

#![allow(dead_code)]

use bytes::Bytes;
use pewterseam_storage::{Log, LogOptions, Position, RecoveredFrom, SimulatedFiles, StorageError};

/// Small segments, so that a few records fill several segments.
pub const SMALL: LogOptions = LogOptions { segment_bytes: 256 };

/// The file name of a segment.
pub fn segment(number: u64) -> String {
    format!("segment-{number:016x}")
}

pub fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

pub fn batch(texts: &[&str]) -> Vec<Bytes> {
    texts.iter().map(|text| bytes(text)).collect()
}

/// An opened log with its recovered records: sequence number (0 in a snapshot), position and payload of each.
pub type Opened = (Log<SimulatedFiles>, Vec<(u64, Option<Position>, Vec<u8>)>);

pub fn open(files: &SimulatedFiles, options: LogOptions) -> Result<Opened, StorageError> {
    let mut found = Vec::new();
    let log = Log::open(files.clone(), options, &mut |record| {
        let (sequence, position) = match record.from {
            RecoveredFrom::Snapshot { .. } => (0, None),
            RecoveredFrom::Segment { sequence, position } => (sequence, Some(position)),
        };
        found.push((sequence, position, record.payload.to_vec()));
    })?;
    Ok((log, found))
}

/// The payloads of a log as texts.
pub fn texts(files: &SimulatedFiles, options: LogOptions) -> Result<Vec<String>, StorageError> {
    let (_, found) = open(files, options)?;
    Ok(found.into_iter().map(|(_, _, payload)| String::from_utf8_lossy(&payload).into_owned()).collect())
}
