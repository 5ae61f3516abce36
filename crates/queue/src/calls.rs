//! Requests to stores that are out.

use std::collections::HashMap;

use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::{Decline, StoreRequest, StoreResponse};

use crate::clock::Timer;
use crate::io::{AttemptNumber, CallId, Effect, MessageKey};
use crate::machine::Queue;

/// Time after which a store that has not answered counts as failing.
const CALL_TIMEOUT: Micros = 1_000_000;

/// Between two tries of a store that is out of reach.
const PROBE_PERIOD: Micros = 250_000;

/// What a request was for.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    List(MessageKey),
    Append(MessageKey),
    /// The same for a message of another relay: it renews no lease.
    AppendCopy(MessageKey),
    Settle(Vec<MessageKey>),
    /// Predecessors of a message, in the order asked.
    Check(MessageKey, Vec<MessageName>),
    /// Orphans, in the order asked.
    Adopt(Vec<MessageKey>),
    Claim(MessageKey, MessageName),
    Release(Vec<MessageName>),
    /// The message that is about to be sent.
    Confirm(MessageKey, AttemptNumber),
    /// Whether the store answers at all.
    Probe,
}

#[derive(Clone, Debug)]
struct Call {
    store: StoreId,
    purpose: Purpose,
    at: Micros,
}

/// The requests that are out.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    last: u64,
    open: HashMap<CallId, Call>,
}

impl Calls {
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

impl Queue {
    pub(crate) fn ask(&mut self, store: &StoreId, purpose: Purpose, request: StoreRequest) {
        self.calls.last += 1;
        let call = CallId(self.calls.last);
        self.calls.open.insert(call, Call { store: store.clone(), purpose, at: self.now });
        self.clock.set(self.now + CALL_TIMEOUT, Timer::CallTimeout(call));
        self.effects.push(Effect::Ask { store: store.clone(), call, request: Box::new(request) });
    }

    /// A store answered a request.
    pub fn store_answered(&mut self, now: Micros, call: CallId, response: StoreResponse) -> Vec<Effect> {
        self.now = now;
        if let Some(call) = self.calls.open.remove(&call) {
            match response {
                StoreResponse::Declined { reason, .. } => self.call_declined(call, reason),
                // The disk that was asked is gone: another one is at its address.
                response if *response.store() != call.store => self.call_failed(call),
                response => self.call_answered(call, response),
            }
        }
        self.take_effects()
    }

    /// A request could not be sent, or its connection broke.
    pub fn store_failed(&mut self, now: Micros, call: CallId) -> Vec<Effect> {
        self.now = now;
        self.fail_call(call);
        self.take_effects()
    }

    pub(crate) fn fail_call(&mut self, call: CallId) {
        if let Some(call) = self.calls.open.remove(&call) {
            self.call_failed(call);
        }
    }

    fn call_failed(&mut self, call: Call) {
        self.stores.failed(&call.store, self.now);
        self.probe_later();
        match call.purpose {
            Purpose::List(key) => self.listing_failed(key),
            Purpose::Append(key) => self.append_unanswered(key, call.store),
            Purpose::Settle(keys) => self.settle_failed(&keys),
            Purpose::Release(names) => self.release_failed(call.store, names),
            // Timers that were set with these see to what is missing.
            Purpose::AppendCopy(_)
            | Purpose::Check(..)
            | Purpose::Adopt(_)
            | Purpose::Claim(..)
            | Purpose::Confirm(..)
            | Purpose::Probe => {}
        }
    }

    /// Sees to it that stores out of reach are tried, so that their return is noticed without messages.
    fn probe_later(&mut self) {
        if !self.is_probe_set && !self.stores.out_of_reach().is_empty() {
            self.is_probe_set = true;
            self.clock.set(self.now + PROBE_PERIOD, Timer::ProbeStores);
        }
    }

    pub(crate) fn probe_stores(&mut self) {
        self.is_probe_set = false;
        for store in self.stores.out_of_reach() {
            self.ask(&store, Purpose::Probe, StoreRequest::Look { names: Vec::new() });
        }
        self.probe_later();
    }

    fn call_answered(&mut self, call: Call, response: StoreResponse) {
        let Call { store, purpose, at } = call;
        self.stores.answered(&store, self.now.saturating_sub(at));
        if matches!(purpose, Purpose::Append(_) | Purpose::Confirm(..)) {
            self.leases.renewed(&store, at, self.now);
        }
        match (purpose, response) {
            (Purpose::List(key), StoreResponse::OpenMessages { names, .. }) => self.listed(key, store, names),
            (Purpose::Append(key) | Purpose::AppendCopy(key), StoreResponse::Done { .. }) => {
                self.appended(key, store);
            }
            (Purpose::Append(key) | Purpose::AppendCopy(key), StoreResponse::Statuses { .. }) => {
                if let Some(message) = self.messages.get_mut(&key) {
                    message.has_moved_on = true;
                }
                self.appended(key, store);
            }
            (Purpose::Settle(keys), StoreResponse::Done { .. }) => self.settled(&keys, &store),
            (Purpose::Check(key, names), StoreResponse::Statuses { statuses, .. }) => {
                self.predecessors_checked(key, store, names, statuses);
            }
            (Purpose::Adopt(keys), StoreResponse::Statuses { statuses, .. }) => {
                self.orphans_checked(&keys, &store, statuses);
            }
            (Purpose::Confirm(key, attempt), StoreResponse::Statuses { statuses, .. }) => {
                self.confirmed(key, attempt, store, statuses.into_iter().next());
            }
            (Purpose::Claim(key, name), StoreResponse::Done { .. }) => self.claim_granted(key, name, store),
            _ => {}
        }
    }

    fn call_declined(&mut self, call: Call, reason: Decline) {
        if !matches!(reason, Decline::AlreadyClaimed | Decline::OwnerHoldsLease) {
            self.stores.declined(&call.store, self.now);
        }
        match call.purpose {
            Purpose::List(key) => self.listing_failed(key),
            Purpose::Append(key) => self.append_declined(key, call.store),
            Purpose::Claim(key, _) if reason == Decline::AlreadyClaimed => self.claim_refused(key),
            Purpose::Settle(keys) => self.settle_failed(&keys),
            // Timers that were set with these see to what is missing.
            Purpose::AppendCopy(_)
            | Purpose::Check(..)
            | Purpose::Adopt(_)
            | Purpose::Claim(..)
            | Purpose::Release(_)
            | Purpose::Confirm(..)
            | Purpose::Probe => {}
        }
    }
}
