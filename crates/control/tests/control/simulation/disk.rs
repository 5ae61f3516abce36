//! A disk that keeps on a loss of power only what was synced.

use bytes::Bytes;

/// What a log holds: a snapshot and the records after it.
pub type Log = (Option<Bytes>, Vec<Bytes>);

#[derive(Clone)]
enum Write {
    Records(Vec<Bytes>),
    Snapshot(Bytes),
}

#[derive(Clone, Default)]
pub struct Disk {
    synced: Log,
    /// Written and not yet synced, in order.
    open: Vec<(u64, Write)>,
}

impl Disk {
    pub fn append(&mut self, sequence: u64, records: Vec<Bytes>) {
        self.open.push((sequence, Write::Records(records)));
    }

    pub fn replace(&mut self, sequence: u64, snapshot: Bytes) {
        self.open.push((sequence, Write::Snapshot(snapshot)));
    }

    /// All writes up to a sequence are on the disk.
    pub fn sync(&mut self, sequence: u64) {
        while self.open.first().is_some_and(|(number, _)| *number <= sequence) {
            let (_, write) = self.open.remove(0);
            apply(&mut self.synced, write);
        }
    }

    /// The process ended; the machine did not. Sequences begin anew.
    pub fn kill(&mut self) {
        for (_, write) in std::mem::take(&mut self.open) {
            apply(&mut self.synced, write);
        }
    }

    /// Power was lost: of what was not synced, the first `kept` writes are there.
    pub fn lose_power(&mut self, kept: usize) {
        self.open.truncate(kept);
        self.kill();
    }

    pub fn lose(&mut self) {
        *self = Disk::default();
    }

    /// A disk on which a snapshot lies and nothing else.
    pub fn with_snapshot(snapshot: Bytes) -> Self {
        Disk { synced: (Some(snapshot), Vec::new()), open: Vec::new() }
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
