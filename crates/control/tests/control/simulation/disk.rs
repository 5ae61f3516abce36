//! A simulated disk that keeps only synced writes when power is lost.

use bytes::Bytes;

/// The content of a log: a snapshot and the records after it.
pub type Log = (Option<Bytes>, Vec<Bytes>);

#[derive(Clone)]
enum Write {
    Records(Vec<Bytes>),
    Snapshot(Bytes),
}

#[derive(Clone, Default)]
pub struct Disk {
    synced: Log,
    /// Writes that are not yet synced, in order.
    unsynced: Vec<(u64, Write)>,
}

impl Disk {
    pub fn append(&mut self, sequence: u64, records: Vec<Bytes>) {
        self.unsynced.push((sequence, Write::Records(records)));
    }

    pub fn replace(&mut self, sequence: u64, snapshot: Bytes) {
        self.unsynced.push((sequence, Write::Snapshot(snapshot)));
    }

    /// Syncs all writes up to a sequence.
    pub fn sync(&mut self, sequence: u64) {
        while self.unsynced.first().is_some_and(|(number, _)| *number <= sequence) {
            let (_, write) = self.unsynced.remove(0);
            apply(&mut self.synced, write);
        }
    }

    /// Ends the process but not the machine, so that all writes reach the disk. The next process numbers its writes
    /// from the start.
    pub fn kill(&mut self) {
        for (_, write) in std::mem::take(&mut self.unsynced) {
            apply(&mut self.synced, write);
        }
    }

    /// Cuts the power: only the first `kept` of the unsynced writes survive.
    pub fn lose_power(&mut self, kept: usize) {
        self.unsynced.truncate(kept);
        self.kill();
    }

    pub fn lose(&mut self) {
        *self = Disk::default();
    }

    /// A disk that holds only a snapshot.
    pub fn with_snapshot(snapshot: Bytes) -> Self {
        Disk { synced: (Some(snapshot), Vec::new()), unsynced: Vec::new() }
    }

    pub fn log(&self) -> Log {
        self.synced.clone()
    }
}

fn apply(log: &mut Log, write: Write) {
    match write {
        Write::Records(records) => log.1.extend(records),
        Write::Snapshot(snapshot) => *log = (Some(snapshot), Vec::new()),
    }
}
