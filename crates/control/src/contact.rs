//! Contact with a majority of the core, held as a lease.
//!
//! A process regularly asks the leader for the newest index. The leader answers once a majority has confirmed its
//! leadership in a round of heartbeats that began after the request arrived. The answer then covers everything that
//! was committed before the request was *sent*, so the lease starts at the time of sending, on the requester's own
//! monotonic clock. The lease does not depend on the clock of another process, and a process that was suspended finds
//! its lease expired before it does anything else.

use std::collections::VecDeque;

use pewterseam_wire::Micros;

use crate::forward::Caller;
use crate::machine::Control;
use crate::operator::{CallId, OperatorRequest, Outcome};

/// The delay before the next request after an unanswered one.
const RETRY_PAUSE: Micros = 50_000;

/// The number of lease requests in one `contact` timeout.
const REQUESTS_PER_CONTACT_TIMEOUT: Micros = 4;

/// Contact counts as interrupted if no request was confirmed for this many periods. A single answer may be late.
const MAX_UNCONFIRMED_PERIODS: Micros = 2;

/// The lease is shortened by one part in this many, because a monotonic clock may run slow by that much.
const CLOCK_DRIFT_DIVISOR: Micros = 200;

/// The contact of this process with a majority of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// This process knows everything that was committed up to a moment less than a lease duration ago.
    InTouch {
        /// When contact lapses unless it is renewed.
        until: Micros,
    },
    /// A majority answers, but this process does not know yet what that majority has committed.
    CatchingUp,
    /// No majority has confirmed a request that was sent after this time; before the first confirmation, the time of
    /// the start.
    LostSince(Micros),
}

/// The answer to a lease request, confirmed by a majority after the request was sent.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    requested_at: Micros,
    index: u64,
}

/// The lease, and the requests that renew it.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    started: Micros,
    duration: Micros,
    period: Micros,
    /// When the last request that a majority confirmed was sent.
    confirmed_at: Option<Micros>,
    /// This process knows everything that was committed up to this time.
    current_as_of: Option<Micros>,
    /// Confirmations whose index this process has not reached yet, in the order of the requests.
    unreached: VecDeque<Confirmation>,
    /// The unanswered request, and when it was first sent.
    pending_request: Option<(CallId, Micros)>,
    next_request_at: Micros,
    /// The contact that was last reported to the driver.
    last_reported: Contact,
}

impl Lease {
    /// `contact`: a process that was without contact for less than this time keeps its lease.
    pub(crate) fn new(now: Micros, contact: Micros) -> Self {
        // The last request may have been sent one period before contact was lost, and have been under way for another.
        let period = contact / REQUESTS_PER_CONTACT_TIMEOUT;
        let duration = contact + 2 * period;
        Lease {
            started: now,
            duration: duration - duration / CLOCK_DRIFT_DIVISOR,
            period,
            confirmed_at: None,
            current_as_of: None,
            unreached: VecDeque::new(),
            pending_request: None,
            next_request_at: now,
            last_reported: Contact::LostSince(now),
        }
    }

    /// When a lease that started at this moment ends; none if it has ended.
    fn lease_end(&self, moment: Option<Micros>, now: Micros) -> Option<Micros> {
        moment.map(|moment| moment + self.duration).filter(|end| now < *end)
    }

    /// When the last request that a majority confirmed was sent.
    pub(crate) fn confirmed_at(&self) -> Option<Micros> {
        self.confirmed_at
    }

    pub(crate) fn contact(&self, now: Micros) -> Contact {
        if let Some(until) = self.lease_end(self.current_as_of, now) {
            return Contact::InTouch { until };
        }
        match self.lease_end(self.confirmed_at, now) {
            Some(_) => Contact::CatchingUp,
            None => Contact::LostSince(self.confirmed_at.unwrap_or(self.started)),
        }
    }

    /// When the next request is due, or the lease lapses.
    pub(crate) fn next_wake(&self, now: Micros) -> Micros {
        let ends = [self.lease_end(self.current_as_of, now), self.lease_end(self.confirmed_at, now)];
        let next_request = if self.pending_request.is_some() { Micros::MAX } else { self.next_request_at };
        ends.into_iter().flatten().fold(next_request, Micros::min)
    }

    /// Whether requests before the one sent at `requested_at` went unanswered, so that other requests of that time were
    /// lost as well.
    fn was_interrupted(&self, requested_at: Micros) -> bool {
        self.confirmed_at
            .is_none_or(|confirmed_at| requested_at > confirmed_at + MAX_UNCONFIRMED_PERIODS * self.period)
    }

    fn confirm(&mut self, confirmation: Confirmation, now: Micros) {
        self.confirmed_at = self.confirmed_at.max(Some(confirmation.requested_at));
        let duration = self.duration;
        self.unreached.retain(|waiting| now < waiting.requested_at + duration);
        self.unreached.push_back(confirmation);
    }

    /// Handles that this process knows the state with this index. Returns the contact if it has changed and must be
    /// reported to the driver.
    pub(crate) fn update(&mut self, index: u64, now: Micros) -> Option<Contact> {
        while let Some(reached) = self.unreached.pop_front_if(|waiting| waiting.index <= index) {
            self.current_as_of = self.current_as_of.max(Some(reached.requested_at));
        }
        let contact = self.contact(now);
        let has_changed = std::mem::discriminant(&contact) != std::mem::discriminant(&self.last_reported);
        self.last_reported = contact;
        has_changed.then_some(contact)
    }
}

impl Control {
    /// Sends the next lease request once it is due.
    pub(crate) fn run_lease(&mut self) {
        if self.lease.pending_request.is_some() || self.lease.next_request_at > self.now {
            return;
        }
        let request = match self.lease.contact(self.now) {
            Contact::InTouch { .. } => OperatorRequest::RenewLease,
            Contact::CatchingUp | Contact::LostSince(_) => OperatorRequest::ReadIndex,
        };
        let call = self.forward(Caller::Lease, request);
        self.lease.pending_request = Some((call, self.now));
        self.run_forwarder();
    }

    /// Handles the outcome of a lease request.
    pub(crate) fn lease_answered(&mut self, call: CallId, outcome: &Outcome) {
        let Some((_, requested_at)) = self.lease.pending_request.take_if(|(pending, _)| *pending == call)
        else {
            return;
        };
        let Outcome::Index(index) = *outcome else {
            self.lease.next_request_at = self.now + RETRY_PAUSE;
            return;
        };
        if self.lease.was_interrupted(requested_at) {
            self.catch_up.contact_restored(self.now);
        }
        self.lease.next_request_at = requested_at + self.lease.period;
        self.lease.confirm(Confirmation { requested_at, index }, self.now);
        if let Some(leader) = self.leader_hint.clone() {
            self.note_known_index(index, leader);
        }
    }
}
