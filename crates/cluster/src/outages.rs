//! Outages of whole services: no host of a service is there for seconds, and new ones begin after it.

use pewterseam_wire::Micros;

use crate::configuration::{ORDERED, PLAIN};
use crate::event::Event;
use crate::plan::MILLISECOND;
use crate::world::World;

const MOST_OUTAGES: usize = 2;
const LEAST_OUTAGE_MS: usize = 4_000;
const MORE_OUTAGE_MS: usize = 5_000;

impl World {
    /// Draws one or two outages, each of one service.
    pub(crate) fn draw_outages(&mut self) {
        for _ in 0..1 + self.random.below(MOST_OUTAGES) {
            let service = [PLAIN, ORDERED][self.random.below(2)];
            let room = (self.traffic_ends - self.traffic_begins) as usize;
            let at = self.traffic_begins + self.random.below(room) as Micros;
            let span = (LEAST_OUTAGE_MS + self.random.below(MORE_OUTAGE_MS)) as Micros * MILLISECOND;
            let returns_at = (at + span).min(self.traffic_ends);
            self.agenda.add(at, Event::ServiceEnds { service });
            self.agenda.add(returns_at, Event::ServiceReturns { service });
        }
    }
}
