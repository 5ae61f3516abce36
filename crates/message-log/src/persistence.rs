//! Entries that are being written to the disk, and the requests that wait for them.

use std::collections::VecDeque;

use bytes::Bytes;
use pewterseam_wire::Micros;
use pewterseam_wire::placement::PlacementEpoch;
use pewterseam_wire::record::MessageName;

use crate::interface::Effect;

/// The ticket of data that was recovered from the log.
pub(crate) const RECOVERED_TICKET: u64 = 1;

/// Entries that no request waits for are written after this time at the latest.
const LAZY_DELAY: Micros = 1_000_000;

/// What a written entry holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EntryKind {
    /// A message with its record, new to this store.
    Record(MessageName),
    /// An end.
    End(MessageName),
    /// Facts of a message of which this store has no record.
    Facts(MessageName),
    /// A message that was copied from an old segment.
    Copy(MessageName),
    CopiedSet {
        set: u64,
        epoch: PlacementEpoch,
    },
    /// A reading of the clocks.
    Time,
    Other,
}

/// Entries that are written together.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    pub ticket: u64,
    pub written: Vec<EntryKind>,
    /// The requests that are answered once the batch is synced.
    pub waiting: Vec<u64>,
    bytes: usize,
}

/// The open batch, and those that were passed to the driver and are not yet synced.
#[derive(Debug)]
pub(crate) struct Persistence {
    open: Batch,
    entries: Vec<Bytes>,
    is_urgent: bool,
    lazy_since: Option<Micros>,
    in_flight: VecDeque<Batch>,
    waiting_bytes: usize,
    /// When the last write failed; `None` once a write has succeeded since.
    pub failed_at: Option<Micros>,
}

impl Persistence {
    pub fn new() -> Self {
        Persistence {
            open: Batch { ticket: RECOVERED_TICKET + 1, ..Batch::default() },
            entries: Vec::new(),
            is_urgent: false,
            lazy_since: None,
            in_flight: VecDeque::new(),
            waiting_bytes: 0,
            failed_at: None,
        }
    }

    /// The ticket of the open batch, which the next added entry gets.
    pub fn open_ticket(&self) -> u64 {
        self.open.ticket
    }

    /// Bytes that are not yet synced.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Adds an entry that is written at the end of the step.
    pub fn add(&mut self, entry: Bytes, written: EntryKind) -> u64 {
        self.is_urgent = true;
        self.push(entry, written)
    }

    /// Adds an entry that no request waits for.
    pub fn add_lazily(&mut self, entry: Bytes, written: EntryKind, now: Micros) -> u64 {
        self.lazy_since.get_or_insert(now);
        self.push(entry, written)
    }

    fn push(&mut self, entry: Bytes, written: EntryKind) -> u64 {
        self.open.bytes += entry.len();
        self.waiting_bytes += entry.len();
        self.entries.push(entry);
        self.open.written.push(written);
        self.open.ticket
    }

    /// Whether the batch with this ticket is synced.
    pub fn is_synced(&self, ticket: u64) -> bool {
        let first_waiting = self.in_flight.front().map_or(self.open.ticket, |batch| batch.ticket);
        ticket >= RECOVERED_TICKET && ticket < first_waiting
    }

    /// Registers a request to be answered once this ticket is synced. Returns false if no pending batch has the ticket.
    pub fn wait(&mut self, ticket: u64, token: u64) -> bool {
        if ticket == self.open.ticket {
            self.is_urgent = true;
            self.open.waiting.push(token);
            return true;
        }
        match self.in_flight.iter_mut().find(|batch| batch.ticket == ticket) {
            Some(batch) => {
                batch.waiting.push(token);
                true
            }
            None => false,
        }
    }

    /// Writes the open batch, if a request waits for it or its delay has passed.
    pub fn flush(&mut self, now: Micros) -> Option<Effect> {
        if self.entries.is_empty() || !(self.is_urgent || self.lazy_due().is_some_and(|due| due <= now)) {
            return None;
        }
        self.is_urgent = false;
        self.lazy_since = None;
        let ticket = self.open.ticket;
        let batch = std::mem::replace(&mut self.open, Batch { ticket: ticket + 1, ..Batch::default() });
        self.in_flight.push_back(batch);
        Some(Effect::Persist { ticket, entries: std::mem::take(&mut self.entries) })
    }

    /// When entries that no request waits for are to be written.
    pub fn lazy_due(&self) -> Option<Micros> {
        self.lazy_since.map(|since| since + LAZY_DELAY)
    }

    /// Removes and returns the batches up to a ticket, which are synced or have failed.
    pub fn take_through(&mut self, through: u64) -> Vec<Batch> {
        let count = self.in_flight.iter().take_while(|batch| batch.ticket <= through).count();
        let batches: Vec<Batch> = self.in_flight.drain(..count).collect();
        self.waiting_bytes -= batches.iter().map(|batch| batch.bytes).sum::<usize>();
        batches
    }

    /// Removes and returns all waiting requests.
    pub fn take_waiting(&mut self) -> Vec<u64> {
        let mut waiting = std::mem::take(&mut self.open.waiting);
        for batch in &mut self.in_flight {
            waiting.append(&mut batch.waiting);
        }
        waiting
    }

    /// Whether the open batch has entries.
    pub fn has_open_entries(&self) -> bool {
        !self.entries.is_empty()
    }

    /// Whether no batch is being written.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }
}
