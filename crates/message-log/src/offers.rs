//! Offers messages without a live owner to relays that can take them over.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use pewterseam_wire::Micros;
use pewterseam_wire::identity::{NodeName, Owner};
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::{OrphanMessage, StoreNotice};

use crate::gathering::{GatherJob, Purpose};
use crate::interface::{Effect, Members};
use crate::message::Message;
use crate::owners::OwnerState;
use crate::store::Store;

/// A message that no relay has claimed is offered again after this time.
const REPEAT_AFTER: Micros = 1_000_000;

/// Each store of a group waits this much longer than the live store before it, so that usually only one of them offers a
/// message.
const RANK_DELAY: Micros = 150_000;

/// Owners that are unknown to membership are checked again after this time.
const OWNER_CHECK_INTERVAL: Micros = 500_000;

/// The maximum number of messages in one notice.
const MAX_NOTICE_MESSAGES: usize = 64;

/// The limit in bytes for the records in one notice; a notice always holds at least one record.
const MAX_NOTICE_BYTES: u64 = 256 * 1024;

/// The maximum number of notices in one step, and the pause after a step that reached it.
const MAX_NOTICES_PER_STEP: usize = 4;
const OFFER_PAUSE: Micros = 50_000;

/// The messages to offer, ordered by when their offer is due.
#[derive(Debug, Default)]
pub(crate) struct Offers {
    queue: BinaryHeap<Reverse<(Micros, MessageName)>>,
    /// No offer is sent before this time.
    not_before: Micros,
    /// When the states of owners are checked again.
    pub next_owner_check: Option<Micros>,
}

impl Offers {
    pub fn due(&self) -> Option<Micros> {
        self.queue.peek().map(|Reverse((due, _))| (*due).max(self.not_before))
    }

    fn take_due(&mut self, now: Micros) -> Option<MessageName> {
        if self.queue.peek().is_none_or(|Reverse((due, _))| *due > now) {
            return None;
        }
        self.queue.pop().map(|Reverse((_, name))| name)
    }
}

/// The messages that one notice offers to one relay.
#[derive(Default)]
struct OfferBatch {
    names: Vec<MessageName>,
    bytes: u64,
}

impl Store {
    /// Sets the current members and updates the states of all owners.
    pub(crate) fn set_members(&mut self, members: Members) {
        self.owners.set(members, self.now.steady);
        self.update_owner_states();
    }

    /// Updates the states of all owners and queues the messages of those that have ended.
    pub(crate) fn update_owner_states(&mut self) {
        let now = self.now.steady;
        let mut orphans = Vec::new();
        let mut has_unknown = false;
        for (owner, owned) in &mut self.messages.by_owner {
            let state = self.owners.owner_state(owner, owned.first_seen, now);
            has_unknown |= state == OwnerState::Unknown;
            let is_owner_ended = state == OwnerState::Ended;
            if is_owner_ended && !owned.is_owner_ended {
                orphans.extend(owned.names.iter().cloned());
            }
            owned.is_owner_ended = is_owner_ended;
        }
        for name in orphans {
            self.queue_orphan(&name);
        }
        self.offers.next_owner_check = has_unknown.then_some(now + OWNER_CHECK_INTERVAL);
    }

    /// Queues a message that is new or has a new owner, if that owner has ended.
    pub(crate) fn check_owner(&mut self, name: &MessageName) {
        let Some(owner) = self.open_owner(name) else { return };
        let Some(owned) = self.messages.by_owner.get(&owner) else { return };
        match self.owners.owner_state(&owner, owned.first_seen, self.now.steady) {
            OwnerState::Alive => {}
            OwnerState::Ended if owned.is_owner_ended => self.queue_orphan(name),
            // The owner was not known to have ended, so its other messages have to be queued too.
            OwnerState::Ended => self.update_owner_states(),
            OwnerState::Unknown => {
                self.offers.next_owner_check.get_or_insert(self.now.steady + OWNER_CHECK_INTERVAL);
            }
        }
    }

