//! Accepts a message from a client: lists the open messages of its ordering key, writes the record to a write quorum
//! and answers the client.

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

/// Fraction of the client timeout after which the client gets an answer, whatever the result so far.
const ANSWER_DEADLINE_FRACTION: f64 = 0.9;
/// Fraction of the client timeout after which the message is declined if the stores have not listed the open
/// messages of its ordering key. Nothing is written by then, and the client has the remaining time to try another
/// relay.
const LISTING_DEADLINE_FRACTION: f64 = 0.45;
/// `Retry-After` for a client while the stores cannot be reached.
const RETRY_AFTER_NO_QUORUM_MS: u64 = 1_000;
/// `Retry-After` for a client when another relay may reach the stores.
const RETRY_AFTER_LISTING_MS: u64 = 0;
/// `Retry-After` for a client while this relay holds as many messages or bytes as it may.
const RETRY_AFTER_FULL_MS: u64 = 500;
/// Maximum number of open messages of one ordering key that a new message may have as predecessors.
const MAX_PREDECESSORS: usize = 400;

const MILLISECOND: Micros = 1_000;

impl Queue {
    /// Accepts or declines a message that a client submits.
    pub fn accept(&mut self, now: Micros, wall: WallMicros, new: NewMessage) -> Vec<Effect> {
        self.now = now;
        let policy = self.routes.routes.get(&new.route_key);
        let retention_ms = policy.map_or(0, |policy| policy.retention_ms);
        if policy.is_none() || !self.has_room(new.body.len()) {
            self.answer(new.token, Answer::Declined { retry_after_ms: RETRY_AFTER_FULL_MS });
        } else if let Some(partition) = self.writable_partition(&new) {
            self.begin_accept(new, partition, retention_ms, wall);
        } else {
            self.answer(new.token, Answer::Declined { retry_after_ms: RETRY_AFTER_NO_QUORUM_MS });
        }
        self.take_effects()
    }

    /// Whether the stores of a new message are writable, as far as this relay knows.
    pub fn can_accept(&self, new: &NewMessage) -> bool {
        self.writable_partition(new).is_some()
    }

    /// The partition of a new message, or `None` if its stores are not writable. A message with an ordering key
    /// belongs to the partition of that key; any other message goes to the first candidate partition (near stores
    /// first) that is writable.
    fn writable_partition(&self, new: &NewMessage) -> Option<Partition> {
        let can_write = |partition: &Partition| self.stores.can_write(*partition);
        match &new.ordering_key {
            Some(ordering_key) => Some(Partition::of(ordering_key)).filter(can_write),
            None => self.stores.candidates(&new.request_id).find(can_write),
        }
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.messages.len() < self.settings.max_messages
            && self.body_bytes + bytes <= self.settings.max_body_bytes
    }

    fn begin_accept(&mut self, new: NewMessage, partition: Partition, retention_ms: u64, wall: WallMicros) {
        let share_of_timeout =
            |fraction: f64| (new.client_timeout_ms as f64 * fraction) as Micros * MILLISECOND;
        let (answer_after, listing_after) =
            (share_of_timeout(ANSWER_DEADLINE_FRACTION), share_of_timeout(LISTING_DEADLINE_FRACTION));
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
        self.clock.set(self.now + answer_after, Timer::ClientDeadline(key));
        if is_ordered {
            self.clock.set(self.now + listing_after, Timer::ListingDeadline(key));
            self.list_open_messages(key);
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

    /// No store was sent the record: drops the message and tells the client that it may retry.
    fn decline(&mut self, key: MessageKey, retry_after_ms: u64) {
        self.answer_client(key, Answer::Declined { retry_after_ms });
        self.remove(key);
    }

    /// The stores did not list the open messages of the ordering key in time. Declines the message; the client may
    /// retry at once, because another relay may reach the stores.
    pub(crate) fn listing_deadline_passed(&mut self, key: MessageKey) {
        let is_listing = |message: &Message| matches!(message.stage, Stage::Listing { .. });
        if self.messages.get(&key).is_some_and(is_listing) {
            self.decline(key, RETRY_AFTER_LISTING_MS);
        }
    }

    /// Answers a client that is still waiting shortly before its timeout.
    pub(crate) fn client_deadline_passed(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        if message.client.is_none() {
            return;
        }
        match message.stage {
            Stage::Listing { .. } => self.decline(key, RETRY_AFTER_NO_QUORUM_MS),
            _ if !message.may_have_copy() => self.decline(key, RETRY_AFTER_NO_QUORUM_MS),
            // A store may hold the record, so the message may still run.
            _ => self.answer_client(key, Answer::Unknown),
        }
    }

    // Listing the open messages of the ordering key.

    pub(crate) fn list_open_messages(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        let stores = self.stores.first_choice(message.record.partition, self.now, Group::read_quorum);
        for store in stores {
            self.request_listing(key, &store);
        }
        self.set_hedge(key);
    }

    fn request_listing(&mut self, key: MessageKey, store: &StoreId) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        let Some(ordering_key) = message.record.ordering_key.clone() else { return };
        let partition = message.record.partition;
        message.asked.insert(store.clone());
        let request = StoreRequest::ListOpen { epoch: self.stores.placement.epoch, partition, ordering_key };
        self.ask(store, Purpose::List(key), request);
    }

    pub(crate) fn listing_answered(&mut self, key: MessageKey, store: StoreId, names: Vec<MessageName>) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        let Stage::Listing { answered, found } = &mut message.stage else { return };
        answered.insert(store);
        found.extend(names);
        if !self.stores.placement.is_read_quorum(message.record.partition, answered) {
            return;
        }
        let mut found = std::mem::take(found);
        found.remove(&message.record.name);
        if found.len() > MAX_PREDECESSORS {
            self.decline(key, RETRY_AFTER_NO_QUORUM_MS);
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
            self.ask_next_store(key);
        }
    }

