//! What the relay has taken on, on disk: append-only segments that a restart reads back.
//!
//! A segment is a file `NUMBER.log` that starts with [`MAGIC`]; the frames of its records follow. Plain writes are
//! enough to outlast the process. `docs/relay.md` has more.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use pewterseam_durable::fault::Damaged;
use pewterseam_durable::record::Record;
use pewterseam_durable::replay::{History, Replay};

/// First bytes of a segment: name and version of the format.
const MAGIC: &[u8; 8] = b"pewter\x00\x01";
/// Files are counted in units of this many bytes.
const BLOCK: u64 = 512;
/// Parts of the folder's limit: messages on hand, and all segments when they are written anew. A step may add
/// as much as may be on hand, and then old and new segments lie side by side for a moment: 0.9 in all.
const MOST_LIVE: f64 = 0.25;
const MOST_WRITTEN: f64 = 0.4;
/// Segments below this many bytes are not written anew.
const LEAST_WRITTEN: u64 = 64 * 1024;

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

/// Reads a folder's journal without changing it, handing each record to `each`, and what ends a segment early.
pub fn read(folder: &Path, mut each: impl FnMut(Result<&Record, &Damaged>)) -> io::Result<History> {
    let mut replay = Replay::default();
    let mut dropped = 0;
    for path in segments(folder)?.into_values() {
        let bytes = fs::read(&path)?;
        let Some(mut rest) = bytes.strip_prefix(MAGIC) else {
            dropped += bytes.len() as u64;
            continue;
        };
        while !rest.is_empty() {
            match Record::read(&mut rest) {
                Ok(record) => {
                    each(Ok(&record));
                    replay.apply(record);
                }
                Err(damage) => {
                    each(Err(&damage));
                    break;
                }
            }
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
