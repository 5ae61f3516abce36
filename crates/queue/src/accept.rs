//! Taking a message: which messages of its key are open, the record on a write quorum, the client's answer.

use std::collections::BTreeSet;

use pewterseam_wire::placement::{Group, Partition, StoreId};
use pewterseam_wire::record::{MessageName, Record};
use pewterseam_wire::store::{RETENTION_MARGIN, StoreRequest};
use pewterseam_wire::{Micros, WallMicros};

use crate::calls::Purpose;
use crate::clock::Timer;
use crate::io::{Answer, ClientToken, Effect, MessageKey, NewMessage};
use crate::machine::Queue;
use crate::message::{Message, Stage};

/// Part of the client's patience after which it is answered, whatever is known.
const PATIENCE_PART: f64 = 0.9;
/// Part of the client's patience after which it is refused if the stores have not told of open messages of the key: nothing
/// is written then, and the client has the rest for another relay.
const LISTING_PART: f64 = 0.45;
/// When a client is told to come back while the stores cannot be reached.
const RETRY_AFTER_STORES_MS: u64 = 1_000;
/// When a client is told to come back where another relay may reach the stores.
const RETRY_AFTER_LISTING_MS: u64 = 0;
/// When a client is told to come back while too much is held.
const RETRY_AFTER_FULL_MS: u64 = 500;
/// Open messages of one key that a new one may have as predecessors.
const MOST_PREDECESSORS: usize = 400;

const MILLISECOND: Micros = 1_000;

impl Queue {
    /// A client hands in a message.
    pub fn accept(&mut self, now: Micros, wall: WallMicros, new: NewMessage) -> Vec<Effect> {
        self.now = now;
        let policy = self.routes.routes.get(&new.route_key);
        let retention_ms = policy.map_or(0, |policy| policy.retention_ms);
        if policy.is_none() || !self.has_room(new.body.len()) {
            self.answer(new.token, Answer::Declined { retry_after_ms: RETRY_AFTER_FULL_MS });
        } else if let Some(partition) = self.writable_partition(&new) {
            self.take(new, partition, retention_ms, wall);
        } else {
            self.answer(new.token, Answer::Declined { retry_after_ms: RETRY_AFTER_STORES_MS });
        }
        self.take_effects()
    }

    /// Whether the stores that a new message would go to can be written to, as far as is known.
    pub fn can_accept(&self, new: &NewMessage) -> bool {
        self.writable_partition(new).is_some()
    }

    /// The partition of a new message, if its stores can be written to. One with an ordering key has that of its key; for
    /// another one it is chosen so that its stores can be written to, and are near.
    fn writable_partition(&self, new: &NewMessage) -> Option<Partition> {
        let can_write = |partition: &Partition| self.stores.can_write(*partition);
        match &new.ordering_key {
            Some(ordering_key) => Some(Partition::of(ordering_key)).filter(can_write),
            None => self.stores.candidates(&new.request_id).find(can_write),
        }
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.messages.len() < self.settings.most_messages
            && self.body_bytes + bytes <= self.settings.most_body_bytes
    }

    fn take(&mut self, new: NewMessage, partition: Partition, retention_ms: u64, wall: WallMicros) {
        let part = |part: f64| (new.patience_ms as f64 * part) as Micros * MILLISECOND;
        let (patience, listing) = (part(PATIENCE_PART), part(LISTING_PART));
        let (token, delay, is_ordered) = (new.token, new.delay_ms * MILLISECOND, new.ordering_key.is_some());
        let record = Record {
            name: MessageName::new(&new.request_id, partition),
            partition,
            ordering_key: new.ordering_key,
            predecessors: Vec::new(),
            owner: self.settings.owner.clone(),
            accepted_at: wall,
            delay_ms: new.delay_ms,
            retention_ms,
            config_version: self.routes.version,
            route: new.route,
            host: new.host,
            method: new.method,
            target: new.target,
            headers: new.headers,
            body: new.body,
            route_key: Some(new.route_key),
        };
        let stage = if is_ordered {
            Stage::Listing { answered: BTreeSet::new(), found: BTreeSet::new() }
        } else {
            Stage::Writing
        };
        let mut message = Message::new(record, stage, self.now);
        message.client = Some(token);
        message.due_at = self.now + delay;
        message.expires_at = self.now + retention_ms * MILLISECOND + RETENTION_MARGIN;
        let Some(key) = self.insert(message) else {
            self.answer(token, Answer::Declined { retry_after_ms: RETRY_AFTER_FULL_MS });
            return;
        };
        self.clock.set(self.now + patience, Timer::Patience(key));
        if is_ordered {
            self.clock.set(self.now + listing, Timer::Listing(key));
            self.list_open(key);
        } else {
            self.write(key);
        }
    }

    pub(crate) fn answer(&mut self, token: ClientToken, answer: Answer) {
        self.effects.push(Effect::Answer { token, answer });
    }

    fn answer_client(&mut self, key: MessageKey, answer: Answer) {
        let client = self.messages.get_mut(&key).and_then(|message| message.client.take());
        if let Some(token) = client {
            self.answer(token, answer);
        }
    }

    /// Nothing was written anywhere: the message is forgotten and the client may come back.
    fn decline(&mut self, key: MessageKey, retry_after_ms: u64) {
        self.answer_client(key, Answer::Declined { retry_after_ms });
        self.remove(key);
    }

    /// The stores were asked for open messages of the key for long enough. Another relay may reach them, so that the client
    /// may come at once.
    pub(crate) fn listing_over(&mut self, key: MessageKey) {
        let is_listing = |message: &Message| matches!(message.stage, Stage::Listing { .. });
        if self.messages.get(&key).is_some_and(is_listing) {
            self.decline(key, RETRY_AFTER_LISTING_MS);
        }
    }

