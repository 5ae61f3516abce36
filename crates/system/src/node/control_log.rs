//! The control log on the disk of a core member.

use std::net::SocketAddr;

use bytes::Bytes;
use pewterseam_config::settings::Settings;
use pewterseam_control::ControlSettings;
use pewterseam_storage::{AppendQueue, Log, LogOptions, LogWriter, PendingWrite, RecoveredFrom, WriterEvent};
use pewterseam_wire::Micros;
use pewterseam_wire::placement::CopySpread;
use tokio::sync::mpsc;

use crate::disk;
use crate::error::SystemError;

/// The control log's folder in the data folder.
const FOLDER: &str = "control";
const SEGMENT_BYTES: u64 = 1024 * 1024;
/// The pause before a failed write is tried again.
const RETRY_AFTER: Micros = 250_000;

/// A snapshot and the records after it.
pub type Recovered = (Option<Bytes>, Vec<Bytes>);

/// The writer of the control log. A process without one is not of the core, and writes nothing.
pub struct ControlLog {
    writer: Option<LogWriter>,
    writes: AppendQueue,
    last_ticket: u64,
    /// The log's own number of the newest record that is durable.
    last_record: u64,
    /// Records of the append that is under way.
    running_records: u64,
    /// When a write that failed is tried again.
    retry_at: Option<Micros>,
}

impl ControlLog {
    pub fn open(
        settings: &Settings, is_core: bool,
    ) -> Result<(Self, Recovered, mpsc::UnboundedReceiver<WriterEvent>), SystemError> {
        let (events, received) = mpsc::unbounded_channel();
        let mut recovered: Recovered = (None, Vec::new());
        let (mut writer, mut last_record) = (None, 0);
        if let Some(path) = settings.data_dir.as_ref().filter(|_| is_core) {
            let folder = disk::open_folder(&path.join(FOLDER))?;
            let options = LogOptions { segment_bytes: SEGMENT_BYTES };
            let log = Log::open(folder, options, &mut |found| match found.from {
                RecoveredFrom::Snapshot { .. } => recovered.0 = Some(Bytes::copy_from_slice(found.payload)),
                RecoveredFrom::Segment { .. } => recovered.1.push(Bytes::copy_from_slice(found.payload)),
            })?;
            last_record = log.last_sequence();
            let started = LogWriter::start(log, events)
                .map_err(|error| SystemError::Folder { path: path.clone(), error })?;
            writer = Some(started);
        }
        let log = ControlLog {
            writer,
            writes: AppendQueue::default(),
            last_ticket: 0,
            last_record,
            running_records: 0,
            retry_at: None,
        };
        Ok((log, recovered, received))
    }

    pub fn append(&mut self, records: Vec<Bytes>, sequence: u64) {
        self.writes.push(PendingWrite::Append { records, sequence });
        self.begin();
    }

    pub fn snapshot(&mut self, snapshot: Bytes, sequence: u64) {
        self.writes.push(PendingWrite::Snapshot { snapshot, sequence });
        self.begin();
    }

    /// When [`ControlLog::retry`] is due.
    pub fn next_wake(&self) -> Micros {
        self.retry_at.unwrap_or(Micros::MAX)
    }

    /// Tries a write again that failed, once its time has come.
    pub fn retry(&mut self, now: Micros) {
        if self.retry_at.take_if(|at| *at <= now).is_some() {
            self.begin();
        }
    }

    /// Begins the next write, unless one is under way or is to be tried again later.
    fn begin(&mut self) {
        if self.retry_at.is_some() {
            return;
        }
        let (Some(writer), Some(write)) = (&self.writer, self.writes.begin()) else { return };
        self.last_ticket += 1;
        let begun = match write {
            PendingWrite::Append { records, .. } => {
                self.running_records = records.len() as u64;
                writer.append(self.last_ticket, records)
            }
            PendingWrite::Snapshot { snapshot, .. } => {
                self.running_records = 0;
                writer.snapshot(self.last_record, vec![snapshot])
            }
        };
        if let Err(error) = begun {
            log::error!("the control log is not written any more: {error}");
        }
    }

    /// The highest sequence of the machine that is durable by now, if there is news of it.
    pub fn event(&mut self, now: Micros, event: WriterEvent) -> Option<u64> {
        let result = match event {
            WriterEvent::Synced { .. } => Ok(()),
            WriterEvent::Failed { error, .. } => Err(error),
            WriterEvent::Maintained(result) => result,
            WriterEvent::Read { .. } => return None,
        };
        if let Err(error) = &result {
            log::error!("the control log cannot be written, and is tried again: {error}");
            self.retry_at = Some(now + RETRY_AFTER);
        } else {
            self.last_record += self.running_records;
        }
        let durable = self.writes.finish(result.is_ok());
        self.begin();
        durable
    }
}

/// What control is told of the settings.
pub fn control_settings(settings: &Settings, seeds: &[SocketAddr]) -> ControlSettings {
    ControlSettings {
        bootstrap: settings.bootstrap,
        seeds: seeds.to_vec(),
        tolerated: settings.fault_tolerance.machines,
        copy_spread: copy_spread(settings),
        agrees_on_homes: true,
        contact: settings.bounds.contact().as_micros() as Micros,
        ..ControlSettings::default()
    }
}

/// Copies stay within a zone where no zone is to be borne as lost, unless an operator asks for more.
fn copy_spread(settings: &Settings) -> CopySpread {
    if settings.spread_copies || settings.fault_tolerance.zones > 0 {
        CopySpread::AcrossZones
    } else {
        CopySpread::WithinZone
    }
}
