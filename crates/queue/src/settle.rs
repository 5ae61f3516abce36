//! Sends ends and attempts of messages to the stores in batches.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::{End, Fact, MessageName};
use pewterseam_wire::store::StoreRequest;

use crate::calls::Purpose;
use crate::clock::Timer;
use crate::io::{Effect, MessageKey};
use crate::machine::Queue;
use crate::message::Stage;

/// Minimum interval between two flushes. The first fact is sent at once; later ones are collected, so that many
/// share a request.
const MIN_FLUSH_INTERVAL: Micros = 10_000;
/// Maximum number of facts in one request.
const MAX_FACTS_PER_REQUEST: usize = 256;
/// Delay after which an end that too few stores have acknowledged is sent to the rest of the group.
const SEND_END_TO_OTHERS_AFTER: Micros = 100_000;
/// Delay after which such an end is sent again.
const RESEND_END_AFTER: Micros = 1_200_000;
/// Maximum number of remembered names of ended messages. Successors accepted later need not ask the stores about
/// these.
const MAX_REMEMBERED_ENDS: usize = 2_048;

/// Names of the messages that ended most recently.
#[derive(Debug, Default)]
pub(crate) struct RecentlyEnded {
    names: BTreeSet<MessageName>,
    order: VecDeque<MessageName>,
}

impl RecentlyEnded {
    pub fn contains(&self, name: &MessageName) -> bool {
        self.names.contains(name)
    }

    fn remember(&mut self, name: MessageName) {
        if self.names.insert(name.clone()) {
            self.order.push_back(name);
        }
        if self.order.len() > MAX_REMEMBERED_ENDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.names.remove(&oldest);
        }
    }
}

/// Facts that wait to be sent.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    waiting: BTreeMap<StoreId, Vec<(Option<MessageKey>, Fact)>>,
    is_flush_scheduled: bool,
    /// Earliest time of the next flush.
    next_flush_at: Micros,
    pub ended: RecentlyEnded,
}

impl Outbox {
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl Queue {
    /// Ends the message: unblocks its successors and sends the end to the stores.
    pub(crate) fn end(&mut self, key: MessageKey, end: End) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.stage = Stage::Ending(end);
        message.stage_since = self.now;
        let blockers = std::mem::take(&mut message.blockers);
        let name = message.record.name.clone();
        // Without the refusal, an attempt that waits for confirmation would still be sent once the stores confirm.
        if let Some(unsent) = message.confirmation.take() {
            self.effects.push(Effect::RefuseSend { attempt: unsent.attempt });
        }
        for blocker in &blockers {
            self.forget_successor(blocker, key);
        }
        self.outbox.ended.remember(name.clone());
        self.send_end(key);
        self.unblock_successors(&name);
    }

    /// Sends the end to every live store that may hold the record, or to the whole group if these are fewer than a
    /// write quorum.
    pub(crate) fn send_end(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        let mut holders: BTreeSet<StoreId> = message.written.union(&message.asked).cloned().collect();
        holders.retain(|store| self.stores.is_live(store));
        if self.stores.placement.is_write_quorum(message.record.partition, &holders) {
            self.send_end_to(key, holders);
            self.schedule_end_retry(key, SEND_END_TO_OTHERS_AFTER);
        } else {
            self.send_end_to_others(key);
        }
    }

    fn send_end_to(&mut self, key: MessageKey, stores: BTreeSet<StoreId>) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        let Stage::Ending(end) = &message.stage else { return };
        let fact = Fact::Ended { name: message.record.name.clone(), end: end.clone() };
        message.end_sent_to.extend(stores.iter().cloned());
        for store in stores {
            self.queue_fact(&store, Some(key), fact.clone());
        }
    }

    /// Sends the end to the live stores of the group that it was not sent to yet.
    fn send_end_to_others(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        let mut others = self.stores.placement.stores(message.record.partition);
        others.retain(|store| self.stores.is_live(store) && !message.end_sent_to.contains(store));
        self.send_end_to(key, others);
        self.schedule_end_retry(key, RESEND_END_AFTER);
    }

    /// Sets the only retry timer for the end, unless it is set.
    ///
    /// With a timer for each store that failed, each retry round during a network partition would send three times
    /// as many requests as the previous one.
    fn schedule_end_retry(&mut self, key: MessageKey, delay: Micros) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        if message.retry_end_at > self.now {
            return;
        }
        message.retry_end_at = self.now + delay;
        self.clock.set(message.retry_end_at, Timer::RetrySettle(key));
    }

    /// Too few stores have acknowledged the end in time: sends it to the rest of the group, and later once more to
    /// all that have not acknowledged it.
    pub(crate) fn retry_end(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        if !matches!(message.stage, Stage::Ending(_)) || self.now < message.retry_end_at {
            return;
        }
        if self.now >= message.stage_since + RESEND_END_AFTER {
            message.end_sent_to.clone_from(&message.settled);
        }
        self.send_end_to_others(key);
    }

    /// A store did not acknowledge ends: sends these to the rest of the group.
    ///
    /// Without this, only one store might know an end when its sender dies, and a quorum read could miss it.
    pub(crate) fn settle_failed(&mut self, keys: &[MessageKey]) {
        for key in keys {
            self.send_end_to_others(*key);
        }
    }

    /// Sends a fact that needs no acknowledgement.
    pub(crate) fn broadcast_fact(&mut self, stores: &BTreeSet<StoreId>, fact: &Fact) {
        for store in stores {
            self.queue_fact(store, None, fact.clone());
        }
    }

    /// Queues a fact for a store. If no facts were sent lately, it goes out at once instead of waiting for a batch:
    /// a fact known only here is lost if the process dies, and a message whose end no store knows runs again.
    pub(crate) fn queue_fact(&mut self, store: &StoreId, key: Option<MessageKey>, fact: Fact) {
        self.outbox.waiting.entry(store.clone()).or_default().push((key, fact));
        if !self.outbox.is_flush_scheduled {
            self.outbox.is_flush_scheduled = true;
            self.clock.set(self.outbox.next_flush_at.max(self.now), Timer::Flush);
        }
    }

    pub(crate) fn flush(&mut self) {
        self.outbox.is_flush_scheduled = false;
        if !self.outbox.waiting.is_empty() {
            self.outbox.next_flush_at = self.now + MIN_FLUSH_INTERVAL;
        }
        for (store, mut waiting) in std::mem::take(&mut self.outbox.waiting) {
            while !waiting.is_empty() {
                let rest = waiting.split_off(waiting.len().min(MAX_FACTS_PER_REQUEST));
                let (keys, facts): (Vec<_>, Vec<_>) = waiting.into_iter().unzip();
                let keys = keys.into_iter().flatten().collect();
                self.ask(&store, Purpose::Settle(keys), StoreRequest::Settle { facts });
                waiting = rest;
            }
        }
    }

    pub(crate) fn settled(&mut self, keys: &[MessageKey], store: &StoreId) {
        for key in keys {
            let Some(message) = self.messages.get_mut(key) else { continue };
            message.settled.insert(store.clone());
            if self.stores.placement.is_write_quorum(message.record.partition, &message.settled) {
                self.remove(*key);
            }
        }
    }
}
