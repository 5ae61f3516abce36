//! Routes that changes drop and add: when a message has ended with its route.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;

use crate::configuration::{PASSING, passing_routes};

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
}

impl Routes {
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
}
