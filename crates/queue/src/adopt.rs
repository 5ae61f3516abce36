//! Taking over messages whose owner is gone, and making sure of the own ones after a standstill.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::{Fact, MessageName};
use pewterseam_wire::store::{OrphanMessage, Status, StoreNotice, StoreRequest};

use crate::calls::Purpose;
use crate::clock::Timer;
use crate::io::{Effect, MessageKey};
use crate::machine::Queue;
use crate::message::{Message, Stage};

/// When facts about an orphan are asked for again.
const ADOPT_AGAIN: Micros = 500_000;
/// Time added to `retentionS`, as for messages that were taken here.
const RETENTION_MARGIN: Micros = 5_000_000;
const MILLISECOND: Micros = 1_000;

impl Queue {
    /// A store tells something unasked.
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
            if let Some(key) = self.insert_orphan(orphan) {
                keys.push(key);
            }
        }
        self.ask_facts(&keys);
    }

    fn insert_orphan(&mut self, orphan: OrphanMessage) -> Option<MessageKey> {
        let (delay, age) = (orphan.record.delay_ms * MILLISECOND, orphan.age_ms * MILLISECOND);
        let left = orphan.record.retention_ms * MILLISECOND + RETENTION_MARGIN;
        let stage = Stage::Adopting { answered: BTreeSet::new(), claim: orphan.claim };
        let mut message = Message::new(orphan.record, stage, self.now);
        message.blockers = message.record.predecessors.iter().cloned().collect();
        message.failures = orphan.failures;
        message.due_at = self.now + delay.saturating_sub(age);
        message.expires_at = self.now + left.saturating_sub(age);
        self.insert(message)
    }

    /// Asks every store of the messages' partitions, one request a store.
    fn ask_facts(&mut self, keys: &[MessageKey]) {
        let mut by_store: BTreeMap<StoreId, (Vec<MessageKey>, Vec<MessageName>)> = BTreeMap::new();
        for key in keys {
            let Some(message) = self.messages.get(key) else { continue };
            for store in self.stores.placement.stores(message.record.partition) {
                let (keys, names) = by_store.entry(store).or_default();
                keys.push(*key);
                names.push(message.record.name.clone());
            }
            self.clock.set(self.now + ADOPT_AGAIN, Timer::RetryAdoption(*key));
        }
        for (store, (keys, names)) in by_store {
            self.ask(&store, Purpose::Adopt(keys), StoreRequest::Look { names });
        }
    }

    pub(crate) fn retry_adoption(&mut self, key: MessageKey) {
        let is_open =
            self.messages.get(&key).is_some_and(|message| matches!(message.stage, Stage::Adopting { .. }));
        if is_open {
            self.ask_facts(&[key]);
        }
    }

    pub(crate) fn orphans_checked(&mut self, keys: &[MessageKey], store: &StoreId, statuses: Vec<Status>) {
        let mut adopted = Vec::new();
        for (key, status) in keys.iter().zip(statuses) {
            if self.orphan_checked(*key, store, status) {
                adopted.push(*key);
            }
        }
        self.claim(&adopted);
        for key in adopted {
            self.begin_waiting(key);
        }
    }

    /// Takes one store's word on an orphan; whether all needed facts are known now.
    fn orphan_checked(&mut self, key: MessageKey, store: &StoreId, status: Status) -> bool {
        let Some(message) = self.messages.get_mut(&key) else { return false };
        let Stage::Adopting { answered, claim } = &mut message.stage else { return false };
        answered.insert(store.clone());
        match status {
            Status::Unknown => {}
            Status::Open { owner, claim: known, failures } => {
                message.written.insert(store.clone());
                message.failures = message.failures.max(failures);
                if known > *claim && owner != self.settings.owner {
                    self.remove(key); // Another relay was quicker.
                    return false;
                }
                *claim = known.max(*claim);
            }
            Status::Ended(end) => {
                let name = message.record.name.clone();
                self.spread_end(key, Fact::Ended { name, end });
                return false;
            }
        }
        self.stores.placement.is_read(message.record.partition, answered)
    }

    /// Some store knows the end: the others are told, and nothing is run.
    fn spread_end(&mut self, key: MessageKey, fact: Fact) {
        let Some(message) = self.messages.get(&key) else { return };
        let stores = self.stores.placement.stores(message.record.partition);
        let name = message.record.name.clone();
        self.post(&stores, &fact);
        self.remove(key);
        self.unblock_successors(&name);
    }

    fn claim(&mut self, keys: &[MessageKey]) {
        let mut by_store: BTreeMap<(StoreId, u32), Vec<MessageName>> = BTreeMap::new();
        for key in keys {
            let Some(message) = self.messages.get(key) else { continue };
            let Stage::Adopting { claim, .. } = message.stage else { continue };
            for store in self.stores.placement.stores(message.record.partition) {
                by_store.entry((store, claim + 1)).or_default().push(message.record.name.clone());
            }
        }
        for ((store, claim), names) in by_store {
            let request = StoreRequest::Claim { names, owner: self.settings.owner.clone(), claim };
            self.ask(&store, Purpose::Claim, request);
        }
    }

    /// The process stood still: other relays may have taken its messages over. What does not run is asked about
    /// before it is started.
    pub(crate) fn verify_ownership(&mut self) {
        let keys = self.keys(|stage| *stage == Stage::Waiting);
        for key in &keys {
            if let Some(message) = self.messages.get_mut(key) {
                message.stage = Stage::Adopting { answered: BTreeSet::new(), claim: 0 };
            }
        }
        self.ask_facts(&keys);
    }
}
