//! Adopts messages whose owner is gone, and re-checks the ownership of messages held here after the process was
//! paused.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::{End, Fact, MessageName};
use pewterseam_wire::store::{OrphanMessage, RETENTION_MARGIN, Status, StoreNotice, StoreRequest};

use crate::calls::Purpose;
use crate::clock::Timer;
use crate::io::{Effect, MessageKey};
use crate::machine::Queue;
use crate::message::{Message, Stage};

/// Delay before the facts about an orphaned message are requested again.
const ADOPTION_RETRY_DELAY: Micros = 500_000;
const MILLISECOND: Micros = 1_000;

/// What a store's response means for the adoption of an orphaned message.
enum AdoptionCheck {
    /// More answers are needed.
    Undecided,
    /// No live relay owns the message: it may be claimed.
    Claimable,
    /// Another live relay owns the message.
    OwnedElsewhere,
}

impl Queue {
    /// Handles a notice that a store sends without a request.
    pub fn notice(&mut self, now: Micros, notice: StoreNotice) -> Vec<Effect> {
        self.now = now;
        match notice {
            StoreNotice::PredecessorEnded { name } => self.unblock_successors(&name),
            StoreNotice::TakeOver { messages } => self.take_over(messages),
        }
        self.take_effects()
    }

    fn take_over(&mut self, orphans: Vec<OrphanMessage>) {
        if self.is_stopping {
            return;
        }
        let mut keys = Vec::new();
        for orphan in orphans {
            match self.by_name.get(&orphan.record.name) {
                Some(key) => self.assert_ownership(*key, orphan.claim),
                None if self.is_expired(&orphan) => self.report_expired(orphan),
                None => keys.extend(self.insert_orphan(orphan)),
            }
        }
        self.ask_facts(&keys);
    }

    /// A store offers a message that this relay owns: the store has missed the claim or the end, so it is sent a
    /// higher claim, or the end again.
    fn assert_ownership(&mut self, key: MessageKey, claim: u32) {
        let Some(message) = self.messages.get(&key) else { return };
        match message.stage {
            Stage::Waiting | Stage::Running => self.send_claims(key, claim + 1),
            Stage::Ending(_) => self.send_end(key),
            _ => {}
        }
    }

    /// Total lifetime of a message of another relay. It includes the maximum clock error, because the time that its
    /// stores were down is measured by the wall clock and may be wrong.
    fn lifetime_of_orphan(&self, orphan: &OrphanMessage) -> Micros {
        orphan.record.retention_ms * MILLISECOND + RETENTION_MARGIN + self.settings.max_clock_error
    }

    fn is_expired(&self, orphan: &OrphanMessage) -> bool {
        (orphan.age_ms + orphan.away_ms) * MILLISECOND >= self.lifetime_of_orphan(orphan)
    }

    /// The retention of an offered message has passed: it is reported as expired and not run, whatever the store
    /// knows of it.
    ///
    /// Running it could run it twice: the store may have missed its end, and the stores that knew the end may have
    /// deleted it by now.
    fn report_expired(&mut self, orphan: OrphanMessage) {
        let stores = self.stores.placement.stores(orphan.record.partition);
        let name = orphan.record.name;
        self.broadcast_fact(&stores, &Fact::Ended { name: name.clone(), end: End::Expired });
        self.unblock_successors(&name);
    }

    fn insert_orphan(&mut self, orphan: OrphanMessage) -> Option<MessageKey> {
        let (delay, age) = (orphan.record.delay_ms * MILLISECOND, orphan.age_ms * MILLISECOND);
        let left = self.lifetime_of_orphan(&orphan);
        let stage = Stage::Adopting { answered: BTreeSet::new(), from: orphan.owner, claim: orphan.claim };
        let mut message = Message::new(orphan.record, stage, self.now);
        message.is_adopted = true;
        message.blockers = message.record.predecessors.iter().cloned().collect();
        message.failures = orphan.failures;
        // An overdue message keeps its original due time and so its place among the waiting messages.
        message.due_at = (self.now + delay).saturating_sub(age);
        message.expires_at = self.now + left.saturating_sub(age + orphan.away_ms * MILLISECOND);
        self.insert(message)
    }

    /// Requests facts from every store of the messages' partitions, with one request per store.
    fn ask_facts(&mut self, keys: &[MessageKey]) {
        let mut by_store: BTreeMap<StoreId, (Vec<MessageKey>, Vec<MessageName>)> = BTreeMap::new();
        for key in keys {
            let Some(message) = self.messages.get(key) else { continue };
            for store in self.stores.placement.stores(message.record.partition) {
                let (keys, names) = by_store.entry(store).or_default();
                keys.push(*key);
                names.push(message.record.name.clone());
            }
            self.clock.set(self.now + ADOPTION_RETRY_DELAY, Timer::RetryAdoption(*key));
        }
        for (store, (keys, names)) in by_store {
            self.ask(&store, Purpose::Adopt(keys), StoreRequest::Look { names });
        }
    }

    /// Facts or claims are still missing: starts again with the request for facts.
    pub(crate) fn retry_adoption(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        if message.stage_since + ADOPTION_RETRY_DELAY > self.now {
            return;
        }
        match &mut message.stage {
            Stage::Adopting { answered, .. } => answered.clear(),
            Stage::Claiming { claim, .. } => {
                let (from, claim) = (self.settings.owner.clone(), *claim);
                message.stage = Stage::Adopting { answered: BTreeSet::new(), from, claim };
            }
            _ => return,
        }
        self.ask_facts(&[key]);
    }

