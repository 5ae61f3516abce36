//! The log: appends batches with one sync each, reads records back, and removes old segments.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::error::StorageError;
use crate::files::Files;
use crate::format::{
    FRAME_HEADER_BYTES, FileHeader, FileKind, FrameHeader, SEGMENT_HEADER_BYTES, write_frame,
};
use crate::recovery::{self, Recovered};
use crate::snapshot;

/// The default size at which a new segment is started.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// The write buffer is freed after a write if its capacity exceeds this size.
const MAX_KEPT_BUFFER_BYTES: usize = 128 * 1024;

/// The options of a log.
#[derive(Clone, Copy, Debug)]
pub struct LogOptions {
    /// The size at which a segment is complete and a new one is started.
    pub segment_bytes: u64,
}

impl Default for LogOptions {
    fn default() -> Self {
        LogOptions { segment_bytes: SEGMENT_BYTES }
    }
}

/// The location of a record in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The number of the segment; later segments have higher numbers.
    pub segment: u64,
    /// The offset of the record's frame in the segment.
    pub offset: u32,
    /// The size of the payload.
    pub length: u32,
}

/// An existing segment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    pub number: u64,
    pub first_sequence: u64,
    pub bytes: u64,
}

/// A log in a folder. Records have consecutive sequence numbers, starting at 1.
pub struct Log<F> {
    pub(crate) files: F,
    options: LogOptions,
    /// The segments in order; records are appended to the last one.
    pub(crate) segments: VecDeque<Segment>,
    pub(crate) next_sequence: u64,
    /// The number that the next segment gets.
    pub(crate) next_segment: u64,
    /// The number of the last synced batch of the last segment.
    batch: u32,
    /// Whether the last segment accepts no more records.
    is_sealed: bool,
    has_snapshot: bool,
    /// Whether the last segment may hold bytes beyond its synced length.
    needs_repair: bool,
    buffer: Vec<u8>,
}

