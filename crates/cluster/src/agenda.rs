//! What is to happen, in order of time.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;

use crate::event::Event;

/// Events by time; those of one moment in the order in which they were added.
#[derive(Default)]
pub struct Agenda {
    events: BTreeMap<(Micros, u64), Event>,
    last: u64,
}

impl Agenda {
    pub fn add(&mut self, at: Micros, event: Event) {
        self.last += 1;
        self.events.insert((at, self.last), event);
    }

    /// The next event up to a moment.
    pub fn pop(&mut self, until: Micros) -> Option<(Micros, Event)> {
        let entry = self.events.first_entry().filter(|entry| entry.key().0 <= until)?;
        let ((at, _), event) = entry.remove_entry();
        Some((at, event))
    }
}
