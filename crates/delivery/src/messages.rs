//! The held messages: queued for their service, offered to the brain, in flight, or delayed before a retry.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use pewterseam::interface::MessageId;
use pewterseam_wire::Micros;

use crate::interface::Submission;

/// Maximum number of messages of one service that are offered to the brain at a time.
const MAX_OFFERED_PER_SERVICE: usize = 24;

/// Delivery state of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageState {
    /// In the queue of its service.
    Queued,
    /// Offered to the brain under this ID.
    Offered(MessageId),
    /// An attempt is in flight.
    InFlight(MessageId),
    Delayed {
        until: Micros,
    },
}

/// A held message.
#[derive(Debug)]
pub(crate) struct HeldMessage {
    pub(crate) submission: Submission,
    pub(crate) state: MessageState,
    /// Number of attempts without a clear answer. `conflicts` counts answers that the message runs elsewhere or that the
    /// rate limit is reached.
    pub(crate) unclear_attempts: u32,
    pub(crate) conflicts: u32,
    /// Attempts since the message was last offered to the brain, as the brain counts them.
    attempts: u32,
}

impl HeldMessage {
    /// Whether the message is in flight under this ID of the brain.
    pub(crate) fn is_in_flight(&self, id: MessageId) -> bool {
        self.state == MessageState::InFlight(id)
    }

    /// Sort key in the queue: the time by which the run should start, then the priority.
    fn queue_key(&self) -> (Micros, u8, u64) {
        let Submission { due_at, schedule_target, priority, key, .. } = self.submission;
        (due_at + schedule_target, priority, key)
    }
}

#[derive(Debug, Default)]
struct ServiceQueue {
    waiting: BTreeSet<(Micros, u8, u64)>,
    /// Number of messages offered to the brain and not in flight.
    offered: usize,
}

/// The held messages.
#[derive(Debug, Default)]
pub(crate) struct Messages {
    held: HashMap<u64, HeldMessage>,
    keys: HashMap<MessageId, u64>,
    queues: BTreeMap<Arc<str>, ServiceQueue>,
    delayed: BTreeSet<(Micros, u64)>,
    /// Services whose queued messages may be offered.
    ready: BTreeSet<Arc<str>>,
    last_id: u64,
}

impl Messages {
    pub(crate) fn get(&self, key: u64) -> Option<&HeldMessage> {
        self.held.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: u64) -> Option<&mut HeldMessage> {
        self.held.get_mut(&key)
    }

    pub(crate) fn key(&self, id: MessageId) -> Option<u64> {
        self.keys.get(&id).copied()
    }

    /// Adds a message, unless it is already held.
    pub(crate) fn add(&mut self, submission: Submission, delay_until: Option<Micros>) {
        let key = submission.key;
        if self.held.contains_key(&key) {
            return;
        }
        let held = HeldMessage {
            submission,
            state: MessageState::Queued,
            unclear_attempts: 0,
            conflicts: 0,
            attempts: 0,
        };
        self.held.insert(key, held);
        match delay_until {
            Some(until) => self.delay(key, until),
            None => self.enqueue(key),
        }
    }

    /// Replaces the submission of a message. Returns its ID if the brain must forget it, because the brain knows the former
    /// submission. A message in flight stays in flight and enters the queue of the new service after its attempt.
    pub(crate) fn revise(&mut self, submission: Submission) -> Option<MessageId> {
        let key = submission.key;
        let state = self.held.get(&key)?.state;
        let is_in_flight = matches!(state, MessageState::InFlight(_));
        if !is_in_flight {
            self.detach(key);
        }
        let held = self.held.get_mut(&key)?;
        let due_at = held.submission.due_at;
        let former = std::mem::replace(&mut held.submission, Submission { due_at, ..submission });
        if held.submission.service != former.service {
            (held.unclear_attempts, held.conflicts) = (0, 0);
        }
        self.drop_empty_queue(&former.service);
        match state {
            MessageState::InFlight(_) => None,
            MessageState::Delayed { until } => {
                self.delay(key, until);
                None
            }
            MessageState::Queued => {
                self.enqueue(key);
                None
            }
            MessageState::Offered(id) => {
                self.enqueue(key);
                Some(id)
            }
        }
    }

    /// Puts a message whose attempt has ended back in the queue of its service.
    pub(crate) fn requeue(&mut self, key: u64) {
        self.detach(key);
        self.enqueue(key);
    }

