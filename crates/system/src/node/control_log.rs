//! The control log on the disk of a core member.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use pewterseam_config::settings::Settings;
use pewterseam_control::ControlSettings;
use pewterseam_storage::{Log, LogOptions, LogWriter, RecoveredFrom, WriterEvent};
use tokio::sync::mpsc;

use crate::disk;
use crate::error::SystemError;

/// The control log's folder in the data folder.
const FOLDER: &str = "control";
const SEGMENT_BYTES: u64 = 1024 * 1024;

/// A snapshot and the records after it.
pub type Recovered = (Option<Bytes>, Vec<Bytes>);

/// The writer of the control log. A process without one holds nothing durably, and is told that at once.
pub struct ControlLog {
    writer: Option<LogWriter>,
    last_ticket: u64,
    /// The log's own number of the newest record that was handed over.
    last_record: u64,
    /// The machine's sequence for each ticket that is not synced.
    sequences: BTreeMap<u64, u64>,
    /// Snapshots that are being written: the machine's sequence of each.
    snapshots: Vec<u64>,
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
            last_ticket: 0,
            last_record,
            sequences: BTreeMap::new(),
            snapshots: Vec::new(),
        };
        Ok((log, recovered, received))
    }

    pub fn append(&mut self, records: Vec<Bytes>, sequence: u64) {
        self.last_ticket += 1;
        self.last_record += records.len() as u64;
        self.sequences.insert(self.last_ticket, sequence);
        if let Some(writer) = &self.writer
            && let Err(error) = writer.append(self.last_ticket, records)
        {
            log::error!("the control log is not written any more: {error}");
        }
    }

    pub fn snapshot(&mut self, snapshot: Bytes, sequence: u64) {
        self.snapshots.push(sequence);
        if let Some(writer) = &self.writer
            && let Err(error) = writer.snapshot(self.last_record, vec![snapshot])
        {
            log::error!("the control log is not written any more: {error}");
        }
    }

    /// The highest sequence of the machine that is synced by now, if there is news of it.
    pub fn event(&mut self, event: WriterEvent) -> Option<u64> {
        match event {
            WriterEvent::Synced { through, .. } => {
                let waiting = self.sequences.split_off(&(through + 1));
                let synced = std::mem::replace(&mut self.sequences, waiting);
                synced.into_values().next_back()
            }
            WriterEvent::Failed { error, .. } => {
                log::error!("the control log cannot be written: {error}");
                None
            }
            WriterEvent::Maintained(result) => {
                let sequence = (!self.snapshots.is_empty()).then(|| self.snapshots.remove(0));
                match result {
                    Ok(()) => sequence,
                    Err(error) => {
                        log::error!("a snapshot of the control log cannot be written: {error}");
                        None
                    }
                }
            }
            WriterEvent::Read { .. } => None,
        }
    }
}

/// What control is told of the settings.
pub fn control_settings(settings: &Settings, seeds: &[SocketAddr]) -> ControlSettings {
    ControlSettings {
        bootstrap: settings.bootstrap,
        seeds: seeds.to_vec(),
        tolerated: settings.fault_tolerance.machines,
        ..ControlSettings::default()
    }
}
