//! What `/status` shows.

use serde::Serialize;

use super::Machine;
use crate::counters::Counters;
use crate::decision::{Pin, Plan};
use crate::interface::DestinationId;

/// One relay's view of failover.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Destinations that are not near everywhere: the epoch and the plan, whose grounds are with the fleet's
    /// decisions in force.
    pub moved: Vec<(DestinationId, u64, Plan)>,
    pub pins: Vec<Pin>,
    /// Destinations that this relay is a home of.
    pub home_of: usize,
    pub counters: Counters,
}

impl Machine {
    pub fn status(&self) -> Status {
        let moved = self
            .held
            .iter()
            .filter_map(|(destination, held)| Some((*destination, held.epoch.0, held.plan.clone()?)));
        Status {
            moved: moved.collect(),
            pins: self.pins.values().cloned().collect(),
            home_of: self.homes.len(),
            counters: self.counters,
        }
    }
}
