//! What the relay has taken on, on disk: append-only segments that a restart reads back.
//!
//! A segment is a file `NUMBER.log` that starts with [`MAGIC`]; each record is its length, the CRC-32 of its
//! payload (both u32, little-endian) and the payload, a [`Record`] in postcard's format. Plain writes are
//! enough to outlast the process. `docs/relay.md` has more.

use std::collections::BTreeMap;
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use pewterseam::interface::Micros;
use serde::{Deserialize, Serialize};

use crate::message::{End, Message};

/// First bytes of a segment: name and version of the format.
const MAGIC: &[u8; 8] = b"pewter\x00\x01";
/// Longest payload taken; a body of the most bytes fits well.
const MOST_PAYLOAD: usize = 1024 * 1024;
/// Files are counted in units of this many bytes.
const BLOCK: u64 = 512;
/// What a message takes beside its texts and body when it is written anew, at the most: frames and numbers, an
/// attempt that is out, its first failure and its end. Attempts that are over go with the next writing anew.
/// Danger: room that is kept free for nothing has messages refused that could be held.
const LIFE: u64 = 160;
/// Parts of the folder's limit: messages on hand, and all segments when they are written anew. A step may add
/// as much as may be on hand, and then old and new segments lie side by side for a moment: 0.9 in all.
const MOST_LIVE: f64 = 0.25;
const MOST_WRITTEN: f64 = 0.4;
/// Segments below this many bytes are not written anew.
const LEAST_WRITTEN: u64 = 64 * 1024;

/// One thing that happened to a message; they are numbered in the order taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// All that stands before this in the journal is written anew behind it.
    Anew {
        next: u64,
    },
    /// With what became of it so far, where it is written anew.
    Taken {
        number: u64,
        message: Message,
        past: Past,
    },
    /// Written before the call goes out.
    Started {
        number: u64,
        at: Micros,
    },
    Over {
        number: u64,
        how: Over,
    },
    /// Given up; the notice of it is owed.
    Closing {
        number: u64,
        end: End,
    },
    /// Nothing is owed any more.
    Ended {
        number: u64,
    },
    /// Behind `Taken`, where it is written anew.
    FailedAt {
        number: u64,
        at: Micros,
    },
    /// Behind `Started`: the zone of the call's host, where repeats are dropped in one zone only.
    StartedIn {
        number: u64,
        zone: Zone,
    },
    /// Behind `Taken`, where it is written anew: the zone of the first attempt that may have run.
    RanIn {
        number: u64,
        zone: Zone,
    },
}

/// A zone by its name's number, since its place in the settings may change between two starts.
pub type Zone = u32;

/// What the two records of zones take at the most.
pub const ZONES: u64 = 48;

/// What is known of an attempt that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Over {
    /// Turned away or not sent at all.
    Unseen,
    /// It failed, but never ran.
    Failed,
    /// It failed and may have run.
    MayHaveRun,
}

/// What became of a message's attempts so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    pub attempts: u32,
    /// When the first attempt that may have run was sent.
    pub ran: Option<Micros>,
    /// An attempt failed, other than by being turned away.
    pub failed: bool,
    /// When the first one that did was sent, if that is known; in a record of its own, as the format's first
    /// version had none.
    #[serde(skip)]
    pub failed_at: Option<Micros>,
    /// Where the first attempt that may have run went, if that matters and is known; in a record of its own.
    #[serde(skip)]
    pub ran_in: Option<Zone>,
}

impl fmt::Display for Past {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, ", {} attempts", self.attempts)?;
        f.write_str(if self.ran.is_some() { ", may have run" } else { "" })
    }
}

impl Past {
    /// Books the end of an attempt that was sent at `at` to a host in `zone`.
    pub fn book(&mut self, at: Micros, zone: Option<Zone>, how: Over) {
        if how != Over::Unseen && !self.failed {
            (self.failed, self.failed_at) = (true, Some(at));
        }
        if how == Over::MayHaveRun {
            self.may_have_run(at, zone);
        }
    }

