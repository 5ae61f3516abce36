//! Recovers a log from its files: selects the valid files, finds their ends and reads their records.

use std::collections::VecDeque;

use crate::error::StorageError;
use crate::files::{Files, read_whole};
use crate::format::{FileHeader, FileKind, FrameHeader, SEGMENT_HEADER_BYTES, find_frame};
use crate::frame_reader::{FrameReader, NextFrame};
use crate::log::{Position, Segment, segment_name};
use crate::snapshot;

const SEGMENT_PREFIX: &str = "segment-";

/// A record that was found when a log was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovered<'a> {
    pub from: RecoveredFrom,
    pub payload: &'a [u8],
}

/// The file that a record was found in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveredFrom {
    /// In the snapshot that covers all records up to this sequence number.
    Snapshot { covers: u64 },
    /// In a segment.
    Segment { sequence: u64, position: Position },
}

/// The state of the log after recovery, from which writing continues.
pub(crate) struct RecoveredLog {
    pub segments: VecDeque<Segment>,
    pub next_sequence: u64,
    pub next_segment: u64,
    pub batch: u32,
    pub is_sealed: bool,
    pub has_snapshot: bool,
}

/// The end of a segment.
struct SegmentEnd {
    records: u64,
    bytes: u64,
    last: Option<FrameHeader>,
    is_torn: bool,
}

/// Whether a file name is that of a segment or a snapshot.
pub(crate) fn is_log_file(name: &str) -> bool {
    segment_number(name).is_some() || snapshot::covered_sequence(name).is_some()
}

fn segment_number(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(SEGMENT_PREFIX)?, 16).ok()
}

pub(crate) fn read_header<F: Files>(files: &mut F, name: &str) -> Result<Option<FileHeader>, StorageError> {
    let mut bytes = [0; SEGMENT_HEADER_BYTES];
    let count = files.read(name, 0, &mut bytes).map_err(|error| StorageError::io(name, error))?;
    FileHeader::decode(name, &bytes[..count])
}

pub(crate) fn recover<F: Files>(
    files: &mut F, visit: &mut dyn FnMut(Recovered<'_>),
) -> Result<RecoveredLog, StorageError> {
    let names = files.list().map_err(|error| StorageError::io(".", error))?;
    for name in names.iter().filter(|name| snapshot::is_temporary(name)) {
        files.remove(name).map_err(|error| StorageError::io(name, error))?;
    }
    let newest = names.iter().filter_map(|name| snapshot::covered_sequence(name)).max();
    let mut covered = 0;
    let mut next_segment = 1;
    if let Some(covers) = newest {
        next_segment = snapshot::read(files, covers, visit)?.segment;
        covered = covers;
    }
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| segment_number(name)).collect();
    numbers.sort_unstable();
    let segments = read_segment_headers(files, &numbers)?;
    let segments = remove_covered_segments(files, segments, newest)?;
    let mut found = RecoveredLog {
        segments,
        next_sequence: covered + 1,
        next_segment,
        batch: 0,
        is_sealed: false,
        has_snapshot: newest.is_some(),
    };
    read_segments(files, &mut found, newest, visit)?;
    // Data and file names that an earlier process did not sync may exist only in the cache.
    if let Some(last) = found.segments.back() {
        let name = segment_name(last.number);
        files.sync_file(&name).map_err(|error| StorageError::io(&name, error))?;
    }
    files.sync_folder().map_err(|error| StorageError::io(".", error))?;
    Ok(found)
}

/// Reads the headers of all segments. A last segment without an intact header is removed: it holds no records, because
/// the header is synced before them.
fn read_segment_headers<F: Files>(files: &mut F, numbers: &[u64]) -> Result<VecDeque<Segment>, StorageError> {
    let mut segments = VecDeque::new();
    for (index, number) in numbers.iter().enumerate() {
        let name = segment_name(*number);
        let bytes = files.length(&name).map_err(|error| StorageError::io(&name, error))?;
        let header = read_header(files, &name)?
            .filter(|header| header.kind == FileKind::Segment && header.segment == *number);
        match header {
            Some(header) => {
                segments.push_back(Segment { number: *number, first_sequence: header.sequence, bytes });
            }
            None if index + 1 == numbers.len() && bytes <= SEGMENT_HEADER_BYTES as u64 => {
                files.remove(&name).map_err(|error| StorageError::io(&name, error))?;
            }
            None => return Err(StorageError::Damaged { file: name, offset: 0 }),
        }
    }
    Ok(segments)
}

