//! The log: appends in batches of one sync each, reads back, removal of old segments.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::error::StorageError;
use crate::files::Files;
use crate::format::{
    FRAME_HEADER_BYTES, FileHeader, FileKind, FrameHeader, SEGMENT_HEADER_BYTES, write_frame,
};
use crate::recovery::{self, Recovered};
use crate::snapshot;

/// A segment of this size is followed by a new one.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// The write buffer is given back when it has grown beyond this.
const KEPT_BUFFER_BYTES: usize = 128 * 1024;

/// How a log is kept.
#[derive(Clone, Copy, Debug)]
pub struct LogOptions {
    /// A segment that has reached this size is followed by a new one.
    pub segment_bytes: u64,
}

impl Default for LogOptions {
    fn default() -> Self {
        LogOptions { segment_bytes: SEGMENT_BYTES }
    }
}

/// Where a record lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The number of the segment; later segments have higher numbers.
    pub segment: u64,
    /// The place of the record's frame in the segment.
    pub offset: u32,
    /// Bytes of the payload.
    pub length: u32,
}

/// A segment that exists.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    pub number: u64,
    pub first_sequence: u64,
    pub bytes: u64,
}

/// A log in a folder. The highest sequence number is that of the newest record; the first record has 1.
pub struct Log<F> {
    pub(crate) files: F,
    options: LogOptions,
    /// In order; the last one is written to.
    pub(crate) segments: VecDeque<Segment>,
    pub(crate) next_sequence: u64,
    /// The number that the next segment gets.
    pub(crate) next_segment: u64,
    /// The last batch of the last segment that was synced.
    batch: u32,
    /// The last segment takes no more records.
    is_sealed: bool,
    has_snapshot: bool,
    /// The last segment may hold bytes after its synced length.
    needs_repair: bool,
    buffer: Vec<u8>,
}

impl<F: Files> Log<F> {
    /// Opens the log of a folder, which may be empty, and tells `visit` of each record: those of the newest snapshot
    /// first, then those after it, in order. A torn tail is cut off. All that was told is synced when this returns.
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

    /// Bytes of all segments.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// The numbers and sizes of all segments, oldest first.
    pub fn segments(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.segments.iter().map(|segment| (segment.number, segment.bytes))
    }

    /// Writes records and syncs them with one sync. After an error none of them counts as written; one or the other may
    /// come back all the same if the process ends before a later append succeeds.
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
        if self.buffer.capacity() > KEPT_BUFFER_BYTES {
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

    /// Cuts off what a failed append may have left.
    fn repair(&mut self) -> Result<(), StorageError> {
        let Some(last) = self.segments.back().filter(|_| self.needs_repair) else { return Ok(()) };
        let name = segment_name(last.number);
        self.files.set_length(&name, last.bytes).map_err(|error| StorageError::io(&name, error))?;
        self.files.sync_file(&name).map_err(|error| StorageError::io(&name, error))?;
        self.needs_repair = false;
        Ok(())
    }

    /// The header is synced before any record is written, so that a segment without one holds none.
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
        let is_whole = count == bytes.len()
            && FrameHeader::decode(&bytes).is_some_and(|header| header.fits(&bytes[FRAME_HEADER_BYTES..]));
        if !is_whole {
            return Err(StorageError::NoRecord { file: name, offset: u64::from(position.offset) });
        }
        Ok(Bytes::from(bytes).slice(FRAME_HEADER_BYTES..))
    }

    /// Removes all segments with lower numbers, except the one that is written to.
    ///
    /// Each removal is synced before the next, so that after a loss of power no segment is missing between two others.
    /// This is for callers that write what they still need again. A log is made shorter either in this way or by
    /// snapshots, as after a snapshot all later segments must be there.
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

    /// Writes a snapshot that stands for all records up to and including `covers`, then removes the segments and the
    /// snapshots that it makes needless. While it is written the older ones stay whole.
    pub fn snapshot<I>(&mut self, covers: u64, payloads: I) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = Bytes>,
    {
        let covers = covers.min(self.last_sequence());
        self.has_snapshot = true;
        snapshot::write(&mut self.files, covers, self.next_segment, payloads)?;
        snapshot::remove_older(&mut self.files, covers)?;
        while self.end_of_first() <= Some(covers) && !self.segments.is_empty() {
            self.remove_first()?;
        }
        Ok(())
    }

    /// The sequence number of the last record of the first segment.
    fn end_of_first(&self) -> Option<u64> {
        match self.segments.get(1) {
            Some(second) => Some(second.first_sequence - 1),
            None => self.segments.front().map(|_| self.last_sequence()),
        }
    }
}

/// The file of a segment.
pub(crate) fn segment_name(number: u64) -> String {
    format!("segment-{number:016x}")
}
