//! What all hosts of a destination share.

use std::cell::RefCell;

use pewterseam::interface::Micros;

use super::limit::Limit;
use super::memory::Memory;
use crate::plan::DestinationPlan;

/// Another firm's system behind its hosts.
pub struct Destination {
    pub plan: DestinationPlan,
    pub limit: Option<RefCell<Limit>>,
    pub memory: RefCell<Memory>,
}

impl Destination {
    pub fn new(plan: &DestinationPlan) -> Self {
        let limit = plan.limit_a_second.map(|limit| RefCell::new(Limit::new(limit)));
        Destination { plan: plan.clone(), limit, memory: RefCell::default() }
    }

    /// Answers a second that each host has when warm.
    pub fn full(&self) -> f64 {
        self.plan.answers_a_second / f64::from(self.plan.hosts.max(1))
    }

    /// The calls a second that discovery lists with each host: what all of them take together.
    pub fn hint(&self) -> f64 {
        self.plan.limit_a_second.unwrap_or(self.plan.answers_a_second)
    }

    /// Lets a call through, or gives how long to wait.
    pub fn take(&self, now: Micros) -> Result<(), Micros> {
        self.limit.as_ref().map_or(Ok(()), |limit| limit.borrow_mut().take(now))
    }

    /// The load report that answers carry, where there is a limit: what is left of it, and itself.
    pub fn report(&self, now: Micros) -> Option<String> {
        let mut limit = self.limit.as_ref()?.borrow_mut();
        Some(format!("x0={:.3},x1={:.3}", limit.left(now), limit.rate()))
    }
}
