//! Pending requests to stores.

use std::collections::HashMap;

use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::{Decline, StoreRequest, StoreResponse};

use crate::clock::Timer;
use crate::io::{AttemptNumber, CallId, Effect, MessageKey};
use crate::machine::Queue;

/// Time after which a request that the store has not answered counts as failed.
const CALL_TIMEOUT: Micros = 1_000_000;

/// Interval between probes of an unreachable store.
const PROBE_PERIOD: Micros = 250_000;

/// The purpose of a request, which decides how its response is handled.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    List(MessageKey),
    Append(MessageKey),
    /// Like `Append`, for a message adopted from another relay. It renews no lease.
    AppendCopy(MessageKey),
    Settle(Vec<MessageKey>),
    /// Requests the status of predecessors of a message, in this order.
    Check(MessageKey, Vec<MessageName>),
    /// Requests the status of orphaned messages, in this order.
    Adopt(Vec<MessageKey>),
    Claim(MessageKey, MessageName),
    Release(Vec<MessageName>),
    /// Confirms the ownership of a message that is about to be sent.
    Confirm(MessageKey, AttemptNumber),
    /// Checks whether the store responds at all.
    Probe,
}

#[derive(Clone, Debug)]
struct Call {
    store: StoreId,
    purpose: Purpose,
    sent_at: Micros,
}

/// All pending requests.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    last_id: u64,
    open: HashMap<CallId, Call>,
}

impl Calls {
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

impl Queue {
    pub(crate) fn ask(&mut self, store: &StoreId, purpose: Purpose, request: StoreRequest) {
        self.calls.last_id += 1;
        let call = CallId(self.calls.last_id);
        self.calls.open.insert(call, Call { store: store.clone(), purpose, sent_at: self.now });
        self.clock.set(self.now + CALL_TIMEOUT, Timer::CallTimeout(call));
        self.effects.push(Effect::SendRequest { store: store.clone(), call, request: Box::new(request) });
    }

    /// Handles the response of a store.
    pub fn store_answered(&mut self, now: Micros, call: CallId, response: StoreResponse) -> Vec<Effect> {
        self.now = now;
        if let Some(call) = self.calls.open.remove(&call) {
            match response {
                StoreResponse::Declined { reason, .. } => self.call_declined(call, reason),
                // The store that was asked is gone: another disk now answers at its address.
                response if *response.store() != call.store => self.call_failed(call),
                response => self.call_answered(call, response),
            }
        }
        self.take_effects()
    }

    /// Handles a request that could not be sent, or whose connection broke.
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
        self.schedule_probe();
        match call.purpose {
            Purpose::List(key) => self.listing_failed(key),
            Purpose::Append(key) => self.append_unanswered(key, call.store),
            Purpose::Settle(keys) => self.settle_failed(&keys),
            Purpose::Release(names) => self.release_failed(call.store, names),
            // These have timers that retry them.
            Purpose::AppendCopy(_)
            | Purpose::Check(..)
            | Purpose::Adopt(_)
            | Purpose::Claim(..)
            | Purpose::Confirm(..)
            | Purpose::Probe => {}
        }
    }

    /// Schedules a probe of the unreachable stores, so that their return is noticed even when no message goes to
    /// them.
    fn schedule_probe(&mut self) {
        if !self.is_probe_scheduled && !self.stores.unreachable_stores().is_empty() {
            self.is_probe_scheduled = true;
            self.clock.set(self.now + PROBE_PERIOD, Timer::ProbeStores);
        }
    }

    pub(crate) fn probe_stores(&mut self) {
        self.is_probe_scheduled = false;
        for store in self.stores.unreachable_stores() {
            self.ask(&store, Purpose::Probe, StoreRequest::Look { names: Vec::new() });
        }
        self.schedule_probe();
    }

    fn call_answered(&mut self, call: Call, response: StoreResponse) {
        let Call { store, purpose, sent_at } = call;
        self.stores.answered(&store, self.now.saturating_sub(sent_at));
        if matches!(purpose, Purpose::Append(_) | Purpose::Confirm(..)) {
            self.leases.renewed(&store, sent_at, self.now);
        }
        match (purpose, response) {
            (Purpose::List(key), StoreResponse::OpenMessages { names, .. }) => {
                self.listing_answered(key, store, names)
            }
            (Purpose::Append(key) | Purpose::AppendCopy(key), StoreResponse::Done { .. }) => {
                self.appended(key, store);
            }
            (Purpose::Append(key) | Purpose::AppendCopy(key), StoreResponse::Statuses { .. }) => {
                if let Some(message) = self.messages.get_mut(&key) {
                    message.may_be_owned_elsewhere = true;
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
            // These have timers that retry them.
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