    /// Books an attempt that may have run; the first one counts.
    fn may_have_run(&mut self, at: Micros, zone: Option<Zone>) {
        if self.ran.is_none() {
            (self.ran, self.ran_in) = (Some(at), zone);
        }
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Record::Anew { next } => write!(f, "written anew, next {next}"),
            Record::Taken { number, message, past } => write!(f, "{number} taken {message}{past}"),
            Record::Started { number, at } => write!(f, "{number} attempt started at {at}"),
            Record::Over { number, how: Over::Unseen } => write!(f, "{number} attempt over, not run"),
            Record::Over { number, how: Over::Failed } => write!(f, "{number} attempt failed, not run"),
            Record::Over { number, how: Over::MayHaveRun } => {
                write!(f, "{number} attempt over, may have run")
            }
            Record::Closing { number, end } => write!(f, "{number} given up, {end}"),
            Record::Ended { number } => write!(f, "{number} ended"),
            Record::FailedAt { number, at } => write!(f, "{number} first failed attempt started at {at}"),
            Record::StartedIn { number, zone } => write!(f, "{number} attempt goes to zone {zone:08x}"),
            Record::RanIn { number, zone } => write!(f, "{number} may have run in zone {zone:08x}"),
        }
    }
}

impl Record {
    /// Adds the record's frame to `bytes`.
    fn write(&self, bytes: &mut Vec<u8>) -> io::Result<()> {
        let payload = postcard::to_stdvec(self).map_err(io::Error::other)?;
        bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
        bytes.extend_from_slice(&payload);
        Ok(())
    }

    /// Takes a record off the front of `bytes`; none where it is cut short or damaged.
    fn read(bytes: &mut &[u8]) -> Option<Record> {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let (sum, rest) = rest.split_first_chunk::<4>()?;
        let length = u32::from_le_bytes(*length) as usize;
        if length > MOST_PAYLOAD || length > rest.len() {
            return None;
        }
        let (payload, rest) = rest.split_at(length);
        if crc32fast::hash(payload) != u32::from_le_bytes(*sum) {
            return None;
        }
        let record = postcard::from_bytes(payload).ok()?;
        *bytes = rest;
        Some(record)
    }
}

/// Bytes of the journal that a message takes when it is written anew, at the most.
pub fn footprint(message: &Message) -> u64 {
    let key = message.key.as_ref().map_or(0, String::len);
    let texts = message.id.len() + message.class.len() + message.tenant.len() + key;
    let idempotency = message.idempotency_key.as_ref().map_or(0, Vec::len);
    (texts + idempotency + message.body.len()) as u64 + LIFE
}

/// A message as the journal tells of it at a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restored {
    pub number: u64,
    pub message: Message,
    pub past: Past,
    /// An attempt was out when the process ended; it may have run.
    pub cut: bool,
    pub closing: Option<End>,
}

impl fmt::Display for Restored {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}{}", self.number, self.message, self.past)?;
        match self.closing {
            Some(end) => write!(f, ", given up, {end}"),
            None => Ok(()),
        }
    }
}

/// All that a journal tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// By number, which is the order in which they were taken on.
    pub messages: Vec<Restored>,
    /// The next number to give.
    pub next: u64,
    /// Bytes that could not be read.
    pub dropped: u64,
}

#[derive(Default)]
struct Replay {
    messages: BTreeMap<u64, Restored>,
    /// When, and where if that is known, the attempts without an outcome were sent.
    out: BTreeMap<u64, (Micros, Option<Zone>)>,
    next: u64,
}

