//! What `/status` tells of variants.

use serde::Serialize;

use super::Machine;
use crate::counters::Counters;

/// A class with a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClassStatus {
    pub class: String,
    pub revision: u64,
    pub epoch: u64,
    pub in_force: bool,
    /// Places in `apart` that belong to the key by now.
    pub narrowed: Vec<u16>,
}

/// What is proposed, with its grounds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Proposal {
    pub class: String,
    pub part: u16,
    pub field: Option<String>,
    pub pairs: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    pub classes: Vec<ClassStatus>,
    pub proposals: Vec<Proposal>,
    /// Epoch and number of the owners in force, and whether this relay knows all that earlier ones knew.
    pub owners_epoch: u64,
    pub owners: usize,
    pub handed_over: bool,
    /// Messages of this relay that are claimed or wait.
    pub messages: usize,
    pub counters: Counters,
}

impl Machine {
    pub fn status(&self) -> Status {
        let class = |(class, of): (&String, &super::in_force::OfClass)| ClassStatus {
            class: class.clone(),
            revision: of.decided.revision,
            epoch: of.epoch.0,
            in_force: of.decided.rule.is_some(),
            narrowed: of.narrowed_parts().into_iter().collect(),
        };
        let proposal = |of: &crate::learning::Suggestion| Proposal {
            class: of.class.clone(),
            part: of.part,
            field: of.field.clone(),
            pairs: of.pairs,
        };
        Status {
            classes: self.in_force.classes().map(class).collect(),
            proposals: self.suggested.values().map(proposal).collect(),
            owners_epoch: self.handover.epoch().0,
            owners: self.handover.seats().len(),
            handed_over: self.handover.is_complete(),
            messages: self.messages.len(),
            counters: self.counters(),
        }
    }
}
