//! Stores that are retired, added and replaced, and the loss of a disk right after.

use pewterseam_control::Outcome;
use pewterseam_wire::Micros;
use pewterseam_wire::identity::Role;

use crate::disk::Ending;
use crate::event::Event;
use crate::faults::Fault;
use crate::operators::{NOBODY, Question};
use crate::plan::{MILLISECOND, SECOND, Scenario};
use crate::world::World;

/// Between two questions whether a store is empty, and before an order without an answer is sent again.
const POLL: Micros = 300 * MILLISECOND;
/// The first such question comes at most so much later: messages come in while the store is empty and nobody knows.
const MOST_FIRST_PAUSE_MS: usize = 5_000;
/// An order that too few stores stand against is given again then.
const REST: Micros = SECOND;
/// `catchUpS`: so long after its return a machine counts as lost.
const CATCH_UP: Micros = 4_400 * MILLISECOND;
/// A machine returns at most so long after its end.
const LONGEST_ABSENCE: Micros = 3_050 * MILLISECOND;
/// The successor of a machine comes at most so long after the loss.
const MOST_VACANCY_MS: usize = 2_000;
/// Of the stores that were there at the start, so many may be retired.
const MOST_RETIRED: usize = 2;
const MOST_USUAL_FAULTS: usize = 4;
/// Of a hundred machines that are being emptied, so many lose their disk meanwhile.
const LOST_MEANWHILE: usize = 40;
/// They lose it within this after the order.
const MEANWHILE_MS: usize = 1_500;

/// A step of an operator who changes the set of stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scaling {
    Retire {
        machine: usize,
    },
    AskRetired {
        machine: usize,
    },
    /// A machine that was not there before.
    Add {
        machine: usize,
    },
    /// A machine is lost for good, and another takes its place under a new name.
    Replace {
        machine: usize,
        by: usize,
    },
    /// It stands where another stood.
    Succeed {
        machine: usize,
        to: usize,
    },
}

impl World {
    /// Draws what operators do to the stores, and usual faults beside it.
    pub(crate) fn draw_scaling(&mut self) {
        let mut stores = self.stores(|is_present| is_present);
        let mut spares = self.stores(|is_present| !is_present);
        for _ in 0..1 + self.random.below(MOST_RETIRED) {
            let machine = stores.swap_remove(self.random.below(stores.len()));
            self.plan_scaling(Scaling::Retire { machine });
        }
        if self.random.below(2) == 0
            && let Some(machine) = spares.pop()
        {
            self.plan_scaling(Scaling::Add { machine });
        }
        if self.random.below(2) == 0
            && let Some(by) = spares.pop()
        {
            let machine = stores[self.random.below(stores.len())];
            self.plan_scaling(Scaling::Replace { machine, by });
        }
        let count = self.random.below(MOST_USUAL_FAULTS);
        self.draw_usual_faults(count);
    }

    fn stores(&self, fits: impl Fn(bool) -> bool) -> Vec<usize> {
        let is_store = |index: &usize| {
            let machine = &self.machines[*index];
            machine.role == Role::Store && fits(machine.is_present)
        };
        (0..self.machines.len()).filter(is_store).collect()
    }

    fn plan_scaling(&mut self, scaling: Scaling) {
        let room = (self.traffic_ends - self.traffic_begins) as usize;
        let at = self.traffic_begins + self.random.below(room) as Micros;
        self.agenda.add(at, Event::Scaling(scaling));
    }

    /// A step is due.
    pub(crate) fn scale(&mut self, scaling: Scaling) {
        match scaling {
            Scaling::Retire { machine } => self.retire(machine),
            Scaling::AskRetired { machine } => self.ask_retired(machine),
            Scaling::Add { machine } => {
                self.judge.event(self.now, format!("{scaling:?}"));
                self.machines[machine].is_present = true;
                self.start_process(machine);
            }
            Scaling::Replace { machine, by } => self.replace(machine, by),
            Scaling::Succeed { machine, to } => {
                let zone = self.machines[to].zone();
                self.machines[machine].stand_in_for(zone);
                self.scale(Scaling::Add { machine });
            }
        }
    }

