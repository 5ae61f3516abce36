//! Addresses of other members on the disk of a process.
//!
//! After a loss of power everywhere the seeds alone would bring processes together, and may be the last ones to start. Those
//! with a disk try the members that they knew before as well. What is kept is a hint: addresses that lead nowhere cost a
//! datagram.

use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use pewterseam_storage::{Log, LogOptions, LogWriter, WriterEvent};
use pewterseam_wire::{Micros, frame};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use crate::disk;
use crate::error::SystemError;

/// The folder in the data folder.
const FOLDER: &str = "members";
/// Addresses that are kept.
const MOST_ADDRESSES: usize = 128;
/// The least time between two writes.
const WRITE_PERIOD: Micros = 5_000_000;

/// Keeps the addresses of members.
pub struct MemberCache {
    writer: LogWriter,
    events: UnboundedReceiver<WriterEvent>,
    kept: Vec<SocketAddr>,
    is_changed: bool,
    write_at: Micros,
}

impl MemberCache {
    /// Opens the folder, and gives the addresses that are kept there. A folder that cannot be used is done without.
    pub fn open(data_folder: &Path, now: Micros) -> Option<(Self, Vec<SocketAddr>)> {
        let opened = Self::try_open(data_folder, now);
        opened.inspect_err(|error| log::warn!("addresses of members are not kept: {error}")).ok()
    }

    fn try_open(data_folder: &Path, now: Micros) -> Result<(Self, Vec<SocketAddr>), SystemError> {
        let path = data_folder.join(FOLDER);
        let mut kept: Vec<SocketAddr> = Vec::new();
        let log = Log::open(disk::open_folder(&path)?, LogOptions::default(), &mut |found| {
            kept = frame::decode(found.payload).unwrap_or_default();
        })?;
        let (sender, events) = unbounded_channel();
        let writer = LogWriter::start(log, sender).map_err(|error| SystemError::Folder { path, error })?;
        let cache = MemberCache {
            writer,
            events,
            kept: kept.clone(),
            is_changed: false,
            write_at: now + WRITE_PERIOD,
        };
        Ok((cache, kept))
    }

    /// Notes that members came or went.
    pub fn change(&mut self) {
        self.is_changed = true;
    }

    /// When [`MemberCache::write`] is due.
    pub fn next_wake(&self) -> Micros {
        if self.is_changed { self.write_at } else { Micros::MAX }
    }

    /// Writes the addresses of the present members, once it is time. A write that fails leaves what was there.
    pub fn write(&mut self, now: Micros, members: impl Iterator<Item = SocketAddr>) {
        if now < self.next_wake() {
            return;
        }
        (self.is_changed, self.write_at) = (false, now + WRITE_PERIOD);
        while self.events.try_recv().is_ok() {}
        let mut addresses: Vec<SocketAddr> = members.take(MOST_ADDRESSES).collect();
        addresses.sort();
        if addresses == self.kept {
            return;
        }
        let Ok(bytes) = frame::encode(&addresses) else { return };
        if let Err(error) = self.writer.snapshot(0, vec![Bytes::from(bytes)]) {
            log::warn!("addresses of members are not kept any more: {error}");
        }
        self.kept = addresses;
    }
}
