//! Ends and attempts are told to the stores in batches.

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

/// Facts are sent at once, and then no sooner than this after the last ones, so that many travel together.
const BATCH: Micros = 10_000;
/// Facts in one request.
const MOST_FACTS: usize = 256;
/// When an end that too few stores have acknowledged is told to all the others of the group.
const SETTLE_WIDER: Micros = 100_000;
/// When it is told again.
const SETTLE_AGAIN: Micros = 1_200_000;
/// Names of ended messages that are remembered, so that successors taken since need not ask.
const MOST_REMEMBERED: usize = 2_048;

/// Names of ended messages, the latest ones.
#[derive(Debug, Default)]
pub(crate) struct Ended {
    names: BTreeSet<MessageName>,
    order: VecDeque<MessageName>,
}

impl Ended {
    pub fn contains(&self, name: &MessageName) -> bool {
        self.names.contains(name)
    }

    fn remember(&mut self, name: MessageName) {
        if self.names.insert(name.clone()) {
            self.order.push_back(name);
        }
        if self.order.len() > MOST_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.names.remove(&oldest);
        }
    }
}

/// Facts on their way.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    waiting: BTreeMap<StoreId, Vec<(Option<MessageKey>, Fact)>>,
    is_flush_set: bool,
    /// No flush before then.
    next_flush_at: Micros,
    pub ended: Ended,
}

impl Outbox {
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl Queue {
    /// The message has ended: successors go on, the stores are told.
    pub(crate) fn end(&mut self, key: MessageKey, end: End) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.stage = Stage::Ending(end);
        message.since = self.now;
        let blockers = std::mem::take(&mut message.blockers);
        let name = message.record.name.clone();
        // Danger: an attempt that waits for the stores' word would be sent once they have given it.
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

    /// Tells the end to every store that may hold the record, or to the whole group where these are too few.
    pub(crate) fn send_end(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        let mut holders: BTreeSet<StoreId> = message.written.union(&message.asked).cloned().collect();
        holders.retain(|store| self.stores.is_live(store));
        if self.stores.placement.is_written(message.record.partition, &holders) {
            self.tell_end(key, holders);
            self.retry_end_later(key, SETTLE_WIDER);
        } else {
            self.tell_end_widely(key);
        }
    }

    fn tell_end(&mut self, key: MessageKey, stores: BTreeSet<StoreId>) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        let Stage::Ending(end) = &message.stage else { return };
        let fact = Fact::Ended { name: message.record.name.clone(), end: end.clone() };
        message.told_end.extend(stores.iter().cloned());
        for store in stores {
            self.post_to(&store, Some(key), fact.clone());
        }
    }

    /// Tells the end to those of the group that were not told yet.
    fn tell_end_widely(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        let mut others = self.stores.placement.stores(message.record.partition);
        others.retain(|store| self.stores.is_live(store) && !message.told_end.contains(store));
        self.tell_end(key, others);
        self.retry_end_later(key, SETTLE_AGAIN);
    }

    /// Sets the one timer for telling an end again, unless it is set.
    ///
    /// Danger: with a timer for each store that failed, each round of a cut brings three times as many as the last.
    fn retry_end_later(&mut self, key: MessageKey, pause: Micros) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        if message.retry_end_at > self.now {
            return;
        }
        message.retry_end_at = self.now + pause;
        self.clock.set(message.retry_end_at, Timer::RetrySettle(key));
    }

    /// Too few stores have acknowledged an end in time: the rest of the group is told, and later all once more.
    pub(crate) fn retry_end(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        if !matches!(message.stage, Stage::Ending(_)) || self.now < message.retry_end_at {
            return;
        }
        if self.now >= message.since + SETTLE_AGAIN {
            message.told_end.clone_from(&message.settled);
        }
        self.tell_end_widely(key);
    }

    /// A store did not take ends that it was told.
    ///
    /// Danger: where one store alone knows an end and its sender dies, a reader of a quorum can miss it.
    pub(crate) fn settle_failed(&mut self, keys: &[MessageKey]) {
        for key in keys {
            self.tell_end_widely(*key);
        }
    }

    /// Tells a fact that needs no acknowledgement.
    pub(crate) fn post(&mut self, stores: &BTreeSet<StoreId>, fact: &Fact) {
        for store in stores {
            self.post_to(store, None, fact.clone());
        }
    }

    /// Danger: what is known here alone is lost with the process. The message of an end that nobody was told of runs again, so
    /// that a fact must not wait for others where none have gone lately.
    pub(crate) fn post_to(&mut self, store: &StoreId, key: Option<MessageKey>, fact: Fact) {
        self.outbox.waiting.entry(store.clone()).or_default().push((key, fact));
        if !self.outbox.is_flush_set {
            self.outbox.is_flush_set = true;
            self.clock.set(self.outbox.next_flush_at.max(self.now), Timer::Flush);
        }
    }

    pub(crate) fn flush(&mut self) {
        self.outbox.is_flush_set = false;
        if !self.outbox.waiting.is_empty() {
            self.outbox.next_flush_at = self.now + BATCH;
        }
        for (store, mut waiting) in std::mem::take(&mut self.outbox.waiting) {
            while !waiting.is_empty() {
                let rest = waiting.split_off(waiting.len().min(MOST_FACTS));
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
            if self.stores.placement.is_written(message.record.partition, &message.settled) {
                self.remove(*key);
            }
        }
    }
}
