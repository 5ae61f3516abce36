//! Days that outlast `retentionS` and `statusTtlS`: stores are killed early, and miss ends; relays stop, as planned, long
//! after.

use pewterseam_wire::Micros;
use pewterseam_wire::identity::Role;

use crate::event::Event;
use crate::faults::Fault;
use crate::plan::SECOND;
use crate::world::World;

const LEAST_KILLS: usize = 4;
const MORE_KILLS: usize = 6;
/// Stores are killed within this time of the first request.
const KILLS_END: Micros = 20 * SECOND;
/// Every relay stops once from then on.
const STOPS_BEGIN: Micros = 36 * SECOND;
const STOP_PAUSE: Micros = 3 * SECOND;

impl World {
    /// Draws kills of stores, and then stops of all relays, one after the other.
    pub(crate) fn draw_faults_of_a_long_day(&mut self) {
        let stores = self.machines_of(Role::Store);
        for _ in 0..LEAST_KILLS + self.random.below(MORE_KILLS) {
            let machine = stores[self.random.below(stores.len())];
            let at = self.traffic_begins + self.random.below(KILLS_END as usize) as Micros;
            self.agenda.add(at, Event::Fault(Fault::Kill { machine }));
        }
        let mut at = self.traffic_begins + STOPS_BEGIN;
        for machine in self.machines_of(Role::Relay) {
            self.agenda.add(at, Event::Fault(Fault::Stop { machine }));
            at += STOP_PAUSE;
        }
    }
}
