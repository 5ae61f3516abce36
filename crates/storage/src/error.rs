//! The errors of a log, with advice for operators.

use std::io;

/// Why a log could not be opened, written or read.
#[derive(Debug)]
pub enum StorageError {
    /// The operating system returned an error while working on `file`.
    Io { file: String, error: io::Error },
    /// Synced bytes have changed or are missing.
    Damaged { file: String, offset: u64 },
    /// A segment between two others, or after a snapshot, is missing.
    MissingSegment { expected_sequence: u64, found_sequence: u64 },
    /// The file was written in a newer format by a newer version of the program.
    UnknownVersion { file: String, version: u16 },
    /// A payload is empty or exceeds the maximum size.
    PayloadSize(usize),
    /// Segments of a log with snapshots can only be removed by writing a snapshot.
    HasSnapshot,
    /// No record begins at this offset, or the record was removed.
    NoRecord { file: String, offset: u64 },
}

impl StorageError {
    pub(crate) fn io(file: &str, error: io::Error) -> Self {
        StorageError::Io { file: file.to_string(), error }
    }

    /// Whether the disk is full.
    pub fn is_full(&self) -> bool {
        matches!(self, StorageError::Io { error, .. }
            if matches!(error.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded))
    }
}

impl std::fmt::Display for StorageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StorageError::Io { file, error } => write!(f, "{file}: {error}"),
            StorageError::Damaged { file, offset } => write!(
                f,
                "{file} is damaged at byte {offset}, in data that had been synced. Copy the data folder away, then either \
                 empty it, so that this node rejoins as one that lost its disk and copies from the others, or read \
                 the intact records with `salvage`"
            ),
            StorageError::MissingSegment { expected_sequence, found_sequence } => write!(
                f,
                "records {expected_sequence} to {} are missing. Restore their segment, or empty the data folder, so \
                 that this node rejoins as one that lost its disk",
                found_sequence.saturating_sub(1)
            ),
            StorageError::UnknownVersion { file, version } => write!(
                f,
                "{file} has format version {version}, which this version does not support. Start the newer version again"
            ),
            StorageError::PayloadSize(length) => {
                write!(f, "a payload of {length} bytes is empty or exceeds the maximum size")
            }
            StorageError::HasSnapshot => f.write_str(
                "this log has a snapshot, so its segments can only be removed by writing a newer snapshot",
            ),
            StorageError::NoRecord { file, offset } => {
                write!(f, "no intact record found at byte {offset} of {file}")
            }
        }
    }
}

impl std::error::Error for StorageError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StorageError::Io { error, .. } => Some(error),
            _ => None,
        }
    }
}