    // Writing the record to a write quorum.

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
        let is_written = self.stores.placement.is_write_quorum(message.record.partition, &message.written);
        if message.stage == Stage::Writing && is_written {
            let name = message.record.name.clone();
            let may_be_owned_elsewhere = message.may_be_owned_elsewhere;
            self.answer_client(key, Answer::Accepted { name });
            if may_be_owned_elsewhere { self.verify(key, 0) } else { self.begin_waiting(key) }
        }
    }

    pub(crate) fn append_declined(&mut self, key: MessageKey, store: StoreId) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.declined.insert(store);
        self.append_failed(key);
    }

    /// It is unknown whether the store has the record. The store is sent the record again once it responds.
    pub(crate) fn append_unanswered(&mut self, key: MessageKey, store: StoreId) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.unanswered.insert(store);
        self.append_failed(key);
    }

    pub(crate) fn append_failed(&mut self, key: MessageKey) {
        if self.messages.get(&key).is_some_and(|message| message.stage == Stage::Writing) {
            self.ask_next_store(key);
        }
    }

    // Hedging: asking another store when the first ones are slow or fail.

    fn set_hedge(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        let after = self.stores.hedge_after(&message.asked);
        self.clock.set(self.now + after, Timer::Hedge(key));
    }

    pub(crate) fn hedge(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        if matches!(message.stage, Stage::Listing { .. } | Stage::Writing) {
            self.ask_next_store(key);
            self.set_hedge(key);
        }
    }

    /// Asks the highest-ranked store that was not asked yet. When all stores were asked, asks the highest-ranked
    /// store that declined, or whose response was lost some time ago; the next hedge does so again.
    ///
    /// Without the retry, a record that too few stores have would be written by nobody and would block all later
    /// messages of its ordering key.
    fn ask_next_store(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get(&key) else { return };
        let ranked = self.stores.ranked(message.record.partition, self.now);
        let not_asked = ranked.iter().find(|store| !message.asked.contains(store)).cloned();
        let retryable = || {
            let is_lost = |store: &StoreId| {
                message.unanswered.contains(store) && !self.stores.is_avoided(store, self.now)
            };
            let can_retry = |store: &&StoreId| {
                self.stores.is_live(store) && (message.declined.contains(*store) || is_lost(store))
            };
            ranked.iter().find(can_retry).cloned()
        };
        let is_listing = matches!(message.stage, Stage::Listing { .. });
        let Some(store) = not_asked.or_else(retryable) else { return };
        if is_listing { self.request_listing(key, &store) } else { self.append(key, &store) }
    }

    /// The placement changed: repeats the listing, or sends the record to the first-choice stores that lack it.
    pub(crate) fn restart_quorum(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        match &mut message.stage {
            Stage::Listing { answered, found } => {
                answered.clear();
                found.clear();
                message.asked.clear();
                self.list_open_messages(key);
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
