//! State and body of a message, read from a quorum of its partition's stores for a caller at any relay.

use std::collections::BTreeSet;
use std::sync::Arc;

use pewterseam_wire::placement::{Partition, Placement, StoreId};
use pewterseam_wire::record::{End, Record};
use pewterseam_wire::store::Status;

/// What is known of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusResult {
    Unknown,
    Pending,
    Ended(End),
}

/// Gathers the stores' words on one message.
#[derive(Debug)]
pub struct StatusRead {
    placement: Arc<Placement>,
    partition: Partition,
    answered: BTreeSet<StoreId>,
    /// Stores that know the message and no end of it.
    open_at: BTreeSet<StoreId>,
    end: Option<End>,
}

impl StatusRead {
    pub fn new(placement: Arc<Placement>, partition: Partition) -> Self {
        StatusRead { placement, partition, answered: BTreeSet::new(), open_at: BTreeSet::new(), end: None }
    }

    /// The stores to ask.
    pub fn stores(&self) -> BTreeSet<StoreId> {
        self.placement.stores(self.partition)
    }

    /// Takes one store's word; the result once it is certain.
    pub fn answered(&mut self, store: StoreId, status: Status) -> Option<StatusResult> {
        match status {
            Status::Unknown => {}
            Status::Open { .. } => drop(self.open_at.insert(store.clone())),
            Status::Ended(end) => self.note_end(end),
        }
        self.answered.insert(store);
        if !self.placement.is_read(self.partition, &self.answered) {
            return None;
        }
        Some(self.best())
    }

    fn note_end(&mut self, end: End) {
        if self.end.as_ref().is_none_or(|known| end.rank() < known.rank()) {
            self.end = Some(end);
        }
    }

    /// The end that is known, and the stores that are to be told of it. A reader that tells an end writes it back to a
    /// quorum, so that no later reader finds the message open again.
    pub fn write_back(&self) -> Option<(&End, &BTreeSet<StoreId>)> {
        self.end.as_ref().map(|end| (end, &self.open_at)).filter(|(_, stores)| !stores.is_empty())
    }

    /// What the answers so far say. An end or an open record is certain from any one of them.
    pub fn best(&self) -> StatusResult {
        match &self.end {
            Some(end) => StatusResult::Ended(end.clone()),
            None if !self.open_at.is_empty() => StatusResult::Pending,
            None => StatusResult::Unknown,
        }
    }
}

/// Gathers the stores' answers to a question for a body.
#[derive(Debug)]
pub struct BodyRead {
    placement: Arc<Placement>,
    partition: Partition,
    answered: BTreeSet<StoreId>,
}

impl BodyRead {
    pub fn new(placement: Arc<Placement>, partition: Partition) -> Self {
        BodyRead { placement, partition, answered: BTreeSet::new() }
    }

    /// The stores to ask.
    pub fn stores(&self) -> BTreeSet<StoreId> {
        self.placement.stores(self.partition)
    }

    /// Takes one store's answer: the record as soon as any store has it, `Some(None)` once none can have it.
    pub fn answered(&mut self, store: StoreId, record: Option<Record>) -> Option<Option<Record>> {
        if record.is_some() {
            return Some(record);
        }
        self.answered.insert(store);
        self.placement.is_read(self.partition, &self.answered).then_some(None)
    }
}