/// Removes segments that the snapshot covers. A power loss can bring removed segments back.
fn remove_covered_segments<F: Files>(
    files: &mut F, mut segments: VecDeque<Segment>, newest: Option<u64>,
) -> Result<VecDeque<Segment>, StorageError> {
    let Some(covered) = newest else { return Ok(segments) };
    while segments.get(1).is_some_and(|second| second.first_sequence <= covered + 1) {
        if let Some(first) = segments.pop_front() {
            let name = segment_name(first.number);
            files.remove(&name).map_err(|error| StorageError::io(&name, error))?;
        }
    }
    if let Some(first) = segments.front()
        && first.first_sequence > covered + 1
    {
        return Err(StorageError::MissingSegment {
            expected_sequence: covered + 1,
            found_sequence: first.first_sequence,
        });
    }
    Ok(segments)
}

fn read_segments<F: Files>(
    files: &mut F, found: &mut RecoveredLog, newest: Option<u64>, visit: &mut dyn FnMut(Recovered<'_>),
) -> Result<(), StorageError> {
    let covered = newest.unwrap_or(0);
    let count = found.segments.len();
    let mut expected = None;
    for (index, segment) in found.segments.iter_mut().enumerate() {
        if let Some(expected) = expected
            && expected != segment.first_sequence
        {
            return Err(StorageError::MissingSegment {
                expected_sequence: expected,
                found_sequence: segment.first_sequence,
            });
        }
        let is_last = index + 1 == count;
        let end = read_segment(files, *segment, covered, visit)?;
        if end.is_torn {
            truncate_torn_tail(files, *segment, &end, is_last)?;
        }
        segment.bytes = end.bytes;
        let next = segment.first_sequence + end.records;
        expected = Some(next);
        found.next_sequence = found.next_sequence.max(next);
        found.next_segment = segment.number + 1;
        found.batch = end.last.map_or(0, |last| last.batch);
        found.is_sealed = end.is_torn || end.last.is_some_and(|last| !last.is_last_of_batch);
    }
    // Records cannot be appended to a segment that ends before the snapshot does: the next record would get a sequence
    // number that the snapshot covers.
    if expected.is_some_and(|expected| expected <= covered) {
        found.is_sealed = true;
    }
    Ok(())
}

fn read_segment<F: Files>(
    files: &mut F, segment: Segment, covered: u64, visit: &mut dyn FnMut(Recovered<'_>),
) -> Result<SegmentEnd, StorageError> {
    let name = segment_name(segment.number);
    let mut end = SegmentEnd { records: 0, bytes: SEGMENT_HEADER_BYTES as u64, last: None, is_torn: false };
    let mut reader = FrameReader::new(files, &name, end.bytes)?;
    loop {
        match reader.next_frame()? {
            NextFrame::Frame(frame) => {
                let sequence = segment.first_sequence + end.records;
                if sequence > covered {
                    let position = Position {
                        segment: segment.number,
                        offset: frame.offset as u32,
                        length: frame.header.length,
                    };
                    visit(Recovered {
                        from: RecoveredFrom::Segment { sequence, position },
                        payload: frame.payload,
                    });
                }
                end.records += 1;
                end.bytes = frame.offset + frame.header.frame_bytes();
                end.last = Some(frame.header);
            }
            NextFrame::End => return Ok(end),
            NextFrame::Invalid { .. } => {
                end.is_torn = true;
                return Ok(end);
            }
        }
    }
}

/// Truncates a tail that was never synced. An intact frame of a batch after the torn one proves that the torn batch was
/// synced; in that case the file is damaged.
fn truncate_torn_tail<F: Files>(
    files: &mut F, segment: Segment, end: &SegmentEnd, is_last: bool,
) -> Result<(), StorageError> {
    let name = segment_name(segment.number);
    let torn_batch = match end.last {
        Some(last) if !last.is_last_of_batch => last.batch,
        Some(last) => last.batch + 1,
        None => 1,
    };
    let bytes = read_whole(files, &name).map_err(|error| StorageError::io(&name, error))?;
    let later = find_frame(&bytes, end.bytes as usize, |header| header.batch > torn_batch);
    if !is_last || later.is_some() {
        return Err(StorageError::Damaged { file: name, offset: end.bytes });
    }
    files.set_length(&name, end.bytes).map_err(|error| StorageError::io(&name, error))?;
    files.sync_file(&name).map_err(|error| StorageError::io(&name, error))
}
