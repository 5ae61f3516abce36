//! Saves the agreed state of a core member, and restores it where half of the core's disks or more are gone.

use std::fmt;
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

use pewterseam_control::{Agreed, CoreMember, StateBackup};
use pewterseam_storage::{DataFolder, Log, LogOptions, open_disk_id};
use pewterseam_wire::identity::{DiskId, NodeName};

use crate::error::ConsoleError;
use crate::log::{CONTROL, control, folder};

/// What was saved.
#[derive(Debug)]
pub struct Saved {
    pub backup: StateBackup,
}

impl fmt::Display for Saved {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (newest, committed) = (self.backup.newest(), self.backup.committed());
        writeln!(f, "saved {}", Description(newest))?;
        if newest.stamp != committed.stamp {
            let (newest, committed) = (newest.stamp.index, committed.stamp.index);
            writeln!(f, "state {newest} was accepted here; known to be agreed is state {committed}")?;
        }
        Ok(())
    }
}

/// What was restored.
#[derive(Debug)]
pub struct Restored {
    /// The state that was saved.
    pub from: Agreed,
    /// The state that the new core begins with.
    pub agreed: Agreed,
}

impl fmt::Display for Restored {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let members: Vec<String> =
            self.agreed.core.current().iter().map(|member| member.name.to_string()).collect();
        writeln!(f, "restored {}", Description(&self.from))?;
        writeln!(
            f,
            "epoch {} is forced, with {} alone as the core",
            self.agreed.stamp.epoch,
            members.join(" ")
        )?;
        writeln!(
            f,
            "lost, if there was any: every configuration, retirement and placement agreed on after this state,"
        )?;
        writeln!(f, "though they were confirmed; messages, where the placement has changed since")?;
        writeln!(f, "never start another member of the old core on its old disk: empty its data folder first")
    }
}

/// A state in a line.
struct Description<'a>(&'a Agreed);

impl fmt::Display for Description<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = &self.0.state;
        write!(
            f,
            "state {} of epoch {}: configuration {}, placement {}",
            self.0.stamp.index, self.0.stamp.epoch, state.config.version, state.placement.epoch.0
        )
    }
}

/// Writes the newest state that a data folder holds to a file that is not there yet.
pub fn save(data: &Path, file: &Path) -> Result<Saved, ConsoleError> {
    let path = data.join(CONTROL);
    if !path.is_dir() {
        return Err(ConsoleError::NoLog { path: data.to_owned() });
    }
    let opened = folder::open(&path)?;
    if let Some(error) = opened.report.refused {
        return Err(ConsoleError::Storage { path, error });
    }
    let (snapshot, records) = control::split(opened.entries);
    let backup = StateBackup::of_log(snapshot.as_deref(), &records).map_err(ConsoleError::Control)?;
    let backup = backup.ok_or(ConsoleError::NoState { path })?;
    write_new(file, &backup.encode()).map_err(|error| written(file, error))?;
    Ok(Saved { backup })
}

fn write_new(file: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create_new(true).open(file)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn written(path: &Path, error: io::Error) -> ConsoleError {
    ConsoleError::Write { path: path.to_owned(), error }
}

/// Makes an empty data folder that of a member which alone is the core, in a forced epoch.
pub fn restore(file: &Path, data: &Path, name: &str) -> Result<Restored, ConsoleError> {
    let bytes = fs::read(file).map_err(|error| ConsoleError::read(file, error))?;
    let backup = StateBackup::decode(&bytes).ok_or(ConsoleError::NoSnapshot { path: file.to_owned() })?;
    fs::create_dir_all(data).map_err(|error| written(data, error))?;
    let mut entries = fs::read_dir(data).map_err(|error| ConsoleError::read(data, error))?;
    if entries.next().is_some() {
        return Err(ConsoleError::NotEmpty { path: data.to_owned() });
    }
    let storage = |error| ConsoleError::Storage { path: data.to_owned(), error };
    let mut root = DataFolder::open(data).map_err(|error| written(data, error))?;
    let disk = DiskId(open_disk_id(&mut root).map_err(storage)?);
    let member = CoreMember { name: NodeName::new(name), disk };
    let (snapshot, agreed) = backup.restored(member);
    let path = data.join(CONTROL);
    fs::create_dir_all(&path).map_err(|error| written(&path, error))?;
    let folder = DataFolder::open(&path).map_err(|error| written(&path, error))?;
    let mut log = Log::open(folder, LogOptions::default(), &mut |_| {}).map_err(storage)?;
    log.snapshot(log.last_sequence(), [snapshot]).map_err(storage)?;
    Ok(Restored { from: backup.newest().clone(), agreed })
}
