//! Format version 1 as fixed bytes: files in this format must stay readable.

mod common;

use common::{SMALL, batch, open, segment, texts};
use pewterseam_storage::{SimulatedFiles, StorageError};

/// Segment 1, which starts at sequence number 3: a batch of "alpha" and "beta", then a batch of "gamma".
const SEGMENT_1: &str = concat!(
    "5057534c0100000003000000000000000100000000000000000000002b503f9d7265633105000000",
    "01000000a52fe213616c70686172656331040000000100008063964aab6265746172656331050000",
    "0002000080a3ee7c2067616d6d61",
);

/// A snapshot that covers up to sequence number 2, with the record "state".
const SNAPSHOT_2: &str = concat!(
    "5057534c010001000200000000000000010000000000000000000000ad0f70ef7265633105000000",
    "01000080ecd0217e7374617465",
);

fn from_hex(text: &str) -> Vec<u8> {
    let digit = |byte: u8| (byte as char).to_digit(16).unwrap_or(0) as u8;
    text.as_bytes().chunks(2).map(|pair| digit(pair[0]) << 4 | digit(pair[1])).collect()
}

fn version_1() -> SimulatedFiles {
    let files = SimulatedFiles::new();
    files.put(&segment(1), &from_hex(SEGMENT_1));
    files.put("snapshot-0000000000000002", &from_hex(SNAPSHOT_2));
    files
}

/// Guards against a change that makes the files of earlier versions unreadable.
#[test]
fn format_version_1_is_readable() -> Result<(), StorageError> {
    let files = version_1();
    assert_eq!(texts(&files, SMALL)?, ["state", "alpha", "beta", "gamma"]);
    let (log, _) = open(&files, SMALL)?;
    assert_eq!(log.last_sequence(), 5);
    Ok(())
}

/// Guards against a change of the written format without a new format version.
#[test]
fn format_version_1_is_written() -> Result<(), StorageError> {
    let files = SimulatedFiles::new();
    files.put("snapshot-0000000000000002", &from_hex(SNAPSHOT_2));
    let (mut log, _) = open(&files, SMALL)?;
    log.append(&batch(&["alpha", "beta"]))?;
    log.append(&batch(&["gamma"]))?;
    assert_eq!(files.content(&segment(1)), Some(from_hex(SEGMENT_1)));
    Ok(())
}

/// Guards against reading a file of a newer format as if it had version 1.
#[test]
fn newer_format_version_is_reported() {
    let files = version_1();
    let mut content = from_hex(SEGMENT_1);
    content[4] = 2;
    let crc = crc32(&content[..28]).to_le_bytes();
    content[28..32].copy_from_slice(&crc);
    files.put(&segment(1), &content);
    assert!(matches!(open(&files, SMALL), Err(StorageError::UnknownVersion { version: 2, .. })));
}

/// CRC-32 as defined in IEEE 802.3.
fn crc32(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(!0, |crc: u32, byte| {
        (0..8).fold(crc ^ u32::from(*byte), |crc, _| (crc >> 1) ^ (0xedb8_8320 & (crc & 1).wrapping_neg()))
    })
}
