//! Rebuilds a store from its log.

use pewterseam_storage::Position;
use pewterseam_wire::frame::FrameError;
use pewterseam_wire::record::{End, MessageName};

use crate::entry::{KeptMessage, LogEntry};
use crate::interface::{CurrentTime, StoreSettings};
use crate::log_clock::{Reading, RecoveredClock};
use crate::message::{HeldRecord, Message, Moment, NO_SEGMENT};
use crate::persistence::{EntryKind, RECOVERED_TICKET};
use crate::store::Store;

/// Why a store could not be rebuilt.
#[derive(Debug)]
pub enum RecoverError {
    /// An entry is intact but cannot be decoded, because a newer version of the program wrote it.
    UnknownEntry { position: Position, error: FrameError },
}

impl std::fmt::Display for RecoverError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RecoverError::UnknownEntry { position, error } => write!(
                f,
                "cannot decode the entry at byte {} of segment {}, which a newer version of the program wrote; start \
                 that version again ({error})",
                position.offset, position.segment
            ),
        }
    }
}

impl std::error::Error for RecoverError {}

/// A store that is being rebuilt: pass each entry of its log in order, then call [`StoreRecovery::finish`].
pub struct StoreRecovery {
    store: Store,
    clock: RecoveredClock,
    error: Option<RecoverError>,
}

impl StoreRecovery {
    /// Starts with an empty store. A store on an empty disk has no entries.
    pub fn new(settings: StoreSettings, now: CurrentTime) -> Self {
        StoreRecovery { store: Store::empty(settings, now), clock: RecoveredClock::default(), error: None }
    }

    /// Applies the next entry.
    pub fn entry(&mut self, position: Position, payload: &[u8]) {
        match LogEntry::decode(payload) {
            Ok(entry) => self.apply(position, entry),
            Err(error) => {
                self.error.get_or_insert(RecoverError::UnknownEntry { position, error });
            }
        }
    }

    /// Returns the store in the state that the log describes.
    pub fn finish(mut self) -> Result<Store, RecoverError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let (now, clock_error) = (self.store.now, self.store.settings.clock_error);
        self.store.clock.resume(&self.clock, now, clock_error);
        self.store.subtract_uncounted_downtime();
        self.store.messages.sort_ended();
        self.store.note_ended_predecessors();
        Ok(self.store)
    }

    fn apply(&mut self, position: Position, entry: LogEntry) {
        let store = &mut self.store;
        let written = match entry {
            LogEntry::Message(kept) => {
                self.clock.entry(kept.taken.max(kept.ended));
                let name = kept.stored.name.clone();
                apply_message(store, position, *kept);
                EntryKind::Record(name)
            }
            LogEntry::Ended { name, end, at } => {
                self.clock.entry(at);
                apply_end(store, &name, &end, at);
                EntryKind::End(name)
            }
            LogEntry::Attempted { name, failures, at } => {
                self.clock.entry(at);
                store.messages.note_failures(&name, failures, at);
                let has_record = store.messages.get(&name).is_some_and(|message| message.record.is_some());
                if has_record { EntryKind::Other } else { EntryKind::Facts(name) }
            }
            LogEntry::Claimed { names, owner, claim } => {
                for name in names {
                    store.change_owner(&name, &owner, claim);
                }
                EntryKind::Other
            }
            LogEntry::Released { names, owner } => {
                for name in names {
                    if let Some(record) = store.messages.record_mut(&name)
                        && record.owner == owner
                    {
                        record.is_released = true;
                    }
                    store.queue_orphan(&name);
                }
                EntryKind::Other
            }
            LogEntry::CopiedSet { set, epoch } => {
                store.view.note_copied(set, epoch);
                EntryKind::CopiedSet { set, epoch }
            }
            LogEntry::Probe => EntryKind::Other,
            LogEntry::Time { at, wall, away } => {
                self.clock.reading(Reading { at, wall, away });
                EntryKind::Time
            }
        };
        store.note_written(&written, position);
    }
}

fn apply_end(store: &mut Store, name: &MessageName, end: &End, at: Moment) {
    store.messages.note_end(name, end, at, RECOVERED_TICKET);
}

/// Applies a message entry. A later copy of a known message replaces all earlier entries of it, because a copy contains
/// everything that was known when it was written.
fn apply_message(store: &mut Store, position: Position, kept: KeptMessage) {
    let stored = kept.stored;
    let name = stored.name;
    if let Some(end) = &stored.end {
        apply_end(store, &name, end, kept.ended);
    }
    let first_stored_at = kept.taken;
    store.messages.note_failures(&name, stored.failures, first_stored_at);
    let is_needed = store.messages.get(&name).is_none_or(|message| {
        message.record.is_none() && !matches!(message.end, Some(End::Completed { .. }))
    });
    match (stored.record, is_needed) {
        (Some(record), true) => {
            // Downtimes are subtracted at the end of the recovery, once all of them are known.
            let expires_at = store.expiry_of(&record, first_stored_at, 0);
            let held = HeldRecord {
                payload: None,
                position: Some(position),
                ticket: RECOVERED_TICKET,
                partition: record.partition,
                ordering_key: record.ordering_key,
                predecessors: record.predecessors.into_boxed_slice(),
                owner: stored.owner.unwrap_or(record.owner),
                claim: stored.claim,
                is_released: kept.is_released,
                first_stored_at,
                downtime_before: kept.downtime_before,
                is_queued: false,
            };
            store.messages.insert_record(&name, held, expires_at, store.now.steady);
            if kept.is_released {
                store.queue_orphan(&name);
            }
        }
        (_, false) => {
            if let Some(owner) = &stored.owner {
                store.change_owner(&name, owner, stored.claim);
            }
            store.messages.update(&name, |message: &mut Message| message.oldest_needed_segment = NO_SEGMENT);
        }
        (None, true) => {}
    }
}

impl Store {
    fn note_ended_predecessors(&mut self) {
        let mut pairs = Vec::new();
        for (name, message) in self.messages.after(None) {
            let Some(record) = message.open_record() else { continue };
            let is_ended = |predecessor: &&MessageName| {
                self.messages.get(predecessor).is_some_and(|message| message.end.is_some())
            };
            pairs.extend(
                record.predecessors.iter().filter(is_ended).map(|other| (name.clone(), other.clone())),
            );
        }
        for (successor, predecessor) in pairs {
            self.end_notices.add(successor, predecessor);
        }
    }
}
