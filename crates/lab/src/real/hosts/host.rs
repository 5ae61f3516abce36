//! One host: a call's way through it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pewterseam::interface::Micros;
use tokio::sync::watch;
use tokio::time::sleep_until;

use super::capacity::Capacity;
use super::destination::Destination;
use super::trouble::Condition;
use crate::plan::{ClassPlan, EffectPlan};
use crate::real::book::Book;
use crate::real::clock::micros;
use crate::real::draws::{Draws, between, happens};
use crate::story::{CallNumber, Ending, Happened, HostNumber};

/// Part of the calls that a host sees through though their callers have left.
const SEEN_THROUGH: f64 = 0.5;

/// A host and what is wrong with it.
pub struct Host {
    pub number: HostNumber,
    pub zone: usize,
    pub destination: Rc<Destination>,
    pub book: Rc<Book>,
    capacity: RefCell<Capacity>,
    condition: watch::Sender<Condition>,
    refuses: watch::Sender<bool>,
    draws: RefCell<Draws>,
}

/// A call that has arrived whole.
pub struct Call {
    pub number: CallNumber,
    pub key: Option<String>,
}

/// How far a call has come.
#[derive(Debug, Default)]
pub struct Progress {
    /// It was let through, and its effect is under way.
    begun: Cell<bool>,
    ran: Cell<bool>,
}

impl Progress {
    pub fn ran(&self) -> bool {
        self.ran.get()
    }
}

/// What a call came to; none where no answer is ever written.
pub type Answered = Option<Ending>;

impl Host {
    pub fn new(
        number: HostNumber, zone: usize, destination: Rc<Destination>, book: Rc<Book>, draws: Draws,
        is_there: bool,
    ) -> Self {
        let plan = &destination.plan;
        let capacity = Capacity::new(destination.full(), plan.cold_share, micros(plan.cold_s));
        let condition = Condition { gone: !is_there, ..Condition::default() };
        Host {
            number,
            zone,
            destination,
            book,
            capacity: RefCell::new(capacity),
            condition: watch::Sender::new(condition),
            refuses: watch::Sender::new(condition.takes_no_connections()),
            draws: RefCell::new(draws),
        }
    }

    pub fn condition(&self) -> Condition {
        *self.condition.borrow()
    }

    /// Tells of each change from now on.
    pub fn changes(&self) -> watch::Receiver<Condition> {
        self.condition.subscribe()
    }

    /// Whether it takes no connections.
    pub fn refuses(&self) -> watch::Receiver<bool> {
        self.refuses.subscribe()
    }

    /// What is wrong with it from now on. What comes back from an outage is cold.
    pub fn suffer(&self, condition: Condition) {
        let before = self.condition();
        let now = self.book.clock.now();
        if before.is_out() && !condition.is_out() && !before.gone {
            self.capacity.borrow_mut().back(now);
        }
        if before != condition {
            self.refuses.send_replace(condition.takes_no_connections());
            self.condition.send_replace(condition);
            self.tell_capacity();
        }
    }

    /// Tells what it can do now.
    pub fn tell_capacity(&self) {
        let (now, condition) = (self.book.clock.now(), self.condition());
        let rate = if condition.is_out() { 0.0 } else { self.capacity.borrow().rate(now, condition.slow) };
        self.book.tell_at(now, Happened::Capacity { host: self.number, a_second: rate });
    }

    pub fn is_cold(&self) -> bool {
        !self.condition().is_out() && self.capacity.borrow().is_cold(self.book.clock.now())
    }

    /// Has a call run, and notes how far it has come.
    pub async fn run(&self, call: &Call, class: &ClassPlan, progress: &Progress) -> Answered {
        let condition = self.condition();
        let now = self.book.clock.now();
        if condition.is_out() {
            return None;
        }
        if let Err(wait) = self.destination.take(now) {
            return Some(Ending::Refused { wait });
        }
        let Ok(begins) = self.capacity.borrow_mut().admit(now, condition.slow) else {
            return Some(Ending::Refused { wait: 0 });
        };
        progress.begun.set(true);
        let [least, most] = self.destination.plan.answer_ms;
        let (took, part, fails, fails_before, lost) = {
            let draws = &mut *self.draws.borrow_mut();
            let took = between(draws, least, most) * 1e3 * condition.slow;
            let fails = happens(draws, condition.failing);
            let fails_before = happens(draws, 0.5);
            (took, between(draws, 0.0, 1.0), fails, fails_before, happens(draws, condition.answers_lost))
        };
        let at = |part: f64| self.book.clock.instant(begins + (took * part) as Micros);
        sleep_until(at(part)).await;
        if self.condition().is_out() {
            return None;
        }
        if !(fails && fails_before) {
            self.take_effect(call, class, progress);
        }
        sleep_until(at(1.0)).await;
        match self.condition().is_out() || lost {
            true => None,
            false if fails => Some(Ending::Error),
            false => Some(Ending::Served),
        }
    }

    /// The caller of a call that is out has left. A host that has begun may see it through all the same;
    /// whether it does is told before the call's end, so that the story has it in order.
    pub fn left(&self, call: &Call, class: &ClassPlan, progress: &Progress) {
        let goes_on = progress.begun.get() && !progress.ran.get() && !self.condition().is_out();
        if goes_on && happens(&mut self.draws.borrow_mut(), SEEN_THROUGH) {
            self.take_effect(call, class, progress);
        }
    }

    /// A repeat of what is remembered is dropped and answered as the first.
    fn take_effect(&self, call: &Call, class: &ClassPlan, progress: &Progress) {
        let now = self.book.clock.now();
        let window = match class.effect {
            EffectPlan::GuardedS(window) => Some((None, window)),
            EffectPlan::GuardedInZoneS(window) => Some((Some(self.zone), window)),
            EffectPlan::Free | EffectPlan::Once => None,
        };
        if let (Some((zone, window)), Some(key)) = (window, &call.key)
            && !self.destination.memory.borrow_mut().is_first(now, zone, key, micros(window))
        {
            return;
        }
        progress.ran.set(true);
        self.book.tell_at(now, Happened::Ran { call: call.number });
    }
}