    /// The client's patience is over.
    pub(crate) fn patience_over(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        if message.client.is_none() {
            return;
        }
        match message.stage {
            Stage::Listing { .. } => self.decline(key, RETRY_AFTER_STORES_MS),
            _ if !message.may_have_copy() => self.decline(key, RETRY_AFTER_STORES_MS),
            // It may run: no promise can be made.
            _ => self.answer_client(key, Answer::Unknown),
        }
    }

    // Which messages of the key are open.

    pub(crate) fn list_open(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        let stores = self.stores.first_choice(message.record.partition, self.now, Group::read_quorum);
        for store in stores {
            self.ask_open(key, &store);
        }
        self.set_hedge(key);
    }

    fn ask_open(&mut self, key: MessageKey, store: &StoreId) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        let Some(ordering_key) = message.record.ordering_key.clone() else { return };
        let partition = message.record.partition;
        message.asked.insert(store.clone());
        let request = StoreRequest::ListOpen { epoch: self.stores.placement.epoch, partition, ordering_key };
        self.ask(store, Purpose::List(key), request);
    }

    pub(crate) fn listed(&mut self, key: MessageKey, store: StoreId, names: Vec<MessageName>) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        let Stage::Listing { answered, found } = &mut message.stage else { return };
        answered.insert(store);
        found.extend(names);
        if !self.stores.placement.is_read(message.record.partition, answered) {
            return;
        }
        let mut found = std::mem::take(found);
        found.remove(&message.record.name);
        if found.len() > MOST_PREDECESSORS {
            self.decline(key, RETRY_AFTER_STORES_MS);
            return;
        }
        message.record.predecessors = found.iter().cloned().collect();
        message.blockers = found;
        message.asked.clear();
        message.stage = Stage::Writing;
        self.write(key);
    }

    pub(crate) fn listing_failed(&mut self, key: MessageKey) {
        if self.messages.get(&key).is_some_and(|message| matches!(message.stage, Stage::Listing { .. })) {
            self.ask_further(key);
        }
    }

    // The record on a write quorum.

    pub(crate) fn write(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        for store in self.stores.first_choice(message.record.partition, self.now, Group::write_quorum) {
            self.append(key, &store);
        }
        self.set_hedge(key);
    }

    pub(crate) fn append(&mut self, key: MessageKey, store: &StoreId) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.asked.insert(store.clone());
        message.declined.remove(store);
        message.unanswered.remove(store);
        let (epoch, record) = (self.stores.placement.epoch, message.record.clone());
        let renews_lease = !message.is_adopted;
        let purpose = if renews_lease { Purpose::Append(key) } else { Purpose::AppendCopy(key) };
        self.ask(store, purpose, StoreRequest::Append { epoch, record, renews_lease });
    }

    pub(crate) fn appended(&mut self, key: MessageKey, store: StoreId) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.written.insert(store);
        let is_written = self.stores.placement.is_written(message.record.partition, &message.written);
        if message.stage == Stage::Writing && is_written {
            let name = message.record.name.clone();
            let has_moved_on = message.has_moved_on;
            self.answer_client(key, Answer::Accepted { name });
            if has_moved_on { self.verify(key, 0) } else { self.begin_waiting(key) }
        }
    }

    pub(crate) fn append_declined(&mut self, key: MessageKey, store: StoreId) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.declined.insert(store);
        self.append_failed(key);
    }

    /// Whether the store took the record is not known: it is asked again once it answers.
    pub(crate) fn append_unanswered(&mut self, key: MessageKey, store: StoreId) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.unanswered.insert(store);
        self.append_failed(key);
    }

    pub(crate) fn append_failed(&mut self, key: MessageKey) {
        if self.messages.get(&key).is_some_and(|message| message.stage == Stage::Writing) {
            self.ask_further(key);
        }
    }

    // A further store.

    fn set_hedge(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        let after = self.stores.hedge_after(&message.asked);
        self.clock.set(self.now + after, Timer::Hedge(key));
    }

    pub(crate) fn hedge(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        if matches!(message.stage, Stage::Listing { .. } | Stage::Writing) {
            self.ask_further(key);
            self.set_hedge(key);
        }
    }

    /// Asks the best store that was not asked yet; when all were asked, the best that declined, or whose answer was lost
    /// some time ago, is asked again by the next hedge.
    ///
    /// Danger: a record that too few stores have, and that nobody writes again, holds up all later ones of its key.
    fn ask_further(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        let ranked = self.stores.ranked(message.record.partition, self.now);
        let fresh = ranked.iter().find(|store| !message.asked.contains(store)).cloned();
        let again = || {
            let is_lost = |store: &StoreId| {
                message.unanswered.contains(store) && !self.stores.is_avoided(store, self.now)
            };
            let missing = |store: &&StoreId| {
                self.stores.is_live(store) && (message.declined.contains(*store) || is_lost(store))
            };
            ranked.iter().find(missing).cloned()
        };
        let is_listing = matches!(message.stage, Stage::Listing { .. });
        let Some(store) = fresh.or_else(again) else { return };
        if is_listing { self.ask_open(key, &store) } else { self.append(key, &store) }
    }

    /// The stores changed: what is on its way is asked anew where a quorum is missing.
    pub(crate) fn ask_again(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        match &mut message.stage {
            Stage::Listing { answered, found } => {
                answered.clear();
                found.clear();
                message.asked.clear();
                self.list_open(key);
            }
            Stage::Writing => {
                let written = message.written.clone();
                let wanted =
                    self.stores.first_choice(message.record.partition, self.now, Group::write_quorum);
                for store in wanted.iter().filter(|store| !written.contains(store)) {
                    self.append(key, store);
                }
            }
            _ => {}
        }
    }
}
