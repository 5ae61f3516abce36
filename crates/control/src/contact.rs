//! Contact with a majority of the core, held as a lease.
//!
//! A process asks the leader for the newest index again and again. The leader answers once a majority has confirmed its
//! leadership in a round of heartbeats that began after the question came. All that was committed before the question was
//! *sent* is then covered by the answer, so the lease runs from the sending, on the asker's own monotonic clock. It needs
//! no clock of another process, and a process that stood still finds it lapsed before it does anything else.

use std::collections::VecDeque;

use pewterseam_wire::Micros;

use crate::forward::Caller;
use crate::machine::Control;
use crate::operator::{CallId, OperatorRequest, Outcome};

/// The pause before the next question after one that was not answered.
const ASK_PAUSE: Micros = 50_000;

/// Questions are sent this often in the span of contact that the settings name.
const QUESTIONS_A_SPAN: Micros = 4;

/// Contact was interrupted where no question was answered for so many periods. One answer alone may be late.
const UNANSWERED_PERIODS: Micros = 2;

/// A monotonic clock may run slow by one part of so many.
const DRIFT_PART: Micros = 200;

/// Whether this process is in touch with a majority of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It knows all that was committed up to a moment that is less than a lease ago.
    InTouch {
        /// When that lapses, unless it is renewed.
        until: Micros,
    },
    /// A majority answers, and this process does not know yet what that majority has committed.
    CatchingUp,
    /// No majority has answered a question that was sent after this moment; before the first answer, since the start.
    LostSince(Micros),
}

/// An answer of a leader that a majority confirmed after the question was sent.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    asked_at: Micros,
    index: u64,
}

/// The lease, and the questions that renew it.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    started: Micros,
    length: Micros,
    period: Micros,
    /// When the last question that a majority confirmed was sent.
    confirmed: Option<Micros>,
    /// This process knows all that was committed up to this moment.
    proven: Option<Micros>,
    /// Answers whose index is not known here yet, in the order of the questions.
    behind: VecDeque<Confirmation>,
    /// The question under way, and when it was sent first.
    asked: Option<(CallId, Micros)>,
    next_ask: Micros,
    /// What the driver was told last.
    told: Contact,
}

impl Lease {
    /// `contact`: a process that was out of touch for less than this keeps its lease.
    pub(crate) fn new(now: Micros, contact: Micros) -> Self {
        // A question may have been sent a period before contact was lost, and been on its way for another.
        let period = contact / QUESTIONS_A_SPAN;
        let length = contact + 2 * period;
        Lease {
            started: now,
            length: length - length / DRIFT_PART,
            period,
            confirmed: None,
            proven: None,
            behind: VecDeque::new(),
            asked: None,
            next_ask: now,
            told: Contact::LostSince(now),
        }
    }

    /// The end of a lease from this moment, if it has not come yet.
    fn end(&self, moment: Option<Micros>, now: Micros) -> Option<Micros> {
        moment.map(|moment| moment + self.length).filter(|end| now < *end)
    }

    /// When the last question that a majority confirmed was sent.
    pub(crate) fn confirmed(&self) -> Option<Micros> {
        self.confirmed
    }

    /// The state of contact at a moment.
    pub(crate) fn contact(&self, now: Micros) -> Contact {
        if let Some(until) = self.end(self.proven, now) {
            return Contact::InTouch { until };
        }
        match self.end(self.confirmed, now) {
            Some(_) => Contact::CatchingUp,
            None => Contact::LostSince(self.confirmed.unwrap_or(self.started)),
        }
    }

    /// When the next question is due, or the lease lapses.
    pub(crate) fn next_wake(&self, now: Micros) -> Micros {
        let ends = [self.end(self.proven, now), self.end(self.confirmed, now)];
        let ask = if self.asked.is_some() { Micros::MAX } else { self.next_ask };
        ends.into_iter().flatten().fold(ask, Micros::min)
    }

    /// Whether questions before the one that was sent then went unanswered: what else was asked meanwhile was in vain.
    fn was_interrupted(&self, asked_at: Micros) -> bool {
        self.confirmed.is_none_or(|confirmed| asked_at > confirmed + UNANSWERED_PERIODS * self.period)
    }

    fn confirm(&mut self, confirmation: Confirmation, now: Micros) {
        self.confirmed = self.confirmed.max(Some(confirmation.asked_at));
        let length = self.length;
        self.behind.retain(|waiting| now < waiting.asked_at + length);
        self.behind.push_back(confirmation);
    }

    /// This process knows the state with this index. Returns the state of contact if the driver has yet to be told.
    pub(crate) fn update(&mut self, index: u64, now: Micros) -> Option<Contact> {
        while let Some(reached) = self.behind.pop_front_if(|waiting| waiting.index <= index) {
            self.proven = self.proven.max(Some(reached.asked_at));
        }
        let contact = self.contact(now);
        let is_news = std::mem::discriminant(&contact) != std::mem::discriminant(&self.told);
        self.told = contact;
        is_news.then_some(contact)
    }
}

impl Control {
    /// Sends the next question once it is due.
    pub(crate) fn run_lease(&mut self) {
        if self.lease.asked.is_some() || self.lease.next_ask > self.now {
            return;
        }
        let request = match self.lease.contact(self.now) {
            Contact::InTouch { .. } => OperatorRequest::RenewLease,
            Contact::CatchingUp | Contact::LostSince(_) => OperatorRequest::ReadIndex,
        };
        let call = self.forward(Caller::Lease, request);
        self.lease.asked = Some((call, self.now));
        self.run_forwarder();
    }

    /// A question of this process itself has its outcome.
    pub(crate) fn lease_answered(&mut self, call: CallId, outcome: &Outcome) {
        let Some((_, asked_at)) = self.lease.asked.take_if(|(asked, _)| *asked == call) else { return };
        let Outcome::Index(index) = *outcome else {
            self.lease.next_ask = self.now + ASK_PAUSE;
            return;
        };
        if self.lease.was_interrupted(asked_at) {
            self.catch_up.contact_is_back(self.now);
        }
        self.lease.next_ask = asked_at + self.lease.period;
        self.lease.confirm(Confirmation { asked_at, index }, self.now);
        if let Some(leader) = self.leader_hint.clone() {
            self.heard_of_index(index, leader);
        }
    }
}
