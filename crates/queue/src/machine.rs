//! State, clock and inputs of the queue.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::Owner;
use pewterseam_wire::placement::{Placement, StoreId};
use pewterseam_wire::record::{MessageName, Record};

use crate::calls::Calls;
use crate::clock::{Clock, Timer};
use crate::io::{Effect, MessageKey, QueueSettings};
use crate::leases::Leases;
use crate::message::{Message, Stage};
use crate::releases::Releases;
use crate::routes::RouteTable;
use crate::settle::Outbox;
use crate::stores::Stores;

/// If the process was paused for longer than this, other relays may have adopted its messages.
const MAX_TICK_GAP: Micros = 1_500_000;

/// The messages that a relay owns.
pub struct Queue {
    pub(crate) settings: QueueSettings,
    pub(crate) now: Micros,
    last_run: Micros,
    last_key: u64,
    pub(crate) messages: HashMap<MessageKey, Message>,
    pub(crate) by_name: HashMap<MessageName, MessageKey>,
    /// Messages that wait for a predecessor, keyed by the name of the predecessor.
    pub(crate) successors: HashMap<MessageName, BTreeSet<MessageKey>>,
    pub(crate) body_bytes: usize,
    pub(crate) routes: Arc<RouteTable>,
    pub(crate) stores: Stores,
    pub(crate) leases: Leases,
    pub(crate) releases: Releases,
    pub(crate) calls: Calls,
    pub(crate) clock: Clock,
    pub(crate) outbox: Outbox,
    /// Live relays, according to membership.
    pub(crate) live_relays: BTreeSet<Owner>,
    pub(crate) is_probe_scheduled: bool,
    /// The relay is stopping: no message is started.
    pub(crate) is_stopping: bool,
    pub(crate) effects: Vec<Effect>,
}

impl Queue {
    pub fn new(settings: QueueSettings, now: Micros) -> Self {
        Queue {
            stores: Stores::new(settings.zone.clone()),
            settings,
            now,
            last_run: now,
            last_key: 0,
            messages: HashMap::new(),
            by_name: HashMap::new(),
            successors: HashMap::new(),
            body_bytes: 0,
            routes: Arc::default(),
            leases: Leases::default(),
            releases: Releases::default(),
            calls: Calls::default(),
            clock: Clock::default(),
            outbox: Outbox::default(),
            live_relays: BTreeSet::new(),
            is_probe_scheduled: false,
            is_stopping: false,
            effects: Vec::new(),
        }
    }

    /// When [`Queue::tick`] must be called next.
    pub fn wake_at(&self) -> Option<Micros> {
        self.clock.next()
    }

    /// Fires all timers that are due.
    pub fn tick(&mut self, now: Micros) -> Vec<Effect> {
        self.now = now;
        if now > self.last_run + MAX_TICK_GAP && self.last_run > 0 && !self.was_clock_idle(now) {
            self.verify_ownership();
        }
        self.last_run = now;
        while let Some(timer) = self.clock.pop_due(now) {
            self.fire(timer);
        }
        self.take_effects()
    }

    /// Whether no timer was due during the whole gap: the process was idle rather than paused.
    fn was_clock_idle(&self, now: Micros) -> bool {
        self.clock.next().is_none_or(|at| at + MAX_TICK_GAP > now)
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Hedge(key) => self.hedge(key),
            Timer::ClientDeadline(key) => self.client_deadline_passed(key),
            Timer::ListingDeadline(key) => self.listing_deadline_passed(key),
            Timer::Due(key) | Timer::RetryRun(key) => self.start_if_due(key),
            Timer::CheckPredecessors(key) => self.check_predecessors(key),
            Timer::RetryAdoption(key) => self.retry_adoption(key),
            Timer::Expire(key) => self.expire(key),
            Timer::CallTimeout(call) => self.fail_call(call),
            Timer::ProbeStores => self.probe_stores(),
            Timer::Flush => self.flush(),
            Timer::RetrySettle(key) => self.retry_end(key),
            Timer::ConfirmTimeout(key, attempt) => self.confirm_timed_out(key, attempt),
            Timer::RetryReleases => self.retry_releases(),
        }
    }

    /// Changes the owner name of this relay. Valid only while the queue owns no message.
    pub fn set_owner(&mut self, owner: Owner) {
        self.settings.owner = owner;
    }

    /// Puts a new placement in force.
    pub fn set_placement(&mut self, now: Micros, placement: Arc<Placement>) -> Vec<Effect> {
        self.now = now;
        if placement.epoch != self.stores.placement.epoch {
            self.stores.set_placement(placement);
            for key in self.keys(|stage| matches!(stage, Stage::Listing { .. } | Stage::Writing)) {
                self.restart_quorum(key);
            }
        }
        self.take_effects()
    }

    /// Updates the live stores, according to membership.
    pub fn set_live_stores(&mut self, live: BTreeSet<StoreId>) {
        self.stores.set_live(live);
    }

    /// Updates the live relays, according to membership.
    pub fn set_live_relays(&mut self, live: BTreeSet<Owner>) {
        self.live_relays = live;
    }

    /// Whether enough stores are live and reachable from this relay to store messages durably.
    pub fn has_enough_stores(&self) -> bool {
        let (reachable, all) = self.stores.reachable();
        reachable > usize::from(self.stores.placement.tolerated).min(all.saturating_sub(1))
    }

    /// The record of a message that is held here.
    pub fn record(&self, key: MessageKey) -> Option<&Record> {
        self.messages.get(&key).map(|message| &message.record)
    }

    /// Number of messages held, in any stage.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    pub(crate) fn keys(&self, has_stage: impl Fn(&Stage) -> bool) -> Vec<MessageKey> {
        let mut keys: Vec<MessageKey> = self
            .messages
            .iter()
            .filter(|(_, message)| has_stage(&message.stage))
            .map(|(key, _)| *key)
            .collect();
        keys.sort();
        keys
    }

    /// Adds a message under a new key, or returns `None` if a message with its name is already held.
    pub(crate) fn insert(&mut self, message: Message) -> Option<MessageKey> {
        if self.by_name.contains_key(&message.record.name) {
            return None;
        }
        self.last_key += 1;
        let key = MessageKey(self.last_key);
        self.body_bytes += message.record.body.len();
        self.by_name.insert(message.record.name.clone(), key);
        self.clock.set(message.expires_at, Timer::Expire(key));
        self.messages.insert(key, message);
        Some(key)
    }

    pub(crate) fn remove(&mut self, key: MessageKey) {
        let Some(message) = self.messages.remove(&key) else { return };
        self.body_bytes -= message.record.body.len();
        self.by_name.remove(&message.record.name);
        for blocker in &message.blockers {
            self.forget_successor(blocker, key);
        }
    }

    pub(crate) fn forget_successor(&mut self, blocker: &MessageName, key: MessageKey) {
        if let Some(waiting) = self.successors.get_mut(blocker) {
            waiting.remove(&key);
            if waiting.is_empty() {
                self.successors.remove(blocker);
            }
        }
    }

    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
