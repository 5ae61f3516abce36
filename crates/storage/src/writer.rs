//! Runs a log on a separate thread.

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;

use bytes::Bytes;
use tokio::sync::mpsc::UnboundedSender;

use crate::error::StorageError;
use crate::files::Files;
use crate::log::{Log, Position};

/// Appends are merged into one sync up to this size.
const MAX_BATCH_BYTES: usize = 1024 * 1024;

const STACK_BYTES: usize = 256 * 1024;

/// An event that a [`LogWriter`] reports, in the order of the calls.
#[derive(Debug)]
pub enum WriterEvent {
    /// All appends up to and including this ticket that were not reported before are synced. The positions are those of
    /// their records, in order.
    Synced { through: u64, positions: Vec<Position> },
    /// All appends up to and including this ticket that were not reported before have failed.
    Failed { through: u64, error: StorageError },
    /// A record that was read back.
    Read { token: u64, result: Result<Bytes, StorageError> },
    /// Segments were removed, or a snapshot was written.
    Maintained(Result<(), StorageError>),
}

/// The error returned when the writer's thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriterStopped;

impl std::fmt::Display for WriterStopped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the log writer thread has ended")
    }
}

impl std::error::Error for WriterStopped {}

enum Command {
    Append { ticket: u64, payloads: Vec<Bytes> },
    Read { token: u64, position: Position },
    RemoveBefore { segment: u64 },
    Snapshot { covers: u64, payloads: Vec<Bytes> },
}

/// A log on its own thread. All waiting appends are written and synced together.
pub struct LogWriter {
    commands: Option<Sender<Command>>,
    thread: Option<JoinHandle<()>>,
}

impl LogWriter {
    /// Starts the thread. The thread ends when the writer is dropped, after it has executed all commands.
    pub fn start<F: Files + 'static>(log: Log<F>, events: UnboundedSender<WriterEvent>) -> io::Result<Self> {
        let (commands, received) = channel();
        let thread = std::thread::Builder::new()
            .name("log-writer".to_string())
            .stack_size(STACK_BYTES)
            .spawn(move || run(log, &received, &events))?;
        Ok(LogWriter { commands: Some(commands), thread: Some(thread) })
    }

    /// Appends records. Tickets must increase from call to call.
    pub fn append(&self, ticket: u64, payloads: Vec<Bytes>) -> Result<(), WriterStopped> {
        self.send(Command::Append { ticket, payloads })
    }

    /// Reads a record back; the [`WriterEvent::Read`] carries the same token.
    pub fn read(&self, token: u64, position: Position) -> Result<(), WriterStopped> {
        self.send(Command::Read { token, position })
    }

    /// Removes old segments, see [`Log::remove_before`].
    pub fn remove_before(&self, segment: u64) -> Result<(), WriterStopped> {
        self.send(Command::RemoveBefore { segment })
    }

    /// Writes a snapshot, see [`Log::snapshot`].
    pub fn snapshot(&self, covers: u64, payloads: Vec<Bytes>) -> Result<(), WriterStopped> {
        self.send(Command::Snapshot { covers, payloads })
    }

    fn send(&self, command: Command) -> Result<(), WriterStopped> {
        let commands = self.commands.as_ref().ok_or(WriterStopped)?;
        commands.send(command).map_err(|_| WriterStopped)
    }
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has no events left to report.
            let _ = thread.join();
        }
    }
}

fn run<F: Files>(mut log: Log<F>, commands: &Receiver<Command>, events: &UnboundedSender<WriterEvent>) {
    let mut next = commands.recv().ok();
    while let Some(command) = next.take() {
        let event = match command {
            Command::Append { ticket, payloads } => {
                let (through, payloads, other) = merge_appends(ticket, payloads, commands);
                next = other;
                match log.append(&payloads) {
                    Ok(positions) => WriterEvent::Synced { through, positions },
                    Err(error) => WriterEvent::Failed { through, error },
                }
            }
            Command::Read { token, position } => WriterEvent::Read { token, result: log.read(position) },
            Command::RemoveBefore { segment } => WriterEvent::Maintained(log.remove_before(segment)),
            Command::Snapshot { covers, payloads } => WriterEvent::Maintained(log.snapshot(covers, payloads)),
        };
        if events.send(event).is_err() {
            return;
        }
        if next.is_none() {
            next = commands.recv().ok();
        }
    }
}

/// Merges the waiting appends up to a size limit or up to another command, which is returned.
fn merge_appends(
    mut through: u64, mut payloads: Vec<Bytes>, commands: &Receiver<Command>,
) -> (u64, Vec<Bytes>, Option<Command>) {
    let mut bytes: usize = payloads.iter().map(Bytes::len).sum();
    while bytes < MAX_BATCH_BYTES {
        match commands.try_recv() {
            Ok(Command::Append { ticket, payloads: more }) => {
                through = ticket;
                bytes += more.iter().map(Bytes::len).sum::<usize>();
                payloads.extend(more);
            }
            Ok(other) => return (through, payloads, Some(other)),
            Err(_) => break,
        }
    }
    (through, payloads, None)
}
