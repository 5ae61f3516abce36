//! Keeps the log small: what is still needed of the oldest segment is written again at the end, then the segment goes.
//!
//! This takes the place of whole snapshots. It goes in small pieces, needs no second copy of all data on the disk, and
//! after a loss of power at any point the log is whole, as entries may be there twice.

use std::collections::BTreeMap;

use pewterseam_storage::{FRAME_HEADER_BYTES, Position};
use pewterseam_wire::Micros;
use pewterseam_wire::record::MessageName;

use crate::entry::{KeptMessage, LogEntry};
use crate::gathering::{Job, Purpose};
use crate::interface::Effect;
use crate::message::{Message, NO_SEGMENT, NOT_WRITTEN};
use crate::persistence::{RECOVERED_TICKET, Written};
use crate::store::Store;

/// Messages, and bytes of their records, that are copied in one piece.
const PIECE_MESSAGES: usize = 64;
const PIECE_BYTES: u64 = 256 * 1024;

/// After a record could not be read, cleaning rests this long.
const REST: Micros = 10_000_000;

/// The segment that is being cleaned.
#[derive(Debug)]
struct Cleaning {
    segment: u64,
    /// Messages that are still to be copied.
    names: Vec<MessageName>,
    /// The last piece; cleaning goes on when it is synced.
    ticket: u64,
    /// Records of the next piece are being read.
    is_reading: bool,
}

/// What lies where in the log.
#[derive(Debug, Default)]
pub(crate) struct LogMap {
    /// Bytes by segment.
    segments: BTreeMap<u64, u64>,
    /// Where the noted copied sets lie.
    copied_in: Option<u64>,
    /// Where the newest reading of the clocks lies.
    time_in: Option<u64>,
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
        self.copied_in = Some(segment);
    }

    /// Bytes of all segments.
    pub fn bytes(&self) -> u64 {
        self.segments.values().sum()
    }
}

impl Store {
    /// Notes where an entry of a message lies.
    pub(crate) fn note_written(&mut self, written: &Written, position: Position) {
        self.log_map.note_entry(position);
        let segment = position.segment;
        match written {
            Written::Record(name) | Written::Copy(name) => {
                let is_copy = matches!(written, Written::Copy(_));
                self.messages.note_position(name, position);
                self.messages.update(name, |message| {
                    let holds_all = is_copy || message.needed_from == NO_SEGMENT;
                    message.needed_from = if holds_all { segment } else { message.needed_from.min(segment) };
                });
            }
            Written::End(name) => {
                self.messages.update(name, |message| {
                    // The end alone tells all that is left to know of a message without a record.
                    if message.record.is_none() || message.needed_from == NO_SEGMENT {
                        message.needed_from = segment;
                    }
                });
            }
            Written::Facts(name) => {
                self.messages.update(name, |message| message.needed_from = message.needed_from.min(segment));
            }
            Written::CopiedSet { .. } => self.log_map.note_copied_set(segment),
            Written::Time => self.log_map.time_in = self.log_map.time_in.max(Some(segment)),
            Written::Other => {}
        }
    }

