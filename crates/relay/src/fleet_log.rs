//! What the fleet's machine keeps, in the folder that lasts: one file of records, written anew now and then.
//!
//! As with the journal, a plain write outlasts the process.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use pewterseam_durable::frame;
use pewterseam_fleet::interface::{MOST_IN_FORCE_BYTES, Record, Saved};

const FILE: &str = "fleet.log";
/// It is written anew under this name first.
const UNFINISHED: &str = "fleet.new";
/// First bytes of the file: name and version of the format.
const MAGIC: &[u8; 8] = b"pewflt\x00\x01";
/// Longest record: all decisions in force, and as much again for what is around them.
const MOST: usize = 2 * MOST_IN_FORCE_BYTES;

/// The file of a running relay.
#[derive(Debug)]
pub struct FleetLog {
    folder: PathBuf,
    /// None until something is written, and after a write that failed: half a record may stand at its end.
    file: Option<File>,
}

impl FleetLog {
    /// Reads what an earlier process left, up to a record that is cut short or damaged. Nothing is appended to it:
    /// the first write is one anew.
    pub fn open(folder: &Path) -> io::Result<(Self, Saved)> {
        let mut saved = Saved::default();
        match fs::read(folder.join(FILE)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            bytes => {
                let bytes = bytes?;
                let mut rest = bytes.strip_prefix(MAGIC).unwrap_or_default();
                while let Ok(record) = frame::read::<Record>(MOST, &mut rest) {
                    saved.records.push(record);
                }
            }
        }
        let mut log = FleetLog { folder: folder.to_owned(), file: None };
        // Danger: behind half a record nothing would be read at the next start.
        log.write_anew(&saved.records)?;
        Ok((log, saved))
    }

    /// Appends records, or puts them in place of all before them.
    pub fn write(&mut self, anew: bool, records: &[Record]) -> io::Result<()> {
        let done = if anew { self.write_anew(records) } else { self.append(records) };
        if done.is_err() {
            self.file = None;
        }
        done
    }

    fn append(&mut self, records: &[Record]) -> io::Result<()> {
        let file = self.file.as_mut().ok_or(io::ErrorKind::StorageFull)?;
        file.write_all(&frames(records)?)
    }

    fn write_anew(&mut self, records: &[Record]) -> io::Result<()> {
        let unfinished = self.folder.join(UNFINISHED);
        let mut file = OpenOptions::new().create(true).truncate(true).write(true).open(&unfinished)?;
        file.write_all(MAGIC)?;
        file.write_all(&frames(records)?)?;
        fs::rename(unfinished, self.folder.join(FILE))?;
        self.file = Some(file);
        Ok(())
    }
}

fn frames(records: &[Record]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    for record in records {
        frame::write(record, MOST, &mut bytes)?;
    }
    Ok(bytes)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn started(incarnation: u32) -> Record {
        Record::Started { incarnation }
    }

    // Danger: a voter that forgets what it promised votes twice in a term.
    #[test]
    fn what_was_written_is_read_up_to_a_record_that_is_cut_short() {
        let folder = tempfile::tempdir().expect("folder");
        let (mut log, saved) = FleetLog::open(folder.path()).expect("a new one");
        assert_eq!(saved.records, []);
        log.write(false, &[started(1), started(2)]).expect("written");
        log.write(true, &[started(3)]).expect("written anew");
        log.write(false, &[started(4)]).expect("written");
        let path = folder.path().join(FILE);
        let mut bytes = fs::read(&path).expect("read");
        bytes.extend([9, 0, 0, 0, 1]);
        fs::write(&path, bytes).expect("half a record");
        let (mut log, saved) = FleetLog::open(folder.path()).expect("an old one");
        assert_eq!(saved.records, [started(3), started(4)]);
        log.write(false, &[started(5)]).expect("written");
        let (_, saved) = FleetLog::open(folder.path()).expect("an old one");
        assert_eq!(saved.records, [started(3), started(4), started(5)]);
    }
}
