//! A message at its owner.

use std::collections::BTreeSet;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::Owner;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::{End, MessageName, Record, RouteKey};

use crate::io::{AttemptNumber, ClientToken};

/// The stage of a message in its lifecycle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The stores are asked which messages of its ordering key are open. Nothing is written yet.
    Listing { answered: BTreeSet<StoreId>, found: BTreeSet<MessageName> },
    /// The record is being written to the stores.
    Writing,
    /// Facts are requested before a message of another owner is run. `from` is the previous owner, `claim` the
    /// highest claim known.
    Adopting { answered: BTreeSet<StoreId>, from: Owner, claim: u32 },
    /// Stores are asked to make this relay the owner.
    Claiming { granted: BTreeSet<StoreId>, claim: u32 },
    /// Stored durably and not running.
    Waiting,
    /// Submitted to the runner.
    Running,
    /// Ended; the end is being sent to the stores.
    Ending(End),
}

/// Confirmation by the stores, before an attempt is sent, that this relay still owns the message.
#[derive(Clone, Debug)]
pub(crate) struct Confirmation {
    pub attempt: AttemptNumber,
    pub answered: BTreeSet<StoreId>,
}

/// A message at its owner.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub record: Record,
    /// The route of the message. `None` until it is found, for a record that does not contain it.
    pub route: Option<RouteKey>,
    pub stage: Stage,
    /// The client that waits for the answer; `None` once it is answered.
    pub client: Option<ClientToken>,
    /// Stores that were sent the record or the request of the present stage.
    pub asked: BTreeSet<StoreId>,
    /// Stores that have synced the record.
    pub written: BTreeSet<StoreId>,
    /// Stores that reported that they did not store the record.
    pub declined: BTreeSet<StoreId>,
    /// Stores that the end was sent to.
    pub end_sent_to: BTreeSet<StoreId>,
    /// Stores whose response to the record was lost.
    pub unanswered: BTreeSet<StoreId>,
    /// When the end is sent again; 0 while no timer is set.
    pub retry_end_at: Micros,
    /// Stores that have synced the end.
    pub settled: BTreeSet<StoreId>,
    /// Predecessors that are not known to have ended.
    pub blockers: BTreeSet<MessageName>,
    /// Stores that answered the present check of predecessors.
    pub checked: BTreeSet<StoreId>,
    /// Blockers that at least one store reported as open in the present check.
    pub seen_open: BTreeSet<MessageName>,
    /// A store has answered the record with the status that the message has ended or has another owner.
    pub may_be_owned_elsewhere: bool,
    /// The message was adopted from another relay.
    pub is_adopted: bool,
    /// The claim that a write quorum has granted this relay; 0 for a message that a client submitted to this relay.
    pub claim: u32,
    /// When this relay was last certain to be the owner.
    pub owned_since: Micros,
    /// An attempt that waits for the confirmation of the stores.
    pub confirmation: Option<Confirmation>,
    pub failures: u32,
    pub due_at: Micros,
    /// When the message was first submitted to the runner.
    first_run_due: Option<Micros>,
    /// Earliest time of the next run: the end of the backoff after a failed run.
    pub not_before: Micros,
    pub expires_at: Micros,
    /// When the present stage began.
    pub stage_since: Micros,
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
            end_sent_to: BTreeSet::new(),
            settled: BTreeSet::new(),
            blockers: BTreeSet::new(),
            checked: BTreeSet::new(),
            seen_open: BTreeSet::new(),
            may_be_owned_elsewhere: false,
            is_adopted: false,
            claim: 0,
            owned_since: now,
            confirmation: None,
            failures: 0,
            due_at: now,
            first_run_due: None,
            not_before: 0,
            expires_at: Micros::MAX,
            stage_since: now,
        }
    }

    /// Whether a store may hold the record, confirmed or not.
    pub fn may_have_copy(&self) -> bool {
        self.asked.iter().any(|store| !self.declined.contains(store))
    }

    /// When the first run was due: `now`, if the message is submitted to the runner for the first time.
    ///
    /// Without this memory, a message that fails again and again would look newly arrived each time and be run
    /// before all waiting messages.
    pub fn first_run_due(&mut self, now: Micros) -> Micros {
        *self.first_run_due.get_or_insert(now)
    }

    /// The earliest time at which the message may run.
    pub fn runs_from(&self) -> Micros {
        self.due_at.max(self.not_before)
    }
}
