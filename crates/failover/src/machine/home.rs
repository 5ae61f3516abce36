//! What a home holds of a destination.

use std::collections::BTreeMap;

use crate::decision::{Sides, States};
use crate::evidence::Sums;
use crate::interface::{Micros, ZoneId};

/// At a home of the destination.
#[derive(Clone, Debug, Default)]
pub struct Home {
    pub sums: Sums,
    pub states: States,
    /// What would be right, and since when it is something else than what is in force.
    pub wanted: Sides,
    pub since: Option<Micros>,
    /// A proposal is out, or was refused and is made again then.
    pub out: bool,
    pub again: Micros,
    /// What was told of hosts, in thousandths, and in which slot it was told last.
    pub words: BTreeMap<ZoneId, (u16, u64)>,
}

impl Home {
    /// Something was decided: what is wanted is measured against that from now on.
    pub fn decided(&mut self) {
        self.since = None;
    }

    pub fn proposed(&mut self, again: Micros) {
        self.out = false;
        self.again = again;
    }
}
