//! Ordering: a message waits for the messages of its ordering key that were open when it was accepted.

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

/// Stores push the end of a predecessor; they are also polled at these intervals, in case a push was lost.
const FIRST_CHECK_DELAY: Micros = 100_000;
const RECHECK_INTERVAL: Micros = 700_000;

impl Queue {
    /// Registers the predecessors that the message waits for, without those that this relay owned and has ended.
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
        self.clock.set(self.now + FIRST_CHECK_DELAY, Timer::CheckPredecessors(key));
    }

    /// Asks the partition's stores for the status of the predecessors that are not held here.
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
        self.clock.set(self.now + RECHECK_INTERVAL, Timer::CheckPredecessors(key));
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
        // A read quorum does not know the predecessor: it was never accepted before this message was.
        if self.stores.placement.is_read_quorum(message.record.partition, &message.checked) {
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

    /// A store reports the end of a predecessor.
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