    pub(crate) fn orphans_checked(&mut self, keys: &[MessageKey], store: &StoreId, statuses: Vec<Status>) {
        for (key, status) in keys.iter().zip(statuses) {
            match self.orphan_checked(*key, store, status) {
                AdoptionCheck::Undecided => {}
                AdoptionCheck::OwnedElsewhere => self.release(&[*key]),
                AdoptionCheck::Claimable => self.claim(*key),
            }
        }
    }

    /// Evaluates one store's status of an orphaned message.
    fn orphan_checked(&mut self, key: MessageKey, store: &StoreId, status: Status) -> AdoptionCheck {
        let Some(message) = self.messages.get_mut(&key) else { return AdoptionCheck::Undecided };
        let Stage::Adopting { answered, from, claim } = &mut message.stage else {
            return AdoptionCheck::Undecided;
        };
        answered.insert(store.clone());
        match status {
            Status::Unknown => {}
            Status::Open { owner, claim: known, failures, released } => {
                message.written.insert(store.clone());
                message.failures = message.failures.max(failures);
                let is_other = owner != *from && owner != self.settings.owner;
                if is_other && !released && self.live_relays.contains(&owner) {
                    return AdoptionCheck::OwnedElsewhere;
                }
                *claim = known.max(*claim);
            }
            Status::Ended(end) => {
                let name = message.record.name.clone();
                self.spread_end(key, Fact::Ended { name, end });
                return AdoptionCheck::Undecided;
            }
        }
        let is_read = self.stores.placement.is_read_quorum(message.record.partition, answered);
        if is_read { AdoptionCheck::Claimable } else { AdoptionCheck::Undecided }
    }

    /// A store knows the end of the message: the end is sent to the other stores, and the message is not run.
    pub(crate) fn spread_end(&mut self, key: MessageKey, fact: Fact) {
        let Some(message) = self.messages.get(&key) else { return };
        let stores = self.stores.placement.stores(message.record.partition);
        let name = message.record.name.clone();
        self.broadcast_fact(&stores, &fact);
        self.remove(key);
        self.unblock_successors(&name);
    }

    /// Requests ownership. This relay owns the message once a write quorum has granted the claim, so no two relays
    /// can hold the same claim.
    fn claim(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        let Stage::Adopting { claim, .. } = message.stage else { return };
        let claim = claim + 1;
        message.stage = Stage::Claiming { granted: BTreeSet::new(), claim };
        message.stage_since = self.now;
        self.clock.set(self.now + ADOPTION_RETRY_DELAY, Timer::RetryAdoption(key));
        self.send_claims(key, claim);
    }

    /// Sends a claim to the stores that hold the record. If these are fewer than a write quorum, the record is first
    /// sent to further stores.
    fn send_claims(&mut self, key: MessageKey, claim: u32) {
        let Some(message) = self.messages.get(&key) else { return };
        let (name, partition) = (message.record.name.clone(), message.record.partition);
        let is_live = |store: &StoreId| self.stores.is_live(store);
        let mut targets: BTreeSet<StoreId> =
            message.written.iter().filter(|id| is_live(id)).cloned().collect();
        let ranked = self.stores.ranked(partition, self.now);
        let mut further = Vec::new();
        for store in ranked.into_iter().filter(is_live) {
            if !self.stores.placement.is_write_quorum(partition, &targets) && targets.insert(store.clone()) {
                further.push(store);
            }
        }
        for store in further {
            self.append(key, &store);
        }
        for store in targets {
            let owner = self.settings.owner.clone();
            let request = StoreRequest::Claim { names: vec![name.clone()], owner, claim };
            self.ask(&store, Purpose::Claim(key, name.clone()), request);
        }
    }

    pub(crate) fn claim_granted(&mut self, key: MessageKey, name: MessageName, store: StoreId) {
        let Some(message) = self.messages.get_mut(&key) else {
            // The message was released meanwhile, or has ended; in the latter case the store learns of the end when
            // it offers the message.
            return self.send_release(&store, vec![name]);
        };
        message.written.insert(store.clone());
        let Stage::Claiming { granted, claim } = &mut message.stage else { return };
        granted.insert(store);
        if self.stores.placement.is_write_quorum(message.record.partition, granted) {
            message.claim = *claim;
            self.begin_waiting(key);
        }
    }

    /// Another relay has an equal or higher claim: releases the message at the stores that granted the claim.
    pub(crate) fn claim_refused(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        let Stage::Claiming { granted, .. } = &message.stage else { return };
        let (granted, names) = (granted.clone(), vec![message.record.name.clone()]);
        self.remove(key);
        for store in granted {
            self.send_release(&store, names.clone());
        }
    }

    /// The process was paused, so other relays may have adopted its messages. Requests facts about all waiting
    /// messages before any of them is started.
    pub(crate) fn verify_ownership(&mut self) {
        let keys = self.keys(|stage| *stage == Stage::Waiting);
        for key in &keys {
            self.doubt_ownership(*key, 0);
        }
        self.ask_facts(&keys);
    }

    /// Another relay may own the message: requests facts about it before it is run.
    pub(crate) fn verify(&mut self, key: MessageKey, claim: u32) {
        self.doubt_ownership(key, claim);
        self.ask_facts(&[key]);
    }

    fn doubt_ownership(&mut self, key: MessageKey, claim: u32) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        let (answered, from) = (BTreeSet::new(), self.settings.owner.clone());
        message.stage = Stage::Adopting { answered, from, claim };
        message.stage_since = self.now;
    }
}
