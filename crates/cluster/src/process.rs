//! A process of either kind.

use pewterseam_wire::{Micros, WallMicros};

use crate::event::{Input, Output};
use crate::node::{FIRST_MOMENT, Node};
use crate::relay::RelayProcess;
use crate::store::StoreProcess;

/// The state machines of one process.
pub enum Machines {
    Relay(Box<RelayProcess>),
    Store(Box<StoreProcess>),
}

/// A process at work.
pub struct Process {
    pub machines: Machines,
    started_at: Micros,
}

impl Process {
    pub fn new(machines: Machines, started_at: Micros) -> Self {
        Process { machines, started_at }
    }

    pub fn node(&mut self) -> &mut Node {
        match &mut self.machines {
            Machines::Relay(relay) => &mut relay.node,
            Machines::Store(store) => &mut store.node,
        }
    }

    /// Takes an input, does what is due, and gives what is to be done.
    pub fn step(&mut self, now: Micros, wall: WallMicros, input: Input) -> Vec<Output> {
        let local = FIRST_MOMENT + (now - self.started_at);
        let node = self.node();
        (node.now, node.wall) = (local, wall);
        match input {
            Input::Datagram { from, bytes } => node.datagram(from, &bytes),
            input => match &mut self.machines {
                Machines::Relay(relay) => relay.input(input),
                Machines::Store(store) => store.input(input),
            },
        }
        match &mut self.machines {
            Machines::Relay(relay) => relay.work(),
            Machines::Store(store) => store.work(),
        }
        std::mem::take(&mut self.node().out)
    }

    /// When it wants to be woken, in simulated time.
    pub fn next_wake(&self) -> Micros {
        let local = match &self.machines {
            Machines::Relay(relay) => relay.next_wake(),
            Machines::Store(store) => store.next_wake(),
        };
        local.saturating_sub(FIRST_MOMENT).saturating_add(self.started_at)
    }
}
