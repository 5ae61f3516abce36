//! The files of one log, read without a change.

use std::fmt;
use std::path::Path;

use bytes::Bytes;
use pewterseam_storage::{
    DataFolder, Files, Log, LogOptions, Position, RecoveredFrom, SalvageReport, SimulatedFiles, StorageError,
    salvage,
};

use crate::error::ConsoleError;

/// What the files of a log look like.
#[derive(Debug)]
pub struct FolderReport {
    pub files: usize,
    pub bytes: u64,
    pub salvage: SalvageReport,
    /// Why a process could not start on it.
    pub refused: Option<StorageError>,
}

impl fmt::Display for FolderReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SalvageReport { whole, damaged } = &self.salvage;
        writeln!(f, "{} files, {} bytes, {whole} whole records", self.files, self.bytes)?;
        for (file, offset, length) in damaged {
            writeln!(f, "  {length} bytes without a whole record at byte {offset} of {file}")?;
        }
        match &self.refused {
            Some(error) => writeln!(f, "  a process cannot start on it: {error}"),
            None if damaged.is_empty() => Ok(()),
            None => {
                writeln!(f, "  never synced: the next start cuts them off, and nothing acknowledged is lost")
            }
        }
    }
}

/// One record, in the order of a start.
pub struct Entry {
    /// None in a snapshot.
    pub position: Option<Position>,
    pub payload: Bytes,
}

/// A log as a start would find it, as far as that gets.
pub struct OpenedLog {
    pub report: FolderReport,
    pub entries: Vec<Entry>,
    /// Reads records back; none where a process cannot start on the folder.
    pub log: Option<Log<SimulatedFiles>>,
}

/// Reads all files of a log and opens the copy.
pub fn open(path: &Path) -> Result<OpenedLog, ConsoleError> {
    let storage = |error| ConsoleError::Storage { path: path.to_owned(), error };
    let mut folder = DataFolder::open(path).map_err(|error| ConsoleError::read(path, error))?;
    let (copy, files, bytes) = copy(&mut folder, path)?;
    let salvage = salvage(&mut copy.clone(), &mut |_, _| {}).map_err(storage)?;
    let mut entries = Vec::new();
    let opened = Log::open(copy, LogOptions::default(), &mut |found| {
        let position = match found.from {
            RecoveredFrom::Segment { position, .. } => Some(position),
            RecoveredFrom::Snapshot { .. } => None,
        };
        entries.push(Entry { position, payload: Bytes::copy_from_slice(found.payload) });
    });
    let (log, refused) = match opened {
        Ok(log) => (Some(log), None),
        Err(error) => (None, Some(error)),
    };
    Ok(OpenedLog { report: FolderReport { files, bytes, salvage, refused }, entries, log })
}

fn copy(folder: &mut DataFolder, path: &Path) -> Result<(SimulatedFiles, usize, u64), ConsoleError> {
    let copy = SimulatedFiles::new();
    let names = folder.list().map_err(|error| ConsoleError::read(path, error))?;
    let mut total = 0;
    for name in &names {
        let content = std::fs::read(path.join(name));
        let content = content.map_err(|error| ConsoleError::read(path.join(name), error))?;
        total += content.len() as u64;
        copy.put(name, &content);
    }
    Ok((copy, names.len(), total))
}
