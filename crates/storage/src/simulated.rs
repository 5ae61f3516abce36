//! An in-memory implementation of [`Files`] with simulated power losses and other faults, for tests.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::files::Files;

type FileNumber = u64;

/// A folder in memory. Clones share the folder, so that a test can inject faults while a log uses it.
#[derive(Clone, Default)]
pub struct SimulatedFiles {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    names: BTreeMap<String, FileNumber>,
    /// The names that always survive a power loss.
    synced_names: BTreeMap<String, FileNumber>,
    name_changes: Vec<NameChange>,
    files: BTreeMap<FileNumber, FileState>,
    next_file: FileNumber,
    capacity: Option<u64>,
    failing_syncs: u32,
    syncs: u64,
}

#[derive(Default)]
struct FileState {
    bytes: Vec<u8>,
    synced: Vec<u8>,
    writes: Vec<Write>,
}

enum Write {
    At { offset: usize, bytes: Vec<u8> },
    SetLength(usize),
}

enum NameChange {
    Created(String, FileNumber),
    Renamed(String, String, FileNumber),
    Removed(String),
}

impl SimulatedFiles {
    pub fn new() -> Self {
        Self::default()
    }

    /// Simulates a power loss. Each file keeps the bytes of its last sync. Each later write is kept, lost or torn, and
    /// each name change since the last sync of the folder is kept or lost. One power loss in four loses everything that
    /// was not synced.
    pub fn lose_power(&self, seed: u64) {
        let mut state = self.lock();
        let mut random = Random(seed);
        let keeps_nothing = random.below(4) == 0;
        for file in state.files.values_mut() {
            file.lose_power(&mut random, keeps_nothing);
        }
        let mut names = std::mem::take(&mut state.synced_names);
        for change in std::mem::take(&mut state.name_changes) {
            if keeps_nothing || random.below(2) == 0 {
                continue;
            }
            match change {
                NameChange::Created(name, file) => {
                    names.insert(name, file);
                }
                NameChange::Renamed(from, to, file) => {
                    names.remove(&from);
                    names.insert(to, file);
                }
                NameChange::Removed(name) => {
                    names.remove(&name);
                }
            }
        }
        state.synced_names = names.clone();
        state.names = names;
        state.failing_syncs = 0;
    }

    /// Simulates the loss of the disk: the folder is empty afterwards.
    pub fn lose_disk(&self) {
        *self.lock() = State::default();
    }

    /// Sets the capacity of the disk in bytes; `None` for no limit.
    pub fn set_capacity(&self, capacity: Option<u64>) {
        self.lock().capacity = capacity;
    }

    /// Makes the next `count` syncs fail.
    pub fn fail_syncs(&self, count: u32) {
        self.lock().failing_syncs = count;
    }

    /// The number of syncs of files and of the folder so far.
    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    /// The size of all files together.
    pub fn bytes(&self) -> u64 {
        self.lock().used()
    }

    /// Flips bits of a synced byte. Does nothing if the file has no such byte.
    pub fn damage(&self, name: &str, offset: usize) {
        let mut state = self.lock();
        let Some(file) = state.file(name) else { return };
        for bytes in [&mut file.bytes, &mut file.synced] {
            if let Some(byte) = bytes.get_mut(offset) {
                *byte ^= 0x55;
            }
        }
    }

    /// The bytes of a file, or `None` if it does not exist.
    pub fn content(&self, name: &str) -> Option<Vec<u8>> {
        self.lock().file(name).map(|file| file.bytes.clone())
    }

    /// Adds a file with synced content.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        let mut state = self.lock();
        let number = state.add_file(name);
        let file = FileState { bytes: bytes.to_vec(), synced: bytes.to_vec(), writes: Vec::new() };
        state.files.insert(number, file);
        state.synced_names.insert(name.to_string(), number);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn file(&mut self, name: &str) -> Option<&mut FileState> {
        self.files.get_mut(self.names.get(name)?)
    }

    fn file_or_not_found(&mut self, name: &str) -> io::Result<&mut FileState> {
        self.file(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn add_file(&mut self, name: &str) -> FileNumber {
        self.next_file += 1;
        self.files.insert(self.next_file, FileState::default());
        self.names.insert(name.to_string(), self.next_file);
        self.next_file
    }

    fn used(&self) -> u64 {
        self.names
            .values()
            .filter_map(|number| self.files.get(number))
            .map(|file| file.bytes.len() as u64)
            .sum()
    }

    fn count_sync(&mut self) -> io::Result<()> {
        self.syncs += 1;
        if self.failing_syncs > 0 {
            self.failing_syncs -= 1;
            return Err(io::Error::from_raw_os_error(5));
        }
        Ok(())
    }
}

impl FileState {
    fn lose_power(&mut self, random: &mut Random, keeps_nothing: bool) {
        let mut bytes = std::mem::take(&mut self.synced);
        for write in std::mem::take(&mut self.writes) {
            let outcome = if keeps_nothing { 0 } else { random.below(3) };
            match write {
                Write::SetLength(length) if outcome > 0 => bytes.resize(length, 0),
                Write::At { offset, bytes: written } if outcome > 0 => {
                    let kept = if outcome == 1 { written.len() } else { random.below(written.len() + 1) };
                    if bytes.len() < offset + kept {
                        bytes.resize(offset + kept, 0);
                    }
                    bytes[offset..offset + kept].copy_from_slice(&written[..kept]);
                }
                _ => {}
            }
        }
        self.synced = bytes.clone();
        self.bytes = bytes;
    }
}

impl Files for SimulatedFiles {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.lock().names.keys().cloned().collect())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        if let Some(file) = state.file(name) {
            file.bytes.clear();
            file.writes.push(Write::SetLength(0));
            return Ok(());
        }
        let number = state.add_file(name);
        state.name_changes.push(NameChange::Created(name.to_string(), number));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        let room = state.capacity.map_or(u64::MAX, |capacity| capacity.saturating_sub(state.used()));
        let fitting = bytes.len().min(usize::try_from(room).unwrap_or(usize::MAX));
        let file = state.file_or_not_found(name)?;
        let offset = file.bytes.len();
        file.bytes.extend_from_slice(&bytes[..fitting]);
        file.writes.push(Write::At { offset, bytes: bytes[..fitting].to_vec() });
        if fitting < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn read(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let mut state = self.lock();
        let file = state.file_or_not_found(name)?;
        let rest = file.bytes.get(offset as usize..).unwrap_or_default();
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        Ok(count)
    }

    fn length(&mut self, name: &str) -> io::Result<u64> {
        self.lock().file_or_not_found(name).map(|file| file.bytes.len() as u64)
    }

    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.lock();
        let file = state.file_or_not_found(name)?;
        file.bytes.resize(length as usize, 0);
        file.writes.push(Write::SetLength(length as usize));
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.lock();
        let number = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_string(), number);
        state.name_changes.push(NameChange::Renamed(from.to_string(), to.to_string(), number));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        state.name_changes.push(NameChange::Removed(name.to_string()));
        Ok(())
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.count_sync()?;
        let file = state.file_or_not_found(name)?;
        file.synced = file.bytes.clone();
        file.writes.clear();
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.lock();
        state.count_sync()?;
        state.synced_names = state.names.clone();
        state.name_changes.clear();
        Ok(())
    }
}

/// The SplitMix64 generator: small, and deterministic for a seed on all machines.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((value ^ (value >> 31)) % bound.max(1) as u64) as usize
    }
}