    /// Services with queues of messages.
    pub(crate) fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.queues.keys()
    }

    /// Puts the offered messages of these services back in their queues, and returns the IDs that the brain must forget.
    pub(crate) fn requeue_offered(&mut self, services: &BTreeSet<Arc<str>>) -> BTreeSet<MessageId> {
        let offered = self.held.iter().filter_map(|(key, held)| match held.state {
            MessageState::Offered(id) if services.contains(&held.submission.service) => Some((id, *key)),
            _ => None,
        });
        let offered: BTreeMap<MessageId, u64> = offered.collect();
        for key in offered.values() {
            self.requeue(*key);
        }
        offered.into_keys().collect()
    }

    fn drop_empty_queue(&mut self, service: &Arc<str>) {
        if self.queues.get(service).is_some_and(|queue| queue.waiting.is_empty() && queue.offered == 0) {
            self.queues.remove(service);
            self.ready.remove(service);
        }
    }

    /// Number of messages of a service that could start now.
    pub(crate) fn demand(&self, service: &str) -> usize {
        self.queues.get(service).map_or(0, |queue| queue.waiting.len() + queue.offered)
    }

    fn enqueue(&mut self, key: u64) {
        let Some(held) = self.held.get_mut(&key) else { return };
        held.state = MessageState::Queued;
        let service = &held.submission.service;
        self.queues.entry(service.clone()).or_default().waiting.insert(held.queue_key());
        self.ready.insert(service.clone());
    }

    /// Removes a message from the collection of its current state.
    fn detach(&mut self, key: u64) -> Option<MessageState> {
        let held = self.held.get(&key)?;
        let (state, queue_key) = (held.state, held.queue_key());
        let queue = self.queues.get_mut(&held.submission.service);
        match state {
            MessageState::Queued => {
                if let Some(queue) = queue {
                    queue.waiting.remove(&queue_key);
                }
            }
            MessageState::Offered(id) => {
                if let Some(queue) = queue {
                    queue.offered -= 1;
                }
                self.ready.insert(held.submission.service.clone());
                self.keys.remove(&id);
            }
            MessageState::InFlight(id) => {
                self.keys.remove(&id);
            }
            MessageState::Delayed { until } => {
                self.delayed.remove(&(until, key));
            }
        }
        Some(state)
    }

    /// Delays a message until `until`.
    pub(crate) fn delay(&mut self, key: u64, until: Micros) {
        self.detach(key);
        if let Some(held) = self.held.get_mut(&key) {
            held.state = MessageState::Delayed { until };
            self.delayed.insert((until, key));
        }
    }

    /// Removes a message. Returns its ID if the brain knows it.
    pub(crate) fn remove(&mut self, key: u64) -> Option<MessageId> {
        let state = self.detach(key)?;
        let held = self.held.remove(&key)?;
        self.drop_empty_queue(&held.submission.service);
        match state {
            MessageState::Offered(id) | MessageState::InFlight(id) => Some(id),
            MessageState::Queued | MessageState::Delayed { .. } => None,
        }
    }

    /// Queues the messages whose delay has ended.
    pub(crate) fn enqueue_due(&mut self, now: Micros) {
        while let Some((_, key)) = self.delayed.first().copied().filter(|(until, _)| *until <= now) {
            self.detach(key);
            self.enqueue(key);
        }
    }

    /// Offers the first messages of each queue, and returns them.
    pub(crate) fn offer_next(&mut self) -> Vec<(MessageId, u64)> {
        let mut offered = Vec::new();
        for service in std::mem::take(&mut self.ready) {
            let Some(queue) = self.queues.get_mut(&service) else { continue };
            while queue.offered < MAX_OFFERED_PER_SERVICE
                && let Some((_, _, key)) = queue.waiting.pop_first()
            {
                self.last_id += 1;
                let id = MessageId(self.last_id);
                queue.offered += 1;
                self.keys.insert(id, key);
                if let Some(held) = self.held.get_mut(&key) {
                    (held.state, held.attempts) = (MessageState::Offered(id), 0);
                }
                offered.push((id, key));
            }
        }
        offered
    }

    /// The number of the next attempt of a message, as the brain counts attempts.
    pub(crate) fn next_attempt_number(&mut self, key: u64) -> u32 {
        let Some(held) = self.held.get_mut(&key) else { return 0 };
        held.attempts += 1;
        held.attempts - 1
    }

    /// Number of held messages.
    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.held.values().filter(|held| matches!(held.state, MessageState::InFlight(_))).count()
    }

    /// Marks a message as in flight, or as offered if its attempt has ended and the brain keeps the message.
    pub(crate) fn set_in_flight(&mut self, key: u64, in_flight: bool) {
        let Some(held) = self.held.get_mut(&key) else { return };
        let queue = self.queues.entry(held.submission.service.clone()).or_default();
        match (held.state, in_flight) {
            (MessageState::Offered(id), true) => {
                held.state = MessageState::InFlight(id);
                queue.offered -= 1;
                self.ready.insert(held.submission.service.clone());
            }
            (MessageState::InFlight(id), false) => {
                held.state = MessageState::Offered(id);
                queue.offered += 1;
            }
            _ => {}
        }
    }

    /// When the next delay ends.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        self.delayed.first().map(|(until, _)| *until)
    }
}
