//! Reads the status or body of a message from a quorum of its partition's stores, for a caller at any relay.

use std::collections::BTreeSet;
use std::sync::Arc;

use pewterseam_wire::placement::{Partition, Placement, StoreId};
use pewterseam_wire::record::{End, Record};
use pewterseam_wire::store::Status;

/// Status of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusResult {
    Unknown,
    Pending,
    Ended(End),
}

/// Collects the stores' statuses of one message.
#[derive(Debug)]
pub struct StatusRead {
    placement: Arc<Placement>,
    partition: Partition,
    answered: BTreeSet<StoreId>,
    /// Stores that know the message as open.
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

    /// Records the status from one store, and returns the result once a read quorum has answered.
    pub fn answered(&mut self, store: StoreId, status: Status) -> Option<StatusResult> {
        match status {
            Status::Unknown => {}
            Status::Open { .. } => drop(self.open_at.insert(store.clone())),
            Status::Ended(end) => self.note_end(end),
        }
        self.answered.insert(store);
        if !self.placement.is_read_quorum(self.partition, &self.answered) {
            return None;
        }
        Some(self.current_result())
    }

    fn note_end(&mut self, end: End) {
        if self.end.as_ref().is_none_or(|known| end.rank() < known.rank()) {
            self.end = Some(end);
        }
    }

    /// The known end, and the stores that it must be sent to. A reader that reports an end writes it back to a
    /// quorum, so that no later reader sees the message as open.
    pub fn write_back(&self) -> Option<(&End, &BTreeSet<StoreId>)> {
        self.end.as_ref().map(|end| (end, &self.open_at)).filter(|(_, stores)| !stores.is_empty())
    }

    /// The result of the responses so far. A single response suffices to establish an end or an open record.
    pub fn current_result(&self) -> StatusResult {
        match &self.end {
            Some(end) => StatusResult::Ended(end.clone()),
            None if !self.open_at.is_empty() => StatusResult::Pending,
            None => StatusResult::Unknown,
        }
    }
}

/// Collects the stores' responses to a request for a body.
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

    /// Records the response of one store. Returns the record as soon as any store has it, and `Some(None)` once a
    /// read quorum has none.
    pub fn answered(&mut self, store: StoreId, record: Option<Record>) -> Option<Option<Record>> {
        if record.is_some() {
            return Some(record);
        }
        self.answered.insert(store);
        self.placement.is_read_quorum(self.partition, &self.answered).then_some(None)
    }
}
