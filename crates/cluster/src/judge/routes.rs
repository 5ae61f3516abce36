//! Routes that changes drop and add: when a message has ended with its route, and when it may run no more.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;

use crate::configuration::{PASSING, passing_routes};
use crate::operators::Change;
use crate::plan::SECOND;

/// `configApplyMs`.
const APPLIED_WITHIN: Micros = 3 * SECOND;

/// A time in which a route was not in force.
#[derive(Clone, Copy, Debug)]
struct Absence {
    from: Micros,
    until: Micros,
}

/// What is known of the routes that changes drop and add.
#[derive(Default)]
pub struct Routes {
    newest: u64,
    absences: BTreeMap<&'static str, Vec<Absence>>,
    /// When the newest change without the route was acknowledged, and no change with it was sent since.
    dropped_at: BTreeMap<&'static str, Micros>,
    newest_acknowledged: u64,
    /// The highest version of a change with the route that was sent.
    offered: BTreeMap<&'static str, u64>,
}

impl Routes {
    /// A change is sent: its routes may be in force from now on.
    pub fn sent(&mut self, change: &Change) {
        for route in &change.passing {
            self.dropped_at.remove(route);
            let offered = self.offered.entry(route).or_default();
            *offered = change.version.max(*offered);
        }
    }

    /// A change is acknowledged.
    pub fn acknowledged(&mut self, now: Micros, change: &Change) {
        if change.version <= self.newest_acknowledged {
            return;
        }
        self.newest_acknowledged = change.version;
        for route in PASSING {
            let may_return = self.offered.get(route).is_some_and(|offered| *offered > change.version);
            if change.passing.contains(&route) || may_return {
                self.dropped_at.remove(route);
            } else {
                self.dropped_at.entry(route).or_insert(now);
            }
        }
    }

    /// A configuration is in force somewhere for the first time.
    pub fn in_force(&mut self, now: Micros, version: u64, text: &[u8]) {
        if version <= self.newest {
            return;
        }
        self.newest = version;
        let present = passing_routes(text);
        for route in PASSING {
            let absences = self.absences.entry(route).or_default();
            let open = absences.last_mut().filter(|absence| absence.until == Micros::MAX);
            match (open, present.contains(&route)) {
                (Some(absence), true) => absence.until = now,
                (None, false) => absences.push(Absence { from: now, until: Micros::MAX }),
                _ => {}
            }
        }
    }

    /// Whether a configuration may have dropped the route of a message that was sent then.
    pub fn may_have_dropped(&self, route: &str, sent_at: Micros, now: Micros) -> bool {
        let absences = self.absences.get(route).into_iter().flatten();
        absences.into_iter().any(|absence| absence.until >= sent_at && absence.from <= now)
    }

    /// Whether every relay in touch knows that the route of a message that was sent then is gone.
    pub fn is_gone(&self, route: &str, sent_at: Micros) -> bool {
        self.dropped_at.get(route).is_some_and(|at| sent_at > at + APPLIED_WITHIN)
    }
}
