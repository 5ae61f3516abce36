//! The permit to send a message to a host.
//!
//! A message is sent only while no other relay can own it: a read quorum of its stores has granted this relay a lease
//! that has not lapsed since the ownership was known, and a store grants no claim while the owner has a lease. A claim
//! needs a write quorum, and any read quorum meets it. Where the leases have lapsed, or the message was taken over from
//! another relay that may still have a run of it out, a read quorum is asked before the message is sent; the question
//! renews the leases.

use std::collections::BTreeSet;

use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::Fact;
use pewterseam_wire::store::{Status, StoreRequest};

use crate::calls::Purpose;
use crate::clock::Timer;
use crate::io::{AttemptNumber, Effect, MessageKey};
use crate::machine::Queue;
use crate::message::{Confirmation, Message, Stage};

/// A lease that ends sooner than this is renewed before a message is sent.
const SHORTEST_LEASE: Micros = 300_000;
/// So long the stores have to confirm the ownership of a message.
const CONFIRM_TIMEOUT: Micros = 500_000;

/// The right to write one attempt of one message to a host, once, before it expires.
///
/// Only [`Queue`] makes one, and it cannot be copied: whoever sends the message gives it away.
#[derive(Debug, PartialEq, Eq)]
pub struct SendPermit {
    key: MessageKey,
    attempt: AttemptNumber,
    expires_at: Micros,
}

impl SendPermit {
    pub fn key(&self) -> MessageKey {
        self.key
    }

    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Nothing may be written from then on.
    pub fn expires_at(&self) -> Micros {
        self.expires_at
    }
}

/// What a store's word on a message that is to be sent means.
enum Word {
    /// More answers are needed.
    Unsure,
    Confirmed,
    /// It has ended, or another relay may own it.
    Lost(Status),
}

impl Queue {
    /// An attempt of a message is to be sent. Answered by [`Effect::Send`] or [`Effect::RefuseSend`], maybe later.
    pub fn request_send(&mut self, now: Micros, key: MessageKey, attempt: AttemptNumber) -> Vec<Effect> {
        self.now = now;
        match self.messages.get(&key) {
            Some(message) if message.stage == Stage::Running => self.permit_or_confirm(key, attempt),
            _ => self.effects.push(Effect::RefuseSend { attempt }),
        }
        self.take_effects()
    }

    fn permit_or_confirm(&mut self, key: MessageKey, attempt: AttemptNumber) {
        let Some(message) = self.messages.get(&key) else { return };
        match self.lease_end(message) {
            Some(expires_at) if !message.is_adopted && expires_at >= self.now + SHORTEST_LEASE => {
                self.effects.push(Effect::Send { permit: SendPermit { key, attempt, expires_at } });
            }
            _ => self.ask_to_confirm(key, attempt),
        }
    }

    /// Until when no other relay can become the owner; none where one may be already.
    fn lease_end(&self, message: &Message) -> Option<Micros> {
        let groups = self.stores.placement.groups(message.record.partition);
        self.leases.valid_until(&groups, message.owned_since)
    }

    fn ask_to_confirm(&mut self, key: MessageKey, attempt: AttemptNumber) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.confirmation = Some(Confirmation { attempt, answered: BTreeSet::new() });
        let name = message.record.name.clone();
        let stores = self.stores.placement.stores(message.record.partition);
        self.clock.set(self.now + CONFIRM_TIMEOUT, Timer::ConfirmTimeout(key, attempt));
        for store in stores {
            let owner = self.settings.owner.clone();
            let request = StoreRequest::Confirm { owner, names: vec![name.clone()] };
            self.ask(&store, Purpose::Confirm(key, attempt), request);
        }
    }

    /// Not all stores have answered in time. A read quorum is enough then; without one, the attempt is not made.
    pub(crate) fn confirm_timed_out(&mut self, key: MessageKey, attempt: AttemptNumber) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        let Some(confirmation) = message.confirmation.take_if(|waiting| waiting.attempt == attempt) else {
            return;
        };
        if self.stores.placement.is_read(message.record.partition, &confirmation.answered) {
            self.send_confirmed(key, attempt);
        } else {
            self.effects.push(Effect::RefuseSend { attempt });
        }
    }

    pub(crate) fn confirmed(
        &mut self, key: MessageKey, attempt: AttemptNumber, store: StoreId, status: Option<Status>,
    ) {
        let Some(status) = status else { return };
        match self.take_word(key, attempt, store, status) {
            Word::Unsure => {}
            Word::Confirmed => self.send_confirmed(key, attempt),
            Word::Lost(status) => self.lost_before_send(key, attempt, status),
        }
    }

    fn take_word(&mut self, key: MessageKey, attempt: AttemptNumber, store: StoreId, status: Status) -> Word {
        let Some(message) = self.messages.get_mut(&key) else { return Word::Unsure };
        let confirmation =
            message.confirmation.as_mut().filter(|confirmation| confirmation.attempt == attempt);
        let Some(confirmation) = confirmation else { return Word::Unsure };
        match &status {
            Status::Ended(_) => return Word::Lost(status),
            // Danger: none from a lower claim, or an equal one: no other relay can have a write quorum for it.
            Status::Open { owner, claim, .. } if *owner != self.settings.owner && *claim > message.claim => {
                return Word::Lost(status);
            }
            Status::Open { failures, .. } => message.failures = message.failures.max(*failures),
            Status::Unknown => {}
        }
        confirmation.answered.insert(store);
        let partition = message.record.partition;
        let is_read = self.stores.placement.is_read(partition, &confirmation.answered);
        // Danger: the former owner may have died when one store alone knew the end.
        let is_complete = !message.is_adopted || {
            let stores = self.stores.placement.stores(partition);
            stores.iter().all(|store| confirmation.answered.contains(store) || !self.stores.is_live(store))
        };
        if is_read && is_complete { Word::Confirmed } else { Word::Unsure }
    }

    fn send_confirmed(&mut self, key: MessageKey, attempt: AttemptNumber) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.confirmation = None;
        message.owned_since = self.now;
        let lease_end = self.messages.get(&key).and_then(|message| self.lease_end(message));
        self.effects.push(match lease_end.filter(|end| *end >= self.now + SHORTEST_LEASE) {
            Some(expires_at) => Effect::Send { permit: SendPermit { key, attempt, expires_at } },
            None => Effect::RefuseSend { attempt },
        });
    }

    /// The message has ended elsewhere, or another relay may own it: it is not sent, and in the latter case facts are
    /// asked for anew.
    fn lost_before_send(&mut self, key: MessageKey, attempt: AttemptNumber, status: Status) {
        self.effects.push(Effect::RefuseSend { attempt });
        self.effects.push(Effect::Withdraw { key });
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.confirmation = None;
        match status {
            Status::Ended(end) => {
                let name = message.record.name.clone();
                self.spread_end(key, Fact::Ended { name, end });
            }
            Status::Open { claim, .. } => self.verify(key, claim),
            Status::Unknown => {}
        }
    }
}
