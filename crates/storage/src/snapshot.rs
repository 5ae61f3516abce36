//! Snapshots: each is written under a temporary name, synced and renamed; then the folder is synced.

use bytes::Bytes;

use crate::error::StorageError;
use crate::files::Files;
use crate::format::{FileHeader, FileKind, SEGMENT_HEADER_BYTES, write_frame};
use crate::frame_reader::{FrameReader, NextFrame};
use crate::recovery::{Recovered, RecoveredFrom, read_header};

const PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// The buffer size at which a write is issued.
const WRITE_BYTES: usize = 128 * 1024;

pub(crate) fn name(covers: u64) -> String {
    format!("{PREFIX}{covers:016x}")
}

/// Parses the last covered sequence number from the file name of a snapshot.
pub(crate) fn covered_sequence(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(PREFIX)?, 16).ok()
}

pub(crate) fn is_temporary(name: &str) -> bool {
    name.starts_with(PREFIX) && name.ends_with(TEMPORARY_SUFFIX)
}

pub(crate) fn write<F, I>(
    files: &mut F, covers: u64, next_segment: u64, payloads: I,
) -> Result<(), StorageError>
where
    F: Files,
    I: IntoIterator<Item = Bytes>,
{
    let temporary = format!("{}{TEMPORARY_SUFFIX}", name(covers));
    let io = |error| StorageError::io(&temporary, error);
    files.create(&temporary).map_err(io)?;
    let header = FileHeader { kind: FileKind::Snapshot, sequence: covers, segment: next_segment };
    let mut buffer = header.encode().to_vec();
    let mut payloads = payloads.into_iter().peekable();
    while let Some(payload) = payloads.next() {
        write_frame(&mut buffer, &payload, 1, payloads.peek().is_none())?;
        if buffer.len() >= WRITE_BYTES {
            files.append(&temporary, &buffer).map_err(io)?;
            buffer.clear();
        }
    }
    files.append(&temporary, &buffer).map_err(io)?;
    files.sync_file(&temporary).map_err(io)?;
    files.rename(&temporary, &name(covers)).map_err(io)?;
    files.sync_folder().map_err(io)
}

/// Removes all snapshots except the one that covers up to the sequence number `newest`.
pub(crate) fn remove_older<F: Files>(files: &mut F, newest: u64) -> Result<(), StorageError> {
    for file in files.list().map_err(|error| StorageError::io(".", error))? {
        if covered_sequence(&file).is_some_and(|covers| covers != newest) || is_temporary(&file) {
            files.remove(&file).map_err(|error| StorageError::io(&file, error))?;
        }
    }
    files.sync_folder().map_err(|error| StorageError::io(".", error))
}

/// Passes the records of a snapshot to `visit` and returns its header. A snapshot was synced before it was renamed, so
/// any defect is damage.
pub(crate) fn read<F: Files>(
    files: &mut F, covers: u64, visit: &mut dyn FnMut(Recovered<'_>),
) -> Result<FileHeader, StorageError> {
    let file = name(covers);
    let header = read_header(files, &file)?
        .filter(|header| header.kind == FileKind::Snapshot && header.sequence == covers)
        .ok_or_else(|| StorageError::Damaged { file: file.clone(), offset: 0 })?;
    let mut reader = FrameReader::new(files, &file, SEGMENT_HEADER_BYTES as u64)?;
    let mut is_complete = true;
    let mut end = SEGMENT_HEADER_BYTES as u64;
    loop {
        match reader.next_frame()? {
            NextFrame::Frame(frame) => {
                is_complete = frame.header.is_last_of_batch;
                end = frame.offset + frame.header.frame_bytes();
                visit(Recovered { from: RecoveredFrom::Snapshot { covers }, payload: frame.payload });
            }
            NextFrame::End if is_complete => return Ok(header),
            NextFrame::End => return Err(StorageError::Damaged { file, offset: end }),
            NextFrame::Invalid { offset } => return Err(StorageError::Damaged { file, offset }),
        }
    }
}