impl Replay {
    fn apply(&mut self, record: Record) {
        match record {
            Record::Anew { next } => *self = Replay { next, ..Replay::default() },
            Record::Taken { number, message, past } => {
                self.next = self.next.max(number + 1);
                let restored = Restored { number, message, past, cut: false, closing: None };
                self.messages.insert(number, restored);
            }
            Record::Started { number, at } => {
                if let Some(restored) = self.messages.get_mut(&number) {
                    restored.past.attempts += 1;
                    // Danger: an attempt that an earlier death cut off, in a journal not written anew since, is
                    // forgotten over the next, and its window with it.
                    if let Some((at, zone)) = self.out.insert(number, (at, None)) {
                        restored.past.may_have_run(at, zone);
                    }
                }
            }
            Record::Over { number, how } => {
                if let (Some(restored), Some((at, zone))) =
                    (self.messages.get_mut(&number), self.out.remove(&number))
                {
                    restored.past.book(at, zone, how);
                }
            }
            Record::Closing { number, end } => {
                if let Some(restored) = self.messages.get_mut(&number) {
                    restored.closing = Some(end);
                }
            }
            Record::Ended { number } => {
                self.messages.remove(&number);
                self.out.remove(&number);
            }
            Record::FailedAt { number, at } => {
                if let Some(restored) = self.messages.get_mut(&number) {
                    (restored.past.failed, restored.past.failed_at) = (true, Some(at));
                }
            }
            Record::StartedIn { number, zone } => {
                if let Some((_, of_call)) = self.out.get_mut(&number) {
                    *of_call = Some(zone);
                }
            }
            Record::RanIn { number, zone } => {
                if let Some(restored) = self.messages.get_mut(&number) {
                    restored.past.ran_in = Some(zone);
                }
            }
        }
    }

    /// Attempts without an outcome may have run.
    fn finish(mut self, dropped: u64) -> History {
        for (number, (at, zone)) in self.out {
            if let Some(restored) = self.messages.get_mut(&number) {
                restored.past.may_have_run(at, zone);
                restored.cut = true;
            }
        }
        History { messages: self.messages.into_values().collect(), next: self.next, dropped }
    }
}

/// Segments of a folder, by number.
fn segments(folder: &Path) -> io::Result<BTreeMap<u64, PathBuf>> {
    let mut found = BTreeMap::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "log")
            && let Some(number) = path.file_stem().and_then(|stem| stem.to_str()?.parse().ok())
        {
            found.insert(number, path);
        }
    }
    Ok(found)
}

/// Reads a folder's journal without changing it, handing each record to `each`.
pub fn read(folder: &Path, mut each: impl FnMut(&Record)) -> io::Result<History> {
    let mut replay = Replay::default();
    let mut dropped = 0;
    for path in segments(folder)?.into_values() {
        let bytes = fs::read(&path)?;
        let Some(mut rest) = bytes.strip_prefix(MAGIC) else {
            dropped += bytes.len() as u64;
            continue;
        };
        while let Some(record) = Record::read(&mut rest) {
            each(&record);
            replay.apply(record);
        }
        dropped += rest.len() as u64;
    }
    Ok(replay.finish(dropped))
}

fn in_blocks(bytes: u64) -> u64 {
    bytes.div_ceil(BLOCK) * BLOCK
}

/// The journal of a running relay.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    /// Bytes that the folder may hold.
    limit: u64,
    /// Number and size of the segment that is written to, and the sizes of those before it.
    number: u64,
    file: Option<File>,
    size: u64,
    older: u64,
    /// Bytes of messages on hand when it was last written anew.
    live: u64,
    /// Bytes written from which it is tried again to write it anew, after a failure.
    retry_from: u64,
}

