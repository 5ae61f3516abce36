//! Log cleaning: copies the entries of the oldest segment that are still needed to the end of the log, then removes the
//! segment.
//!
//! Cleaning replaces full snapshots. It works in small batches and needs no second copy of all data on the disk. A power
//! loss at any point leaves a valid log, because entries may occur twice.

use std::collections::BTreeMap;

use pewterseam_storage::{FRAME_HEADER_BYTES, Position};
use pewterseam_wire::Micros;
use pewterseam_wire::record::MessageName;

use crate::entry::{KeptMessage, LogEntry};
use crate::gathering::{GatherJob, Purpose};
use crate::interface::Effect;
use crate::message::{Message, NO_SEGMENT, NOT_WRITTEN};
use crate::persistence::{EntryKind, RECOVERED_TICKET};
use crate::store::Store;

/// Limits of one copied batch: the number of messages, and the bytes of their records.
const MAX_BATCH_MESSAGES: usize = 64;
const MAX_BATCH_BYTES: u64 = 256 * 1024;

/// After a failed read of a record, cleaning pauses for this time.
const READ_FAILURE_PAUSE: Micros = 10_000_000;

/// The segment that is being cleaned.
#[derive(Debug)]
struct Cleaning {
    segment: u64,
    /// The messages that still have to be copied.
    names: Vec<MessageName>,
    /// The ticket of the last copied batch; cleaning continues when that batch is synced.
    ticket: u64,
    /// Whether the records of the next batch are being read.
    is_reading: bool,
}

/// The segments of the log, and which of them hold the entries that cleaning must preserve.
#[derive(Debug, Default)]
pub(crate) struct LogMap {
    /// The size in bytes of each segment.
    segments: BTreeMap<u64, u64>,
    /// The segment that holds the `CopiedSet` entries.
    copied_sets_segment: Option<u64>,
    /// The segment that holds the newest clock reading.
    clock_reading_segment: Option<u64>,
    cleaning: Option<Cleaning>,
    not_before: Micros,
}

impl LogMap {
    pub fn note_entry(&mut self, position: Position) {
        let end = u64::from(position.offset) + FRAME_HEADER_BYTES as u64 + u64::from(position.length);
        let bytes = self.segments.entry(position.segment).or_default();
        *bytes = (*bytes).max(end);
    }

    pub fn note_copied_set(&mut self, segment: u64) {
        self.copied_sets_segment = Some(segment);
    }

    /// The size of all segments together.
    pub fn bytes(&self) -> u64 {
        self.segments.values().sum()
    }
}

impl Store {
    /// Updates the log map and the message after an entry was written at a position.
    pub(crate) fn note_written(&mut self, written: &EntryKind, position: Position) {
        self.log_map.note_entry(position);
        let segment = position.segment;
        match written {
            EntryKind::Record(name) | EntryKind::Copy(name) => {
                let is_copy = matches!(written, EntryKind::Copy(_));
                self.messages.note_position(name, position);
                self.messages.update(name, |message| {
                    let holds_all = is_copy || message.oldest_needed_segment == NO_SEGMENT;
                    message.oldest_needed_segment =
                        if holds_all { segment } else { message.oldest_needed_segment.min(segment) };
                });
            }
            EntryKind::End(name) => {
                self.messages.update(name, |message| {
                    // For a message without a record, the entry with its end contains all that is known of it.
                    if message.record.is_none() || message.oldest_needed_segment == NO_SEGMENT {
                        message.oldest_needed_segment = segment;
                    }
                });
            }
            EntryKind::Facts(name) => {
                self.messages.update(name, |message| {
                    message.oldest_needed_segment = message.oldest_needed_segment.min(segment)
                });
            }
            EntryKind::CopiedSet { .. } => self.log_map.note_copied_set(segment),
            EntryKind::Time => {
                self.log_map.clock_reading_segment = self.log_map.clock_reading_segment.max(Some(segment))
            }
            EntryKind::Other => {}
        }
    }

    /// Reverts the state that assumed that an entry would be written.
    pub(crate) fn note_failed(&mut self, written: EntryKind, ticket: u64) {
        match written {
            EntryKind::Record(name) => {
                let is_lost = self
                    .messages
                    .get(&name)
                    .and_then(|message| message.record.as_ref())
                    .is_some_and(|record| record.ticket == ticket);
                if is_lost {
                    self.messages.drop_record(&name);
                }
            }
            EntryKind::End(name) => {
                let is_lost = self.messages.update(&name, |message| {
                    let is_lost = message.end_ticket == ticket;
                    if is_lost {
                        message.end_ticket = NOT_WRITTEN;
                    }
                    is_lost
                });
                if is_lost == Some(true) {
                    self.unwritten_ends.push(name);
                }
            }
            EntryKind::Copy(_) => {
                // Cleaning of the segment starts again from the beginning.
                self.log_map.cleaning = None;
            }
            EntryKind::Time => self.clock.forget_reading(),
            EntryKind::Facts(_) | EntryKind::CopiedSet { .. } | EntryKind::Other => {}
        }
    }

