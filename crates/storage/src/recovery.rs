//! Opens the files that a log left: which count, where they end, and what is in them.

use std::collections::VecDeque;

use crate::error::StorageError;
use crate::files::{Files, read_whole};
use crate::format::{FileHeader, FileKind, FrameHeader, SEGMENT_HEADER_BYTES, find_frame};
use crate::frame_reader::{FrameReader, Next};
use crate::log::{Position, Segment, segment_name};
use crate::snapshot;

const SEGMENT_PREFIX: &str = "segment-";

/// A record that was found when a log was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovered<'a> {
    pub from: RecoveredFrom,
    pub payload: &'a [u8],
}

/// Where a record was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveredFrom {
    /// In the snapshot that covers all records up to this sequence number.
    Snapshot { covers: u64 },
    /// In a segment.
    Segment { sequence: u64, position: Position },
}

/// What is there to go on with.
pub(crate) struct Found {
    pub segments: VecDeque<Segment>,
    pub next_sequence: u64,
    pub next_segment: u64,
    pub batch: u32,
    pub is_sealed: bool,
    pub has_snapshot: bool,
}

/// How a segment ended.
struct SegmentEnd {
    records: u64,
    bytes: u64,
    last: Option<FrameHeader>,
    is_torn: bool,
}

/// Whether a name is one that a log gives to its files.
pub(crate) fn is_log_file(name: &str) -> bool {
    segment_number(name).is_some() || snapshot::covers(name).is_some()
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
) -> Result<Found, StorageError> {
    let names = files.list().map_err(|error| StorageError::io(".", error))?;
    for name in names.iter().filter(|name| snapshot::is_temporary(name)) {
        files.remove(name).map_err(|error| StorageError::io(name, error))?;
    }
    let newest = names.iter().filter_map(|name| snapshot::covers(name)).max();
    let mut covered = 0;
    let mut next_segment = 1;
    if let Some(covers) = newest {
        next_segment = snapshot::read(files, covers, visit)?.segment;
        covered = covers;
    }
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| segment_number(name)).collect();
    numbers.sort_unstable();
    let segments = read_segment_headers(files, &numbers)?;
    let segments = drop_covered(files, segments, newest)?;
    let mut found = Found {
        segments,
        next_sequence: covered + 1,
        next_segment,
        batch: 0,
        is_sealed: false,
        has_snapshot: newest.is_some(),
    };
    read_segments(files, &mut found, newest, visit)?;
    // What a process wrote and did not sync may be in the cache only; names likewise.
    if let Some(last) = found.segments.back() {
        let name = segment_name(last.number);
        files.sync_file(&name).map_err(|error| StorageError::io(&name, error))?;
    }
    files.sync_folder().map_err(|error| StorageError::io(".", error))?;
    Ok(found)
}

/// A last segment without a whole header holds no record, as the header is synced before them; it is removed.
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

/// Removes segments that the snapshot covers, of which some may have come back after a loss of power.
fn drop_covered<F: Files>(
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
    files: &mut F, found: &mut Found, newest: Option<u64>, visit: &mut dyn FnMut(Recovered<'_>),
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
            cut_torn_tail(files, *segment, &end, is_last)?;
        }
        segment.bytes = end.bytes;
        let next = segment.first_sequence + end.records;
        expected = Some(next);
        found.next_sequence = found.next_sequence.max(next);
        found.next_segment = segment.number + 1;
        found.batch = end.last.map_or(0, |last| last.batch);
        found.is_sealed = end.is_torn || end.last.is_some_and(|last| !last.is_last_of_batch);
    }
    // A segment that ends before the snapshot does cannot be continued: its next record would have a covered number.
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
            Next::Frame(frame) => {
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
            Next::End => return Ok(end),
            Next::Bad { .. } => {
                end.is_torn = true;
                return Ok(end);
            }
        }
    }
}

/// Cuts off a tail that was never synced. A whole frame of a later batch than the torn one proves that the torn one
/// had been synced: then this is damage.
fn cut_torn_tail<F: Files>(
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
