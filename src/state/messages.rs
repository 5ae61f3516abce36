//! Held messages, and the order within their keys.

use std::collections::BTreeMap;

use super::{Message, State};
use crate::interface::{DestinationId, History, MessageId, Micros, Request, Settings};

impl State {
    /// Messages that still need an answer.
    pub fn held(&self) -> impl Iterator<Item = &Message> {
        self.messages.values().filter(|message| !message.finished)
    }

    /// Messages that still need an answer and have no attempt in flight.
    pub fn waiting(&self) -> impl Iterator<Item = &Message> {
        self.held().filter(|message| message.in_flight.is_none())
    }

    /// How many messages wait for each destination.
    pub fn waiting_counts(&self) -> BTreeMap<DestinationId, f64> {
        let mut counts = BTreeMap::new();
        for message in self.waiting() {
            *counts.entry(message.request.destination).or_default() += 1.0;
        }
        counts
    }

    /// Moving average of a tenant's messages per round.
    pub fn demand(&self, tenant: usize) -> f64 {
        self.demand.get(&tenant).map_or(0.0, |(_, mean)| *mean)
    }

    /// Accepts a message. If a restart cut off one of its attempts, its key is paused as after any attempt
    /// that may still run.
    pub fn accept(&mut self, request: Request, settings: &Settings) {
        let History { attempts, possible_run: ran, interrupted_at: cut_at, given_up: over, .. } =
            request.history;
        self.demand.entry(request.tenant).or_default().0 += 1.0;
        if let (Some(key), true) = (request.key, settings.classes[request.class].in_order) {
            let entry = self.keys.entry(key).or_default();
            entry.queue.push_back(request.id);
            entry.paused_until = entry.paused_until.max(cut_at.map_or(0, |at| at + settings.order_cooldown));
        }
        let message = Message { request, attempts, in_flight: None, ran, finished: over, unreported: over };
        self.messages.insert(request.id, message);
    }

    /// Records that the client needs no more answers about a message.
    pub fn withdraw(&mut self, id: MessageId, now: Micros) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.unreported = false;
        }
        self.finish(id, now);
    }

    /// Gives a message up; where final results are reported by notices, it blocks its key until then.
    pub fn give_up(&mut self, id: MessageId, by_notice: bool, now: Micros) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.unreported = by_notice;
        }
        self.finish(id, now);
    }

    /// Marks a message as answered; it is kept while an attempt is in flight or its final result is
    /// unreported.
    pub fn finish(&mut self, id: MessageId, now: Micros) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.finished = true;
        if message.in_flight.is_some() || message.unreported {
            return;
        }
        let key = message.request.key;
        self.messages.remove(&id);
        if let Some((key, entry)) = key.and_then(|key| Some((key, self.keys.get_mut(&key)?))) {
            entry.queue.retain(|other| *other != id);
            if entry.queue.is_empty() && entry.paused_until <= now {
                self.keys.remove(&key);
            }
        }
    }

    /// Whether a message is the first of its key and the key is not paused.
    pub fn in_turn(&self, message: &Message, now: Micros) -> bool {
        let entry = message.request.key.and_then(|key| self.keys.get(&key));
        entry.is_none_or(|entry| {
            let listed = entry.queue.contains(&message.request.id);
            !listed || (entry.queue.front() == Some(&message.request.id) && now >= entry.paused_until)
        })
    }

    /// Ends a round: adds its demand to the moving average with this weight, and removes keys whose pause is
    /// over.
    pub fn end_round(&mut self, weight: f64, now: Micros) {
        self.keys.retain(|_, entry| !entry.queue.is_empty() || entry.paused_until > now);
        for (count, mean) in self.demand.values_mut() {
            *mean += (std::mem::take(count) - *mean) * weight;
        }
    }
}
