//! Many machines that end at one moment, and faults that strike while the last one is under repair.

use pewterseam_wire::Micros;
use pewterseam_wire::identity::Role;

use crate::event::Event;
use crate::faults::{Fault, MachineSet};
use crate::plan::{MILLISECOND, SECOND, Scenario};
use crate::world::World;

/// The next fault strikes at most so long after a machine has come back.
const REPAIR: Micros = 6 * SECOND;
const MOST_FIRST_FAULTS: usize = 3;
const MOST_STRIKES: usize = 5;
const LEAST_SPAN_MS: usize = 500;
const MORE_SPAN_MS: usize = 6_000;

impl World {
    /// Draws the first faults of a run; others follow on the return of machines.
    pub(crate) fn draw_overlapping_faults(&mut self) {
        self.strikes_left = 1 + self.random.below(MOST_STRIKES);
        for _ in 0..1 + self.random.below(MOST_FIRST_FAULTS) {
            let at = self.moment_of_traffic();
            let machines = MachineSet(self.random.draw());
            let fault = match self.random.below(3) {
                0 => Fault::KillMany(machines),
                1 => Fault::LosePowerOfMany(machines),
                _ => self.draw_strike_at_any(),
            };
            self.agenda.add(at, Event::Fault(fault));
        }
        if self.random.below(2) == 0 {
            let stores = self.machines_of(Role::Store);
            let machine = stores[self.random.below(stores.len())];
            let at = self.moment_of_traffic();
            self.agenda.add(at, Event::Fault(Fault::LoseDisk { machine }));
        }
    }

    /// A machine has come back: a second fault may strike while it is under repair.
    pub(crate) fn strike_again(&mut self, machine: usize) {
        let is_over = self.now >= self.traffic_ends || self.strikes_left == 0;
        if self.plan.scenario != Scenario::OverlappingFaults || is_over {
            return;
        }
        self.strikes_left -= 1;
        let at = self.now + self.random.below(REPAIR as usize) as Micros;
        let alike = self.machines_of(self.machines[machine].role);
        let fault = match self.random.below(4) {
            0 => self.draw_strike(machine),
            1 | 2 => {
                let other = alike[self.random.below(alike.len())];
                self.draw_strike(other)
            }
            _ => self.draw_strike_at_any(),
        };
        if at < self.traffic_ends {
            self.agenda.add(at, Event::Fault(fault));
        }
    }

    fn draw_strike_at_any(&mut self) -> Fault {
        let machine = self.random.below(self.machines.len());
        self.draw_strike(machine)
    }

    fn draw_strike(&mut self, machine: usize) -> Fault {
        let span = (LEAST_SPAN_MS + self.random.below(MORE_SPAN_MS)) as Micros * MILLISECOND;
        match self.random.below(9) {
            0 | 1 => Fault::Kill { machine },
            2 | 3 => Fault::LosePower { machine },
            4 => Fault::Freeze { machine, span },
            5 => Fault::Isolate { machine, span },
            6 => Fault::StallDisk { machine, span },
            7 => Fault::FillDisk { machine, span },
            _ => Fault::LosePowerOfMany(MachineSet(self.random.draw())),
        }
    }

    fn moment_of_traffic(&mut self) -> Micros {
        let room = (self.traffic_ends - self.traffic_begins) as usize;
        self.traffic_begins + self.random.below(room) as Micros
    }

    pub(crate) fn machines_of(&self, role: Role) -> Vec<usize> {
        (0..self.machines.len()).filter(|index| self.machines[*index].role == role).collect()
    }
}
