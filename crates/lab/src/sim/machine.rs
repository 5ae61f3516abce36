//! What the engine drives at each relay's place: the relay's own state machine, or another with the same
//! interface.

use pewterseam::interface::{Learnt, Micros};
use pewterseam_durable::record::Record;
use pewterseam_durable::replay::History;
use pewterseam_node::io::{Input, Step};
use pewterseam_node::list::List;
use pewterseam_node::reducer::{Reducer, Room};
use pewterseam_settings::Deployment;

/// A relay without I/O.
pub trait Machine {
    fn start(&mut self, now: Micros, history: History, known: Option<List>) -> Step;
    fn step(&mut self, now: Micros, inputs: Vec<Input>) -> Step;
    /// Takes back what must not be without its record.
    fn undo(&mut self, now: Micros, step: Step) -> Step;
    /// Records that tell of all that is on hand, and the next message's number.
    fn records(&self) -> (u64, Vec<Record>);
    /// Messages on hand.
    fn held(&self) -> usize;
    /// What the next process may use, and takes before its start.
    fn learnt(&self) -> Option<Learnt>;
    fn recall(&mut self, learnt: Option<Learnt>);
    /// Invariants that were broken in it.
    fn broken(&self) -> u64;
}

impl Machine for Reducer {
    fn start(&mut self, now: Micros, history: History, known: Option<List>) -> Step {
        Reducer::start(self, now, history, known)
    }

    fn step(&mut self, now: Micros, inputs: Vec<Input>) -> Step {
        Reducer::step(self, now, inputs)
    }

    fn undo(&mut self, now: Micros, step: Step) -> Step {
        Reducer::undo(self, now, step)
    }

    fn records(&self) -> (u64, Vec<Record>) {
        Reducer::records(self)
    }

    fn held(&self) -> usize {
        Reducer::held(self)
    }

    fn learnt(&self) -> Option<Learnt> {
        Some(Reducer::learnt(self))
    }

    fn recall(&mut self, learnt: Option<Learnt>) {
        Reducer::recall(self, learnt);
    }

    fn broken(&self) -> u64 {
        self.counters().invariants_broken
    }
}

/// Makes the machine of one process.
pub trait Variant: Sync {
    fn name(&self) -> &'static str;
    fn machine(&self, deployment: Deployment, seed: u64, room: Room) -> Box<dyn Machine>;
}

/// The relay as it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct AsItIs;

impl Variant for AsItIs {
    fn name(&self) -> &'static str {
        "pewterseam"
    }

    fn machine(&self, deployment: Deployment, seed: u64, room: Room) -> Box<dyn Machine> {
        Box::new(Reducer::new(deployment, seed, room))
    }
}
