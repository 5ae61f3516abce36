//! All messages of a store, with their indexes.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use pewterseam_storage::Position;
use pewterseam_wire::Micros;
use pewterseam_wire::identity::Owner;
use pewterseam_wire::placement::Partition;
use pewterseam_wire::record::{End, MessageName};

use crate::expiry::EndRetention;
use crate::message::{HeldRecord, Message, Moment};

/// How many stale names the `resident` queue may hold before it is cleared of them.
const RESIDENT_SLACK: usize = 1024;

/// The open messages of an owner.
#[derive(Debug, Default)]
pub(crate) struct OwnedMessages {
    pub names: HashSet<MessageName>,
    pub first_seen: Micros,
    /// Whether the owner's process life has ended.
    pub is_owner_ended: bool,
}

/// The messages by name, and the open ones by key, owner and predecessor.
#[derive(Debug, Default)]
pub(crate) struct Messages {
    by_name: BTreeMap<MessageName, Message>,
    by_key: HashMap<Arc<str>, Vec<MessageName>>,
    pub by_owner: HashMap<Owner, OwnedMessages>,
    successors: HashMap<MessageName, Vec<MessageName>>,
    /// Ended messages, and those of which only facts are known, ordered by when this store learned of it.
    ended: VecDeque<(Moment, MessageName)>,
    /// Messages that are remembered beyond `statusTtlS`, ordered by when they are forgotten.
    remembered: BTreeSet<(Moment, MessageName)>,
    /// Open messages with their record in memory, oldest first; the queue may contain stale names.
    resident: VecDeque<MessageName>,
    resident_count: usize,
    resident_bytes: usize,
    live_bytes: u64,
}

impl Messages {
    pub fn get(&self, name: &MessageName) -> Option<&Message> {
        self.by_name.get(name)
    }

    pub fn record_mut(&mut self, name: &MessageName) -> Option<&mut HeldRecord> {
        self.by_name.get_mut(name)?.record.as_deref_mut()
    }

