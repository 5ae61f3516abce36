//! What can be wrong with the bytes of records, and what an operator can do about it.

use std::io;

use pewterseam_errors::Advice;
use thiserror::Error;

/// Why a record has no bytes.
#[derive(Debug, Error)]
pub enum Unwritable {
    /// Danger: at the next start it, and all behind it in its segment, would be lost.
    #[error("a record of {bytes} bytes is longer than a start reads")]
    TooLong { bytes: usize },
    #[error("a record has no bytes: {0}")]
    Form(postcard::Error),
}

impl Advice for Unwritable {
    fn code(&self) -> &'static str {
        match self {
            Unwritable::TooLong { .. } => "record-too-long",
            Unwritable::Form(_) => "record-unwritable",
        }
    }

    fn help(&self) -> String {
        match self {
            Unwritable::TooLong { .. } => "hand the message in smaller; nothing of it was kept".to_owned(),
            Unwritable::Form(_) => "report it with the version: no message should bring this".to_owned(),
        }
    }
}

/// Writers of a journal have no other way to fail than their file's.
impl From<Unwritable> for io::Error {
    fn from(error: Unwritable) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// Why bytes are no record.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Damaged {
    #[error("the last record is cut short")]
    CutShort,
    #[error("a record of {bytes} bytes is longer than any that was written")]
    TooLong { bytes: usize },
    #[error("a record differs from its checksum")]
    Checksum,
    #[error("a whole record is of no known form: {0}")]
    Form(postcard::Error),
}

impl Advice for Damaged {
    fn code(&self) -> &'static str {
        match self {
            Damaged::CutShort => "journal-cut-short",
            Damaged::TooLong { .. } => "journal-length",
            Damaged::Checksum => "journal-checksum",
            Damaged::Form(_) => "journal-form",
        }
    }

    fn help(&self) -> String {
        let text = match self {
            Damaged::CutShort => "nothing after a kill or a full disk: what it tells had no effect yet",
            Damaged::TooLong { .. } | Damaged::Checksum => {
                "look at the disk, and compare the messages of this folder with what clients were told"
            }
            Damaged::Form(_) => "read it with the version that wrote it, or a newer one",
        };
        text.to_owned()
    }
}
