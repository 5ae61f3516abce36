//! Messages of one ordering key wait for those that were open when they were taken.

use std::collections::BTreeSet;

use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::{Status, StoreRequest};

use crate::calls::Purpose;
use crate::clock::Timer;
use crate::io::{Effect, MessageKey};
use crate::machine::Queue;
use crate::message::Stage;

/// Stores push the end of a predecessor; this often they are asked as well.
const FIRST_CHECK: Micros = 100_000;
const CHECK_AGAIN: Micros = 700_000;

impl Queue {
    /// Notes for whom the message waits. Predecessors that this relay owned and ended are gone already.
    pub(crate) fn register_blockers(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        let ended = &self.outbox.ended;
        message.blockers.retain(|name| !ended.contains(name));
        if message.blockers.is_empty() {
            return;
        }
        for blocker in &message.blockers {
            self.successors.entry(blocker.clone()).or_default().insert(key);
        }
        self.clock.set(self.now + FIRST_CHECK, Timer::CheckPredecessors(key));
    }

    /// Asks the partition's stores about predecessors that are not held here.
    pub(crate) fn check_predecessors(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        if message.stage != Stage::Waiting || message.blockers.is_empty() {
            return;
        }
        let by_name = &self.by_name;
        let names: Vec<MessageName> =
            message.blockers.iter().filter(|name| !by_name.contains_key(*name)).cloned().collect();
        message.checked.clear();
        message.seen_open.clear();
        let partition = message.record.partition;
        self.clock.set(self.now + CHECK_AGAIN, Timer::CheckPredecessors(key));
        if names.is_empty() {
            return;
        }
        for store in self.stores.placement.stores(partition) {
            let request = StoreRequest::Look { names: names.clone() };
            self.ask(&store, Purpose::Check(key, names.clone()), request);
        }
    }

    pub(crate) fn predecessors_checked(
        &mut self, key: MessageKey, store: StoreId, names: Vec<MessageName>, statuses: Vec<Status>,
    ) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.checked.insert(store);
        let mut ended = Vec::new();
        for (name, status) in names.iter().zip(statuses) {
            match status {
                Status::Ended(_) => ended.push(name.clone()),
                Status::Open { .. } => {
                    message.seen_open.insert(name.clone());
                }
                Status::Unknown => {}
            }
        }
        // A read quorum knows nothing of it: it was never accepted before this one was taken.
        if self.stores.placement.is_read(message.record.partition, &message.checked) {
            let seen_open = &message.seen_open;
            let blockers: &BTreeSet<MessageName> = &message.blockers;
            let never = names.iter().filter(|name| blockers.contains(*name) && !seen_open.contains(*name));
            ended.extend(never.cloned());
        }
        for name in ended {
            self.unblock(key, &name);
        }
        self.start_if_due(key);
    }

    fn unblock(&mut self, key: MessageKey, blocker: &MessageName) {
        if let Some(message) = self.messages.get_mut(&key) {
            message.blockers.remove(blocker);
        }
        self.forget_successor(blocker, key);
    }

    /// A store says that a predecessor has ended.
    pub fn predecessor_ended(&mut self, now: Micros, name: &MessageName) -> Vec<Effect> {
        self.now = now;
        self.unblock_successors(name);
        self.take_effects()
    }

    pub(crate) fn unblock_successors(&mut self, name: &MessageName) {
        for key in self.successors.get(name).cloned().unwrap_or_default() {
            self.unblock(key, name);
            self.start_if_due(key);
        }
    }
}
