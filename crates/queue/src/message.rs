//! A message at its owner.

use std::collections::BTreeSet;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::Owner;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::{End, MessageName, Record, RouteKey};

use crate::io::{AttemptNumber, ClientToken};

/// Where a message is in its life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The stores are asked which messages of its key are open. Nothing is written yet.
    Listing { answered: BTreeSet<StoreId>, found: BTreeSet<MessageName> },
    /// The record is on its way to the stores.
    Writing,
    /// Facts are asked for before a message of another owner is run. `from` is the owner that is gone, `claim` the
    /// highest one that was heard of.
    Adopting { answered: BTreeSet<StoreId>, from: Owner, claim: u32 },
    /// Stores are asked to make this relay the owner.
    Claiming { granted: BTreeSet<StoreId>, claim: u32 },
    /// Kept; not running.
    Waiting,
    /// Handed to the runner.
    Running,
    /// Ended; the stores are told.
    Ending(End),
}

/// The question to the stores whether a message is still owned here, before it is sent.
#[derive(Clone, Debug)]
pub(crate) struct Confirmation {
    pub attempt: AttemptNumber,
    pub answered: BTreeSet<StoreId>,
}

/// A message at its owner.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub record: Record,
    /// Its route; none until it is found, for a record that does not tell it.
    pub route: Option<RouteKey>,
    pub stage: Stage,
    /// The client that waits, until it is answered.
    pub client: Option<ClientToken>,
    /// Stores that were sent the record or the question of this stage.
    pub asked: BTreeSet<StoreId>,
    /// Stores that have synced the record.
    pub written: BTreeSet<StoreId>,
    /// Stores that said that they did not take the record.
    pub declined: BTreeSet<StoreId>,
    /// Stores that were told the end.
    pub told_end: BTreeSet<StoreId>,
    /// Stores whose answer to the record was lost.
    pub unanswered: BTreeSet<StoreId>,
    /// When the end is told again; 0 where no timer is set for it.
    pub retry_end_at: Micros,
    /// Stores that have synced the end.
    pub settled: BTreeSet<StoreId>,
    /// Predecessors not known to have ended.
    pub blockers: BTreeSet<MessageName>,
    /// Stores that answered the present check of predecessors, and the blockers that each knows to be open.
    pub checked: BTreeSet<StoreId>,
    pub seen_open: BTreeSet<MessageName>,
    /// A store has told, in answer to the record, that it has ended or has another owner.
    pub has_moved_on: bool,
    /// It was taken over from another relay.
    pub is_adopted: bool,
    /// The claim that a write quorum has granted this relay; 0 for a message that was taken here.
    pub claim: u32,
    /// When this relay was last certain to be the owner.
    pub owned_since: Micros,
    /// An attempt that waits for the stores' word.
    pub confirmation: Option<Confirmation>,
    pub failures: u32,
    pub due_at: Micros,
    /// When it was first handed to the runner.
    first_run_due: Option<Micros>,
    /// No run before then: the pause after a failed one.
    pub pause_until: Micros,
    pub expires_at: Micros,
    /// When the present stage began.
    pub since: Micros,
}

impl Message {
    pub fn new(record: Record, stage: Stage, now: Micros) -> Self {
        Message {
            route: record.route_key.clone(),
            record,
            stage,
            client: None,
            asked: BTreeSet::new(),
            written: BTreeSet::new(),
            declined: BTreeSet::new(),
            unanswered: BTreeSet::new(),
            retry_end_at: 0,
            told_end: BTreeSet::new(),
            settled: BTreeSet::new(),
            blockers: BTreeSet::new(),
            checked: BTreeSet::new(),
            seen_open: BTreeSet::new(),
            has_moved_on: false,
            is_adopted: false,
            claim: 0,
            owned_since: now,
            confirmation: None,
            failures: 0,
            due_at: now,
            first_run_due: None,
            pause_until: 0,
            expires_at: Micros::MAX,
            since: now,
        }
    }

    /// A store may hold the record although it has not said so.
    pub fn may_have_copy(&self) -> bool {
        self.asked.iter().any(|store| !self.declined.contains(store))
    }

    /// When its first run was due: now, if it is handed to the runner for the first time.
    ///
    /// Danger: a message that fails again and again would look as one that has just come, and go before all that wait.
    pub fn first_run_due(&mut self, now: Micros) -> Micros {
        *self.first_run_due.get_or_insert(now)
    }

    /// The moment from which it may run.
    pub fn runs_from(&self) -> Micros {
        self.due_at.max(self.pause_until)
    }
}