    /// Takes back that an entry was written.
    pub(crate) fn note_failed(&mut self, written: Written, ticket: u64) {
        match written {
            Written::Record(name) => {
                let is_lost = self
                    .messages
                    .get(&name)
                    .and_then(|message| message.record.as_ref())
                    .is_some_and(|record| record.ticket == ticket);
                if is_lost {
                    self.messages.drop_record(&name);
                }
            }
            Written::End(name) => {
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
            Written::Copy(_) => {
                // The segment is looked through again.
                self.log_map.cleaning = None;
            }
            Written::Time => self.clock.forget_reading(),
            Written::Facts(_) | Written::CopiedSet { .. } | Written::Other => {}
        }
    }

    /// Whether the log is to be made smaller.
    fn is_log_too_large(&self) -> bool {
        let bytes = self.log_map.bytes();
        let live = self.messages.live_bytes();
        let is_mostly_dead = bytes > (2 * live).max(self.settings.clean_above_bytes);
        let is_disk_short = bytes > self.settings.disk_bytes / 4 * 3 && live < bytes / 8 * 7;
        is_mostly_dead || is_disk_short
    }

    /// Does the next piece of cleaning, if there is one to do.
    pub(crate) fn clean(&mut self) {
        if self.log_map.cleaning.is_none() {
            let is_time = self.log_map.not_before <= self.now.steady && self.persistence.failed_at.is_none();
            if !is_time || self.log_map.segments.len() < 2 || !self.is_log_too_large() {
                return;
            }
            let Some(segment) = self.log_map.segments.keys().next().copied() else { return };
            let names = self.messages.needing(segment);
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
        } else if self.log_map.copied_in.is_some_and(|copied_in| copied_in <= segment) {
            self.copy_sets_forward();
        } else if self.log_map.time_in.is_some_and(|time_in| time_in <= segment) {
            self.write_time_forward();
        } else {
            self.log_map.segments.remove(&segment);
            self.log_map.cleaning = None;
            self.out.push(Effect::RemoveSegments { before: segment + 1 });
        }
    }

    /// The next messages of which something lies in this segment or before and nowhere else.
    fn next_to_copy(&mut self, segment: u64) -> Vec<MessageName> {
        let mut names = Vec::new();
        let mut bytes = 0;
        while names.len() < PIECE_MESSAGES && bytes < PIECE_BYTES {
            let Some(name) = self.log_map.cleaning.as_mut().and_then(|cleaning| cleaning.names.pop()) else {
                break;
            };
            let Some(message) = self.messages.get(&name) else { continue };
            if message.needed_from <= segment {
                bytes += message.log_bytes();
                names.push(name);
            }
        }
        names
    }

    fn copy_sets_forward(&mut self) {
        self.log_map.copied_in = None;
        self.write_copied_sets();
        self.await_open_entries();
    }

    fn write_time_forward(&mut self) {
        self.log_map.time_in = None;
        self.clock.forget_reading();
        self.write_time();
        self.await_open_entries();
    }

    /// Cleaning goes on once all that was gathered is synced.
    fn await_open_entries(&mut self) {
        if let Some(cleaning) = &mut self.log_map.cleaning {
            cleaning.ticket = RECOVERED_TICKET;
            if self.persistence.has_open_entries() {
                cleaning.ticket = self.persistence.open_ticket();
            }
        }
    }

    /// Writes which sets were copied for the placement in force.
    pub(crate) fn write_copied_sets(&mut self) {
        for set in self.view.copied_sets() {
            self.write_copied_set(set);
        }
    }

    pub(crate) fn write_copied_set(&mut self, set: u64) {
        let epoch = self.view.epoch();
        if let Ok(entry) = (LogEntry::CopiedSet { set, epoch }).encode() {
            self.persistence.add(entry, Written::CopiedSet { set, epoch });
        }
    }

    /// Writes messages whose records were gathered to the log's end.
    pub(crate) fn copy_forward(&mut self, job: &Job) {
        if let Some(cleaning) = &mut self.log_map.cleaning {
            cleaning.is_reading = false;
        }
        if job.has_failed {
            self.log_map.cleaning = None;
            self.log_map.not_before = self.now.steady + REST;
            return;
        }
        let mut ticket = RECOVERED_TICKET;
        for (name, payload) in job.names.iter().zip(&job.payloads) {
            let Some(entry) = self.kept(name, payload.as_ref()).map(|kept| LogEntry::Message(Box::new(kept)))
            else {
                continue;
            };
            let Ok(entry) = entry.encode() else { continue };
            ticket = self.persistence.add(entry, Written::Copy(name.clone()));
        }
        if let Some(cleaning) = &mut self.log_map.cleaning {
            cleaning.ticket = ticket;
        }
    }

    /// A message as it is to stand in the log.
    fn kept(&self, name: &MessageName, payload: Option<&bytes::Bytes>) -> Option<KeptMessage> {
        let stored = self.stored(name, payload)?;
        let message: &Message = self.messages.get(name)?;
        let held = message.record.as_deref();
        Some(KeptMessage {
            stored,
            taken: held.map_or(message.noted_at, |held| held.taken_at),
            ended: message.noted_at,
            is_released: held.is_some_and(|held| held.is_released),
            away_before: held.map_or(0, |held| held.away_before),
        })
    }
}