    /// The messages after a name, in order.
    pub fn after(&self, name: Option<&MessageName>) -> impl Iterator<Item = (&MessageName, &Message)> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.by_name.range((name.map_or(Unbounded, Excluded), Unbounded))
    }

    /// The messages that still need data in this segment or an earlier one.
    ///
    /// This scans all messages. It runs once for each removed segment, which costs less than an index of all entries
    /// would cost in memory.
    pub fn messages_needing(&self, segment: u64) -> Vec<MessageName> {
        let matching = self.by_name.iter().filter(|(_, message)| message.oldest_needed_segment <= segment);
        matching.map(|(name, _)| name.clone()).collect()
    }

    /// The size that the log would have if it held only the data that is still needed.
    pub fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    /// Changes a message. The change must not affect the indexes or the end.
    pub fn update<T>(&mut self, name: &MessageName, change: impl FnOnce(&mut Message) -> T) -> Option<T> {
        self.by_name.get_mut(name).map(change)
    }

    /// Changes all messages.
    pub fn update_all(&mut self, change: impl FnMut(&mut Message)) {
        self.by_name.values_mut().for_each(change);
    }

    /// The open messages of a key.
    pub fn open_of_key(&self, key: &str, partition: Partition) -> Vec<MessageName> {
        let names = self.by_key.get(key).map(Vec::as_slice).unwrap_or_default();
        let is_in = |name: &&MessageName| {
            self.get(name).and_then(Message::open_record).is_some_and(|record| record.partition == partition)
        };
        names.iter().filter(is_in).cloned().collect()
    }

    /// The open messages that wait for this message to end.
    pub fn successors(&self, name: &MessageName) -> Vec<MessageName> {
        self.successors.get(name).cloned().unwrap_or_default()
    }

    /// Adds a record to a message that has none. Strings that other messages also hold are shared with them.
    pub fn insert_record(
        &mut self, name: &MessageName, mut record: HeldRecord, expires_at: Moment, now: Micros,
    ) {
        if let Some((known, _)) = self.by_owner.get_key_value(&record.owner) {
            record.owner = known.clone();
        }
        if let Some(key) = &record.ordering_key
            && let Some((known, _)) = self.by_key.get_key_value(key)
        {
            record.ordering_key = Some(known.clone());
        }
        let message = self.by_name.entry(name.clone()).or_insert_with(|| {
            self.live_bytes += crate::message::FACT_BYTES;
            Message::new(now as Moment)
        });
        message.expires_at = Some(expires_at);
        let is_open = message.end.is_none();
        self.live_bytes += record.bytes();
        if let Some(payload) = &record.payload {
            self.resident_bytes += payload.len();
            self.resident_count += 1;
            self.resident.push_back(name.clone());
        }
        if is_open {
            Self::index(&mut self.by_key, &mut self.by_owner, &mut self.successors, name, &record, now);
        }
        message.record = Some(Box::new(record));
    }

    fn index(
        by_key: &mut HashMap<Arc<str>, Vec<MessageName>>, by_owner: &mut HashMap<Owner, OwnedMessages>,
        successors: &mut HashMap<MessageName, Vec<MessageName>>, name: &MessageName, record: &HeldRecord,
        now: Micros,
    ) {
        if let Some(key) = &record.ordering_key {
            by_key.entry(key.clone()).or_default().push(name.clone());
        }
        let owned = by_owner
            .entry(record.owner.clone())
            .or_insert_with(|| OwnedMessages { first_seen: now, ..OwnedMessages::default() });
        owned.names.insert(name.clone());
        for predecessor in &record.predecessors {
            successors.entry(predecessor.clone()).or_default().push(name.clone());
        }
    }

    /// Removes an open message from the indexes.
    fn remove_from_indexes(&mut self, name: &MessageName) {
        let Some(record) = self.by_name.get(name).and_then(|message| message.record.as_deref()) else {
            return;
        };
        if let Some(key) = &record.ordering_key {
            remove_name(&mut self.by_key, key, name);
        }
        if let Some(owned) = self.by_owner.get_mut(&record.owner) {
            owned.names.remove(name);
            if owned.names.is_empty() {
                self.by_owner.remove(&record.owner);
            }
        }
        for predecessor in &record.predecessors {
            remove_name(&mut self.successors, predecessor, name);
        }
    }

    /// Gives an open message another owner.
    pub fn change_owner(&mut self, name: &MessageName, owner: &Owner, claim: u32, now: Micros) {
        let Some(record) = self.by_name.get_mut(name).and_then(|message| message.record.as_deref_mut())
        else {
            return;
        };
        if let Some(owned) = self.by_owner.get_mut(&record.owner) {
            owned.names.remove(name);
            if owned.names.is_empty() {
                self.by_owner.remove(&record.owner);
            }
        }
        let shared =
            self.by_owner.get_key_value(owner).map_or_else(|| owner.clone(), |(known, _)| known.clone());
        record.owner = shared.clone();
        record.claim = claim;
        record.is_released = false;
        let owned = self
            .by_owner
            .entry(shared)
            .or_insert_with(|| OwnedMessages { first_seen: now, ..OwnedMessages::default() });
        owned.names.insert(name.clone());
    }

    /// Raises the number of failed attempts. Returns whether the number is new.
    pub fn note_failures(&mut self, name: &MessageName, failures: u32, at: Moment) -> bool {
        if let Some(message) = self.by_name.get_mut(name) {
            let is_increase = failures > message.failures;
            message.failures = message.failures.max(failures);
            return is_increase;
        }
        let mut message = Message::new(at);
        message.failures = failures;
        self.insert_facts(name, message);
        true
    }

    fn insert_facts(&mut self, name: &MessageName, message: Message) {
        self.live_bytes += message.log_bytes();
        self.ended.push_back((message.noted_at, name.clone()));
        self.by_name.insert(name.clone(), message);
    }

    /// Sets an end, written with this ticket, unless one with precedence is known. After a success the record is dropped;
    /// otherwise it is evicted from memory once it is in the log.
    pub fn note_end(&mut self, name: &MessageName, end: &End, at: Moment, ticket: u64) -> bool {
        let Some(message) = self.by_name.get(name) else {
            let mut message = Message::new(at);
            message.end = Some(end.clone());
            message.end_ticket = ticket;
            self.insert_facts(name, message);
            return true;
        };
        if !message.is_better_end(end) {
            return false;
        }
        let is_first = message.end.is_none();
        if is_first && message.record.is_some() {
            self.remove_from_indexes(name);
        }
        if let Some(message) = self.by_name.get_mut(name) {
            message.end = Some(end.clone());
            message.end_ticket = ticket;
            if is_first {
                message.noted_at = at;
                self.ended.push_back((at, name.clone()));
            }
        }
        if matches!(end, End::Completed { .. }) {
            self.drop_record(name);
        } else {
            self.evict_record(name);
        }
        true
    }

    /// Drops the record of a message, and the message itself if nothing else is known of it.
    pub fn drop_record(&mut self, name: &MessageName) {
        let Some(message) = self.by_name.get(name) else { return };
        if message.is_open() {
            self.remove_from_indexes(name);
        }
        let Some(message) = self.by_name.get_mut(name) else { return };
        if let Some(record) = message.record.take() {
            self.live_bytes = self.live_bytes.saturating_sub(record.bytes());
            if let Some(payload) = &record.payload {
                self.resident_bytes -= payload.len();
                self.resident_count -= 1;
            }
        }
        if message.end.is_none() {
            if message.failures == 0 {
                self.drop_message(name);
            } else {
                let noted_at = message.noted_at;
                self.ended.push_back((noted_at, name.clone()));
            }
        }
    }

    fn drop_message(&mut self, name: &MessageName) {
        if let Some(message) = self.by_name.remove(name) {
            self.live_bytes = self.live_bytes.saturating_sub(message.log_bytes());
            if let Some(payload) = message.record.and_then(|record| record.payload) {
                self.resident_bytes -= payload.len();
                self.resident_count -= 1;
            }
        }
    }

    /// The number of messages that are remembered beyond `statusTtlS`, because another store may hold their record open.
    pub fn remembered_count(&self) -> usize {
        self.remembered.len()
    }

    /// When the next message is to be forgotten or moved to `remembered`.
    pub fn forget_due(&self, retention: &EndRetention) -> Option<Moment> {
        let first = self.ended.front().map(|(noted_at, _)| noted_at + retention.status_ttl);
        let remembered = self.remembered.first().map(|(until, _)| *until);
        first.into_iter().chain(remembered).min()
    }

    /// Forgets ended messages, and those of which only facts are known, whose retention has passed.
    pub fn forget(&mut self, now: Moment, retention: &EndRetention) {
        while let Some((_, name)) =
            self.ended.pop_front_if(|(noted_at, _)| *noted_at + retention.status_ttl <= now)
        {
            let Some(message) = self.get(&name).filter(|message| !message.is_open()) else { continue };
            let until = retention.forget_at(message);
            if until <= now {
                self.drop_message(&name);
            } else {
                self.remembered.insert((until, name));
            }
        }
        while let Some((until, name)) = self.remembered.pop_first() {
            if until > now {
                self.remembered.insert((until, name));
                return;
            }
            if self.get(&name).is_some_and(|message| !message.is_open()) {
                self.drop_message(&name);
            }
        }
    }

    /// Sorts the queue of ended messages after a recovery.
    pub fn sort_ended(&mut self) {
        self.ended.make_contiguous().sort();
    }

    /// Sets the log position of the entry that holds the record of a message.
    pub fn note_position(&mut self, name: &MessageName, position: Position) {
        let Some(message) = self.by_name.get_mut(name) else { return };
        let is_ended = message.end.is_some();
        let Some(record) = message.record.as_deref_mut() else { return };
        let before = record.bytes();
        record.position = Some(position);
        self.live_bytes = (self.live_bytes + record.bytes()).saturating_sub(before);
        if is_ended {
            self.evict_record(name);
        }
    }

    /// Evicts a synced record from memory; it can be read back from the log.
    fn evict_record(&mut self, name: &MessageName) -> bool {
        let Some(record) = self.record_mut(name) else { return false };
        if record.position.is_none() {
            return false;
        }
        let before = record.bytes();
        let Some(payload) = record.payload.take() else { return false };
        let after = record.bytes();
        self.resident_bytes -= payload.len();
        self.resident_count -= 1;
        self.live_bytes = (self.live_bytes + after).saturating_sub(before);
        true
    }

    /// Evicts the oldest records from memory until the others fit the limit.
    pub fn evict_records_above(&mut self, bytes: usize) {
        while self.resident_bytes > bytes {
            let Some(name) = self.resident.pop_front() else { return };
            let is_synced = self
                .get(&name)
                .and_then(|message| message.record.as_ref())
                .is_none_or(|record| record.payload.is_none() || record.position.is_some());
            if !is_synced {
                self.resident.push_front(name);
                return;
            }
            self.evict_record(&name);
        }
        if self.resident.len() > 2 * self.resident_count + RESIDENT_SLACK {
            let by_name = &self.by_name;
            self.resident.retain(|name| {
                let record = by_name.get(name).and_then(|message| message.record.as_ref());
                record.is_some_and(|record| record.payload.is_some())
            });
        }
    }
}

fn remove_name<K>(index: &mut HashMap<K, Vec<MessageName>>, key: &K, name: &MessageName)
where
    K: std::hash::Hash + Eq,
{
    if let Some(names) = index.get_mut(key) {
        names.retain(|other| other != name);
        if names.is_empty() {
            index.remove(key);
        }
    }
}