    fn open_owner(&self, name: &MessageName) -> Option<Owner> {
        Some(self.messages.get(name)?.open_record()?.owner.clone())
    }

    /// Queues an open message without a live owner; the first live store of its group offers it at once.
    pub(crate) fn queue_orphan(&mut self, name: &MessageName) {
        let live = self.owners.live_stores();
        let Some(record) = self.messages.record_mut(name).filter(|record| !record.is_queued) else { return };
        record.is_queued = true;
        let delay = self.view.rank(record.partition, live) as Micros * RANK_DELAY;
        self.offers.queue.push(Reverse((self.now.steady + delay, name.clone())));
    }

    /// Sends the offers that are due.
    pub(crate) fn make_offers(&mut self) {
        let now = self.now.steady;
        if self.offers.next_owner_check.is_some_and(|at| at <= now) {
            self.update_owner_states();
        }
        if self.offers.not_before > now {
            return;
        }
        let mut batches: BTreeMap<NodeName, OfferBatch> = BTreeMap::new();
        let mut full = Vec::new();
        while full.len() + batches.len() < MAX_NOTICES_PER_STEP {
            let Some(name) = self.offers.take_due(now) else { break };
            let Some((relay, bytes)) = self.takeover_relay_of(&name) else { continue };
            self.offers.queue.push(Reverse((now + REPEAT_AFTER, name.clone())));
            let Some(relay) = relay else { continue };
            let batch = batches.entry(relay.clone()).or_default();
            batch.names.push(name);
            batch.bytes += bytes;
            if (batch.names.len() >= MAX_NOTICE_MESSAGES || batch.bytes >= MAX_NOTICE_BYTES)
                && let Some(batch) = batches.remove(&relay)
            {
                full.push((relay, batch));
            }
        }
        if full.len() + batches.len() >= MAX_NOTICES_PER_STEP {
            self.offers.not_before = now + OFFER_PAUSE;
        }
        for (relay, batch) in full.into_iter().chain(batches) {
            self.gather(batch.names, Purpose::Offer { relay });
        }
    }

    /// Returns the relay that a message is to be offered to, if there is one, and the size of the message's record.
    /// Returns `None` if the message is not to be offered; the message is then no longer queued.
    fn takeover_relay_of(&mut self, name: &MessageName) -> Option<(Option<NodeName>, u64)> {
        let is_orphan = self.is_orphan(name);
        let record = self.messages.record_mut(name)?;
        if !is_orphan {
            record.is_queued = false;
            return None;
        }
        let relay = self.owners.takeover_relay(name, &record.owner).map(|owner| owner.name.clone());
        Some((relay, record.bytes()))
    }

    fn is_orphan(&self, name: &MessageName) -> bool {
        let Some(record) = self.messages.get(name).and_then(Message::open_record) else { return false };
        record.is_released
            || self.messages.by_owner.get(&record.owner).is_some_and(|owned| owned.is_owner_ended)
    }

    /// Sends an offer after its records were gathered.
    pub(crate) fn offer(&mut self, relay: &NodeName, job: &GatherJob) {
        let mut messages = Vec::with_capacity(job.names.len());
        for (name, payload) in job.names.iter().zip(&job.payloads) {
            if !self.is_orphan(name) {
                continue;
            }
            let Some(held) = self.messages.get(name).and_then(Message::open_record) else { continue };
            let (age_ms, away_ms) = (self.age_ms(held), self.uncounted_downtime_ms(held));
            let Some(stored) = self.stored(name, payload.as_ref()) else { continue };
            let Some(record) = stored.record else { continue };
            messages.push(OrphanMessage {
                record,
                owner: held.owner.clone(),
                claim: stored.claim,
                failures: stored.failures,
                age_ms,
                away_ms,
            });
        }
        if !messages.is_empty() {
            let notice = StoreNotice::TakeOver { messages };
            self.out.push(Effect::Notify { to: relay.clone(), notice });
        }
    }
}