impl<F: Files> Log<F> {
    /// Opens the log of a folder, which may be empty, and passes each record to `visit`: first the records of the newest
    /// snapshot, then those after it, in order. A torn tail is truncated. All visited records are synced when this
    /// returns.
    pub fn open(
        mut files: F, options: LogOptions, visit: &mut dyn FnMut(Recovered<'_>),
    ) -> Result<Self, StorageError> {
        let found = recovery::recover(&mut files, visit)?;
        Ok(Log {
            files,
            options,
            segments: found.segments,
            next_sequence: found.next_sequence,
            next_segment: found.next_segment,
            batch: found.batch,
            is_sealed: found.is_sealed,
            has_snapshot: found.has_snapshot,
            needs_repair: false,
            buffer: Vec::new(),
        })
    }

    /// The sequence number of the newest record; 0 in an empty log.
    pub fn last_sequence(&self) -> u64 {
        self.next_sequence - 1
    }

    /// The size of all segments together.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// The numbers and sizes of all segments, oldest first.
    pub fn segments(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.segments.iter().map(|segment| (segment.number, segment.bytes))
    }

    /// Writes records and syncs them with one sync. After an error none of them counts as written; some of them may still
    /// be recovered if the process ends before a later append succeeds.
    pub fn append(&mut self, payloads: &[Bytes]) -> Result<Vec<Position>, StorageError> {
        if payloads.is_empty() {
            return Ok(Vec::new());
        }
        self.repair()?;
        let is_full = self.segments.back().is_none_or(|last| last.bytes >= self.options.segment_bytes);
        if is_full || self.is_sealed {
            self.start_segment()?;
        }
        let Some(last) = self.segments.back().copied() else {
            return Err(StorageError::NoRecord { file: segment_name(self.next_segment), offset: 0 });
        };
        let positions = self.encode(payloads, last)?;
        self.write(last)?;
        let written = self.buffer.len() as u64;
        if let Some(last) = self.segments.back_mut() {
            last.bytes += written;
        }
        self.batch += 1;
        self.next_sequence += payloads.len() as u64;
        if self.buffer.capacity() > MAX_KEPT_BUFFER_BYTES {
            self.buffer = Vec::new();
        }
        Ok(positions)
    }

    fn encode(&mut self, payloads: &[Bytes], last: Segment) -> Result<Vec<Position>, StorageError> {
        self.buffer.clear();
        let mut positions = Vec::with_capacity(payloads.len());
        for (index, payload) in payloads.iter().enumerate() {
            let offset = (last.bytes + self.buffer.len() as u64) as u32;
            positions.push(Position { segment: last.number, offset, length: payload.len() as u32 });
            write_frame(&mut self.buffer, payload, self.batch + 1, index + 1 == payloads.len())?;
        }
        Ok(positions)
    }

    fn write(&mut self, last: Segment) -> Result<(), StorageError> {
        let name = segment_name(last.number);
        self.needs_repair = true;
        self.files.append(&name, &self.buffer).map_err(|error| StorageError::io(&name, error))?;
        self.files.sync_file(&name).map_err(|error| StorageError::io(&name, error))?;
        self.needs_repair = false;
        Ok(())
    }

    /// Truncates the bytes that a failed append may have left.
    fn repair(&mut self) -> Result<(), StorageError> {
        let Some(last) = self.segments.back().filter(|_| self.needs_repair) else { return Ok(()) };
        let name = segment_name(last.number);
        self.files.set_length(&name, last.bytes).map_err(|error| StorageError::io(&name, error))?;
        self.files.sync_file(&name).map_err(|error| StorageError::io(&name, error))?;
        self.needs_repair = false;
        Ok(())
    }

    /// Starts a new segment. The header is synced before any record is written, so a segment without a header holds no
    /// records.
    fn start_segment(&mut self) -> Result<(), StorageError> {
        let number = self.next_segment;
        let name = segment_name(number);
        let header =
            FileHeader { kind: FileKind::Segment, sequence: self.next_sequence, segment: number }.encode();
        let io = |error| StorageError::io(&name, error);
        self.files.create(&name).map_err(io)?;
        self.files.append(&name, &header).map_err(io)?;
        self.files.sync_file(&name).map_err(io)?;
        self.files.sync_folder().map_err(io)?;
        let first_sequence = self.next_sequence;
        self.segments.push_back(Segment { number, first_sequence, bytes: SEGMENT_HEADER_BYTES as u64 });
        self.next_segment = number + 1;
        self.batch = 0;
        self.is_sealed = false;
        Ok(())
    }

    /// Reads a record back.
    pub fn read(&mut self, position: Position) -> Result<Bytes, StorageError> {
        let name = segment_name(position.segment);
        let mut bytes = vec![0; FRAME_HEADER_BYTES + position.length as usize];
        let count = self
            .files
            .read(&name, u64::from(position.offset), &mut bytes)
            .map_err(|error| StorageError::io(&name, error))?;
        let is_intact = count == bytes.len()
            && FrameHeader::decode(&bytes).is_some_and(|header| header.matches(&bytes[FRAME_HEADER_BYTES..]));
        if !is_intact {
            return Err(StorageError::NoRecord { file: name, offset: u64::from(position.offset) });
        }
        Ok(Bytes::from(bytes).slice(FRAME_HEADER_BYTES..))
    }

    /// Removes all segments with lower numbers, except the one that records are appended to.
    ///
    /// Each removal is synced before the next one, so that after a power loss no segment is missing between two others.
    /// Callers must first copy the records that they still need to the end of the log. A log is shortened either in this
    /// way or by snapshots, because after a snapshot all later segments must exist.
    pub fn remove_before(&mut self, segment: u64) -> Result<(), StorageError> {
        if self.has_snapshot {
            return Err(StorageError::HasSnapshot);
        }
        while self.segments.len() > 1 && self.segments.front().is_some_and(|first| first.number < segment) {
            self.remove_first()?;
        }
        Ok(())
    }

    fn remove_first(&mut self) -> Result<(), StorageError> {
        let Some(first) = self.segments.front() else { return Ok(()) };
        let name = segment_name(first.number);
        match self.files.remove(&name) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                return Err(StorageError::io(&name, error));
            }
            _ => {}
        }
        self.files.sync_folder().map_err(|error| StorageError::io(&name, error))?;
        self.segments.pop_front();
        Ok(())
    }

    /// Writes a snapshot that replaces all records up to and including `covers`, then removes the segments and snapshots
    /// that it makes obsolete. Until the new snapshot is complete, the older files are kept.
    pub fn snapshot<I>(&mut self, covers: u64, payloads: I) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = Bytes>,
    {
        let covers = covers.min(self.last_sequence());
        self.has_snapshot = true;
        snapshot::write(&mut self.files, covers, self.next_segment, payloads)?;
        snapshot::remove_older(&mut self.files, covers)?;
        while self.last_sequence_of_first() <= Some(covers) && !self.segments.is_empty() {
            self.remove_first()?;
        }
        Ok(())
    }

    /// The sequence number of the last record of the first segment.
    fn last_sequence_of_first(&self) -> Option<u64> {
        match self.segments.get(1) {
            Some(second) => Some(second.first_sequence - 1),
            None => self.segments.front().map(|_| self.last_sequence()),
        }
    }
}

/// The file name of a segment.
pub(crate) fn segment_name(number: u64) -> String {
    format!("segment-{number:016x}")
}
