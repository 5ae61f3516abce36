//! The permit to send a message to a host.
//!
//! A message is sent only while no other relay can own it: a read quorum of its stores has granted this relay a
//! lease that has been valid without a gap since the ownership was established, and a store grants no claim while
//! the owner has a lease. A claim needs a write quorum, which intersects every read quorum. If the leases have
//! expired, or the message was adopted from another relay that may still have a run in progress, a read quorum must
//! confirm the ownership before the message is sent; that request renews the leases.

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

/// Minimum remaining lease. A lease that ends sooner is renewed before a message is sent.
const MIN_REMAINING_LEASE: Micros = 300_000;
/// Time within which the stores must confirm the ownership of a message.
const CONFIRM_TIMEOUT: Micros = 500_000;

/// The permission to write one attempt of one message to a host, once, before the permit expires.
///
/// Only [`Queue`] creates a permit, and it cannot be copied: whoever sends the message consumes it.
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

    /// The attempt must not be written at or after this time.
    pub fn expires_at(&self) -> Micros {
        self.expires_at
    }
}

/// What a store's response means for a message that is about to be sent.
enum ConfirmationCheck {
    /// More answers are needed.
    Undecided,
    Confirmed,
    /// The message has ended, or another relay may own it.
    Lost(Status),
}

impl Queue {
    /// Requests a permit to send an attempt of a message. The answer is [`Effect::Send`] or [`Effect::RefuseSend`],
    /// possibly after the stores have confirmed the ownership.
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
            Some(expires_at) if !message.is_adopted && expires_at >= self.now + MIN_REMAINING_LEASE => {
                self.effects.push(Effect::Send { permit: SendPermit { key, attempt, expires_at } });
            }
            _ => self.ask_to_confirm(key, attempt),
        }
    }

    /// The time until which no other relay can become the owner, or `None` if another relay may be the owner
    /// already.
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

    /// Not all stores have answered in time. A read quorum suffices now; without one, the attempt is refused.
    pub(crate) fn confirm_timed_out(&mut self, key: MessageKey, attempt: AttemptNumber) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        let Some(confirmation) = message.confirmation.take_if(|waiting| waiting.attempt == attempt) else {
            return;
        };
        if self.stores.placement.is_read_quorum(message.record.partition, &confirmation.answered) {
            self.send_confirmed(key, attempt);
        } else {
            self.effects.push(Effect::RefuseSend { attempt });
        }
    }

    pub(crate) fn confirmed(
        &mut self, key: MessageKey, attempt: AttemptNumber, store: StoreId, status: Option<Status>,
    ) {
        let Some(status) = status else { return };
        match self.check_confirmation(key, attempt, store, status) {
            ConfirmationCheck::Undecided => {}
            ConfirmationCheck::Confirmed => self.send_confirmed(key, attempt),
            ConfirmationCheck::Lost(status) => self.lost_before_send(key, attempt, status),
        }
    }

    fn check_confirmation(
        &mut self, key: MessageKey, attempt: AttemptNumber, store: StoreId, status: Status,
    ) -> ConfirmationCheck {
        let Some(message) = self.messages.get_mut(&key) else { return ConfirmationCheck::Undecided };
        let confirmation =
            message.confirmation.as_mut().filter(|confirmation| confirmation.attempt == attempt);
        let Some(confirmation) = confirmation else { return ConfirmationCheck::Undecided };
        match &status {
            Status::Ended(_) => return ConfirmationCheck::Lost(status),
            // A lower or equal claim of another relay is no loss of ownership: no other relay can have a write
            // quorum for it.
            Status::Open { owner, claim, .. } if *owner != self.settings.owner && *claim > message.claim => {
                return ConfirmationCheck::Lost(status);
            }
            Status::Open { failures, .. } => message.failures = message.failures.max(*failures),
            Status::Unknown => {}
        }
        confirmation.answered.insert(store);
        let partition = message.record.partition;
        let is_read = self.stores.placement.is_read_quorum(partition, &confirmation.answered);
        // All live stores must answer for an adopted message: the former owner may have died when only one store
        // knew the end.
        let is_complete = !message.is_adopted || {
            let stores = self.stores.placement.stores(partition);
            stores.iter().all(|store| confirmation.answered.contains(store) || !self.stores.is_live(store))
        };
        if is_read && is_complete { ConfirmationCheck::Confirmed } else { ConfirmationCheck::Undecided }
    }

    fn send_confirmed(&mut self, key: MessageKey, attempt: AttemptNumber) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        message.confirmation = None;
        message.owned_since = self.now;
        let lease_end = self.messages.get(&key).and_then(|message| self.lease_end(message));
        self.effects.push(match lease_end.filter(|end| *end >= self.now + MIN_REMAINING_LEASE) {
            Some(expires_at) => Effect::Send { permit: SendPermit { key, attempt, expires_at } },
            None => Effect::RefuseSend { attempt },
        });
    }

    /// The message has ended elsewhere, or another relay may own it: it is not sent, and in the latter case facts
    /// are requested again.
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