impl Journal {
    /// Opens a folder's journal and tells what it holds. Nothing is appended to what an earlier process left,
    /// since that may end in half a record.
    pub fn open(folder: &Path, limit: u64) -> io::Result<(Self, History)> {
        fs::create_dir_all(folder)?;
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            // An unfinished segment of a process that died.
            if path.extension().is_some_and(|extension| extension == "new") {
                let _ = fs::remove_file(path);
            }
        }
        let history = read(folder, |_| {})?;
        let found = segments(folder)?;
        let sizes = found.values().map(|path| Ok(in_blocks(fs::metadata(path)?.len())));
        let older = sizes.sum::<io::Result<u64>>()?;
        let number = found.last_key_value().map_or(0, |(number, _)| number + 1);
        let folder = folder.to_owned();
        Ok((Journal { folder, limit, number, file: None, size: 0, older, live: 0, retry_from: 0 }, history))
    }

    /// Bytes that messages on hand may take.
    pub fn room(&self) -> u64 {
        (self.limit as f64 * MOST_LIVE) as u64
    }

    /// Bytes of all segments, as the folder's limit counts them.
    pub fn written(&self) -> u64 {
        self.older + in_blocks(self.size)
    }

    /// Whether so much was written since that it should be written anew.
    pub fn is_due(&self) -> bool {
        let most = (self.limit as f64 * MOST_WRITTEN) as u64;
        self.written() > most.min(LEAST_WRITTEN.max(4 * self.live)).max(self.retry_from)
    }

    /// Appends records in one write. Where it fails none of them counts.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let mut bytes = Vec::new();
        for record in records {
            record.write(&mut bytes)?;
        }
        if self.written() + in_blocks(bytes.len() as u64) + BLOCK > self.limit {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        let done = self.segment().and_then(|file| file.write_all(&bytes));
        match done {
            Ok(()) => self.size += bytes.len() as u64,
            // Danger: what follows half a record can't be read, and a whole one of a failed batch would come back
            // at a start, though its message was refused. The batch is cut off again, and a new segment begun.
            Err(_) => {
                let size = self.file.take().map_or(0, |file| {
                    let _ = file.set_len(self.size);
                    file.metadata().map_or(self.size, |metadata| metadata.len())
                });
                self.older += in_blocks(size);
                self.number += 1;
                self.size = 0;
            }
        }
        done
    }

    fn segment(&mut self) -> io::Result<&mut File> {
        match &mut self.file {
            Some(file) => Ok(file),
            none => {
                let path = self.folder.join(format!("{:08}.log", self.number));
                let mut file = OpenOptions::new().create_new(true).append(true).open(path)?;
                file.write_all(MAGIC)?;
                self.size = MAGIC.len() as u64;
                Ok(none.insert(file))
            }
        }
    }

    /// Replaces all segments by one with these records, which tell of all messages on hand.
    pub fn write_anew(&mut self, next: u64, records: &[Record]) -> io::Result<()> {
        // Danger: one that fails would be tried with each step, and take the core. More must be written first.
        self.retry_from = self.written() + LEAST_WRITTEN;
        self.replace(next, records)?;
        self.retry_from = 0;
        Ok(())
    }

    fn replace(&mut self, next: u64, records: &[Record]) -> io::Result<()> {
        let mut bytes = MAGIC.to_vec();
        Record::Anew { next }.write(&mut bytes)?;
        for record in records {
            record.write(&mut bytes)?;
        }
        self.live = bytes.len() as u64;
        if self.written() + in_blocks(self.live) > self.limit {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        let number = self.number + 1;
        let path = self.folder.join(format!("{number:08}.log"));
        let unfinished = path.with_extension("new");
        let mut file = OpenOptions::new().create(true).truncate(true).write(true).open(&unfinished)?;
        let done = file.write_all(&bytes).and_then(|()| fs::rename(&unfinished, &path));
        if let Err(error) = done {
            let _ = fs::remove_file(&unfinished);
            return Err(error);
        }
        (self.file, self.number, self.size, self.older) = (Some(file), number, self.live, 0);
        // Oldest first: an end must not go before what it ends.
        for (other, path) in segments(&self.folder)? {
            if other < number {
                let size = fs::metadata(&path).map_or(0, |metadata| metadata.len());
                if fs::remove_file(path).is_err() {
                    self.older += in_blocks(size);
                }
            }
        }
        Ok(())
    }
}
