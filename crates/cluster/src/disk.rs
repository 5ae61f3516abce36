//! A log on a simulated disk that takes its time.

use std::collections::VecDeque;

use bytes::Bytes;
use pewterseam_storage::{Log, LogOptions, Position, Recovered, SimulatedFiles, StorageError};
use pewterseam_wire::random::Random;

/// Small segments, so that short runs cross from one to the next.
const SEGMENT_BYTES: u64 = 64 * 1024;

/// The logs of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogName {
    Control,
    Messages,
}

/// What is asked of a log, as of `pewterseam_storage::LogWriter`.
pub enum DiskCommand {
    Append { ticket: u64, payloads: Vec<Bytes> },
    Read { token: u64, position: Position },
    RemoveBefore { segment: u64 },
    Snapshot { covers: u64, payload: Bytes },
}

/// What became of it, as `pewterseam_storage::WriterEvent`.
pub enum DiskEvent {
    Synced { through: u64, positions: Vec<Position> },
    Failed { through: u64 },
    Read { token: u64, payload: Option<Bytes> },
    Maintained { is_done: bool },
}

/// How a process comes to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The operating system lives on and keeps what was written.
    Process,
    Power,
}

/// A log and what is asked of it.
#[derive(Default)]
pub struct Disk {
    files: SimulatedFiles,
    log: Option<Log<SimulatedFiles>>,
    waiting: VecDeque<DiskCommand>,
    running: Option<DiskCommand>,
}

impl Disk {
    /// Opens the log for a process that starts; the sequence number of the last record.
    pub fn open(&mut self, visit: &mut dyn FnMut(Recovered<'_>)) -> Result<u64, StorageError> {
        let log = Log::open(self.files.clone(), LogOptions { segment_bytes: SEGMENT_BYTES }, visit)?;
        let last = log.last_sequence();
        self.log = Some(log);
        Ok(last)
    }

    pub fn push(&mut self, command: DiskCommand) {
        self.waiting.push_back(command);
    }

    /// Takes up what waits, all appends in a row together. True if there is something to do.
    pub fn begin(&mut self) -> bool {
        if self.running.is_some() || self.log.is_none() {
            return false;
        }
        self.running = self.waiting.pop_front();
        while let Some(DiskCommand::Append { ticket, payloads }) = &mut self.running {
            match self.waiting.pop_front() {
                Some(DiskCommand::Append { ticket: next, payloads: more }) => {
                    *ticket = next;
                    payloads.extend(more);
                }
                Some(other) => {
                    self.waiting.push_front(other);
                    break;
                }
                None => break,
            }
        }
        self.running.is_some()
    }

    /// Finishes what was taken up.
    pub fn finish(&mut self) -> Option<DiskEvent> {
        let (command, log) = (self.running.take()?, self.log.as_mut()?);
        Some(match command {
            DiskCommand::Append { ticket, payloads } => match log.append(&payloads) {
                Ok(positions) => DiskEvent::Synced { through: ticket, positions },
                Err(_) => DiskEvent::Failed { through: ticket },
            },
            DiskCommand::Read { token, position } => {
                DiskEvent::Read { token, payload: log.read(position).ok() }
            }
            DiskCommand::RemoveBefore { segment } => {
                DiskEvent::Maintained { is_done: log.remove_before(segment).is_ok() }
            }
            DiskCommand::Snapshot { covers, payload } => {
                DiskEvent::Maintained { is_done: log.snapshot(covers, [payload]).is_ok() }
            }
        })
    }

    /// The process ends. What was being written may be there whole, in part or not at all.
    pub fn end(&mut self, ending: Ending, random: &mut Random) {
        if let (Some(DiskCommand::Append { payloads, .. }), Some(log)) = (self.running.take(), &mut self.log)
        {
            let is_written = random.below(3) > 0;
            if is_written {
                let is_synced = ending == Ending::Process && random.below(2) == 0;
                self.files.fail_syncs(u32::from(!is_synced));
                // A failed sync leaves the bytes where a later loss of power may tear them.
                let _ = log.append(&payloads);
            }
        }
        self.files.fail_syncs(0);
        self.log = None;
        self.waiting.clear();
        if ending == Ending::Power {
            self.files.lose_power(random.draw());
        }
    }

    /// Lets so many syncs fail from now on.
    pub fn fail_syncs(&mut self, count: u32) {
        self.files.fail_syncs(count);
    }

    /// Leaves no room for more than is there, or room again.
    pub fn limit(&mut self, is_full: bool) {
        self.files.set_capacity(is_full.then(|| self.files.bytes()));
    }

    /// The disk is replaced by an empty one.
    pub fn empty(&mut self) {
        self.files.lose_disk();
    }
}