    fn retire(&mut self, machine: usize) {
        if self.now >= self.traffic_ends || self.machines[machine].retires {
            return;
        }
        self.judge.event(self.now, format!("order to retire machine {machine}"));
        self.ask_relay(NOBODY, Question::Retire { machine });
        self.agenda.add(self.now + REST, Event::Scaling(Scaling::Retire { machine }));
    }

    /// A relay answers the order to empty a store.
    pub(crate) fn retire_answered(&mut self, machine: usize, outcome: &Outcome) {
        self.judge.event(self.now, format!("retirement of machine {machine}: {outcome:?}"));
        if *outcome == Outcome::Retiring && !std::mem::replace(&mut self.machines[machine].retires, true) {
            let pause = POLL + self.random.below(MOST_FIRST_PAUSE_MS) as Micros * MILLISECOND;
            self.agenda.add(self.now + pause, Event::Scaling(Scaling::AskRetired { machine }));
            self.lose_disk_meanwhile(machine);
        }
    }

    /// A machine may lose its disk while it is being emptied, and come back with another one.
    fn lose_disk_meanwhile(&mut self, machine: usize) {
        if self.random.below(100) < LOST_MEANWHILE {
            let pause = self.random.below(MEANWHILE_MS) as Micros * MILLISECOND;
            self.agenda.add(self.now + pause, Event::Fault(Fault::LoseDisk { machine }));
        }
    }

    fn ask_retired(&mut self, machine: usize) {
        if self.now >= self.traffic_ends || !self.machines[machine].is_present {
            return;
        }
        self.ask_relay(NOBODY, Question::RetireState { machine });
        self.agenda.add(self.now + POLL, Event::Scaling(Scaling::AskRetired { machine }));
    }

    /// A relay tells whether a store is empty. Then its machine goes at once, and this is no loss.
    pub(crate) fn retire_state_answered(&mut self, machine: usize, outcome: &Outcome) {
        match outcome {
            Outcome::RetireState { completed: true } if self.machines[machine].is_present => {
                self.judge.store_removed(self.now, machine);
                self.remove(machine);
                self.lose_one_of_the_rest();
            }
            Outcome::UnknownStore => self.judge.retirement_forgotten(machine),
            _ => {}
        }
    }

    /// A machine goes for good, with its disk.
    fn remove(&mut self, machine: usize) {
        self.end_process(machine, Ending::Power, true);
        self.machines[machine].is_present = false;
        self.machines[machine].lose_disk();
    }

    fn replace(&mut self, machine: usize, by: usize) {
        let is_there = self.machines[machine].is_present && !self.machines[machine].retires;
        if !is_there || !self.may_lose_disk() {
            return;
        }
        self.judge.event(self.now, format!("{:?}", Scaling::Replace { machine, by }));
        self.disk_lost();
        self.judge.trouble(self.now, self.lost_until);
        let life = self.life(machine);
        self.judge.process_dies(self.now, life);
        self.remove(machine);
        let vacancy = self.random.below(MOST_VACANCY_MS) as Micros * MILLISECOND;
        self.agenda.add(self.now + vacancy, Event::Scaling(Scaling::Succeed { machine: by, to: machine }));
    }

    /// The disk of one of those left is lost, soon after another has gone, or once no other machine counts as lost.
    fn lose_one_of_the_rest(&mut self) {
        let stores = self.stores(|is_present| is_present);
        if self.random.below(3) > 0 {
            let machine = stores[self.random.below(stores.len())];
            let soon = self.random.below(2 * SECOND as usize) as Micros;
            let at = (self.now.max(self.lost_until) + soon).min(self.traffic_ends);
            self.agenda.add(at, Event::Fault(Fault::LoseDisk { machine }));
        }
    }

    /// Whether no other machine counts as lost, where stores come and go.
    pub(crate) fn may_lose_disk(&self) -> bool {
        self.plan.scenario != Scenario::ScaleIn || self.now >= self.lost_until
    }

    /// A disk is lost; its successor counts as lost for a while.
    pub(crate) fn disk_lost(&mut self) {
        self.lost_until = self.now + LONGEST_ABSENCE + CATCH_UP;
    }
}