    /// Whether the log holds enough dead data, or fills enough of the disk, to be cleaned.
    fn is_log_too_large(&self) -> bool {
        let bytes = self.log_map.bytes();
        let live = self.messages.live_bytes();
        let is_mostly_dead = bytes > (2 * live).max(self.settings.clean_above_bytes);
        let is_disk_short = bytes > self.settings.disk_bytes / 4 * 3 && live < bytes / 8 * 7;
        is_mostly_dead || is_disk_short
    }

    /// Performs the next step of cleaning, if one is due.
    pub(crate) fn clean(&mut self) {
        if self.log_map.cleaning.is_none() {
            let is_time = self.log_map.not_before <= self.now.steady && self.persistence.failed_at.is_none();
            if !is_time || self.log_map.segments.len() < 2 || !self.is_log_too_large() {
                return;
            }
            let Some(segment) = self.log_map.segments.keys().next().copied() else { return };
            let names = self.messages.messages_needing(segment);
            let cleaning = Cleaning { segment, names, ticket: RECOVERED_TICKET, is_reading: false };
            self.log_map.cleaning = Some(cleaning);
        }
        let Some(cleaning) = &mut self.log_map.cleaning else { return };
        if cleaning.is_reading || !self.persistence.is_synced(cleaning.ticket) {
            return;
        }
        let segment = cleaning.segment;
        let names = self.next_to_copy(segment);
        if !names.is_empty() {
            if let Some(cleaning) = &mut self.log_map.cleaning {
                cleaning.is_reading = true;
            }
            self.gather(names, Purpose::Clean);
        } else if self.log_map.copied_sets_segment.is_some_and(|copied_in| copied_in <= segment) {
            self.copy_sets_forward();
        } else if self.log_map.clock_reading_segment.is_some_and(|read_in| read_in <= segment) {
            self.write_time_forward();
        } else {
            self.log_map.segments.remove(&segment);
            self.log_map.cleaning = None;
            self.out.push(Effect::RemoveSegments { before: segment + 1 });
        }
    }

    /// Takes the next batch of messages that still need an entry in this segment or an earlier one.
    fn next_to_copy(&mut self, segment: u64) -> Vec<MessageName> {
        let mut names = Vec::new();
        let mut bytes = 0;
        while names.len() < MAX_BATCH_MESSAGES && bytes < MAX_BATCH_BYTES {
            let Some(name) = self.log_map.cleaning.as_mut().and_then(|cleaning| cleaning.names.pop()) else {
                break;
            };
            let Some(message) = self.messages.get(&name) else { continue };
            if message.oldest_needed_segment <= segment {
                bytes += message.log_bytes();
                names.push(name);
            }
        }
        names
    }

    fn copy_sets_forward(&mut self) {
        self.log_map.copied_sets_segment = None;
        self.write_copied_sets();
        self.wait_for_open_batch();
    }

    fn write_time_forward(&mut self) {
        self.log_map.clock_reading_segment = None;
        self.clock.forget_reading();
        self.write_time();
        self.wait_for_open_batch();
    }

    /// Makes cleaning wait until all entries of the open batch are synced.
    fn wait_for_open_batch(&mut self) {
        if let Some(cleaning) = &mut self.log_map.cleaning {
            cleaning.ticket = RECOVERED_TICKET;
            if self.persistence.has_open_entries() {
                cleaning.ticket = self.persistence.open_ticket();
            }
        }
    }

    /// Writes a `CopiedSet` entry for each store set that was copied under the current placement.
    pub(crate) fn write_copied_sets(&mut self) {
        for set in self.view.copied_sets() {
            self.write_copied_set(set);
        }
    }

    pub(crate) fn write_copied_set(&mut self, set: u64) {
        let epoch = self.view.epoch();
        if let Ok(entry) = (LogEntry::CopiedSet { set, epoch }).encode() {
            self.persistence.add(entry, EntryKind::CopiedSet { set, epoch });
        }
    }

    /// Writes the messages of a finished job to the end of the log.
    pub(crate) fn copy_forward(&mut self, job: &GatherJob) {
        if let Some(cleaning) = &mut self.log_map.cleaning {
            cleaning.is_reading = false;
        }
        if job.has_failed {
            self.log_map.cleaning = None;
            self.log_map.not_before = self.now.steady + READ_FAILURE_PAUSE;
            return;
        }
        let mut ticket = RECOVERED_TICKET;
        for (name, payload) in job.names.iter().zip(&job.payloads) {
            let Some(entry) =
                self.to_kept_message(name, payload.as_ref()).map(|kept| LogEntry::Message(Box::new(kept)))
            else {
                continue;
            };
            let Ok(entry) = entry.encode() else { continue };
            ticket = self.persistence.add(entry, EntryKind::Copy(name.clone()));
        }
        if let Some(cleaning) = &mut self.log_map.cleaning {
            cleaning.ticket = ticket;
        }
    }

    /// Builds the log form of a message.
    fn to_kept_message(&self, name: &MessageName, payload: Option<&bytes::Bytes>) -> Option<KeptMessage> {
        let stored = self.stored(name, payload)?;
        let message: &Message = self.messages.get(name)?;
        let held = message.record.as_deref();
        Some(KeptMessage {
            stored,
            taken: held.map_or(message.noted_at, |held| held.first_stored_at),
            ended: message.noted_at,
            is_released: held.is_some_and(|held| held.is_released),
            downtime_before: held.map_or(0, |held| held.downtime_before),
        })
    }
}
