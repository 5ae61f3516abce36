//! What can go wrong with a log, and what to do about it.

use std::io;

/// Why a log could not be opened, written or read.
#[derive(Debug)]
pub enum StorageError {
    /// The operating system refused; `file` is the file at work.
    Io { file: String, error: io::Error },
    /// Synced bytes have changed or are missing.
    Damaged { file: String, offset: u64 },
    /// A segment between two others, or after a snapshot, is not there.
    MissingSegment { expected_sequence: u64, found_sequence: u64 },
    /// The file was written by a program that knows a newer format.
    UnknownVersion { file: String, version: u16 },
    /// A payload is empty or over the largest size.
    PayloadSize(usize),
    /// Segments of a log with snapshots are removed by snapshots only.
    HasSnapshot,
    /// No record begins at this place, or it was removed.
    NoRecord { file: String, offset: u64 },
}

impl StorageError {
    pub(crate) fn io(file: &str, error: io::Error) -> Self {
        StorageError::Io { file: file.to_string(), error }
    }

    /// Whether the disk has no room left.
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
                "{file} is damaged at byte {offset}, in a part that had been synced. Copy the data folder away, then \
                 either empty it, so that this node returns as one whose disk was lost and copies from the others, or \
                 read what is whole with `salvage`"
            ),
            StorageError::MissingSegment { expected_sequence, found_sequence } => write!(
                f,
                "records {expected_sequence} to {} are missing. Put their segment back, or empty the data folder, so \
                 that this node returns as one whose disk was lost",
                found_sequence.saturating_sub(1)
            ),
            StorageError::UnknownVersion { file, version } => write!(
                f,
                "{file} has format version {version}, which this program does not know. Start the newer program again"
            ),
            StorageError::PayloadSize(length) => write!(f, "a payload of {length} bytes cannot be logged"),
            StorageError::HasSnapshot => {
                f.write_str("this log has a snapshot, so only a newer snapshot may stand for its segments")
            }
            StorageError::NoRecord { file, offset } => {
                write!(f, "no whole record lies at byte {offset} of {file}")
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
