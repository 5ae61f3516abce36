//! The invariants that must hold in every run.

use std::collections::BTreeMap;

use bytes::Bytes;
use pewterseam_control::{Contact, CoreMember};
use pewterseam_wire::control::ControlState;

/// The duration of a lease under the settings of the simulation.
pub const LEASE_DURATION: u64 = 5_970_000;

/// One process of a node: the node and the number of its life.
type NodeLife = (usize, u64);

/// Collects observations and the violations found in them.
#[derive(Clone, Default)]
pub struct Checks {
    /// The committed states that any process put in force, by index.
    states: BTreeMap<u64, (u64, Bytes)>,
    /// The last index in force at each node in its present life.
    last: BTreeMap<usize, u64>,
    /// The accepted changes by the version that they are based on, each with its resulting version and its bytes.
    accepted: BTreeMap<u64, (u64, Bytes)>,
    /// The candidate to which each member promised each epoch.
    promises: BTreeMap<(CoreMember, u64), NodeLife>,
    /// The leader of each epoch.
    leaders: BTreeMap<u64, NodeLife>,
    pub violations: Vec<String>,
    /// The contact that was last reported to each node.
    contacts: BTreeMap<usize, Contact>,
    /// How often a node that was in contact was reported to have lost it.
    pub contact_losses: usize,
    newest_acknowledged: u64,
    pub now: u64,
    /// When each version was acknowledged that was newer than all before.
    acknowledgements: Vec<(u64, u64)>,
    /// Notes in the texts of changes that were rejected.
    refused: Vec<String>,
}

impl Checks {
    pub fn started(&mut self, node: usize) {
        self.last.remove(&node);
        self.contacts.remove(&node);
    }

    pub fn contact(&mut self, node: usize, contact: Contact) {
        if let Some(Contact::InTouch { .. }) = self.contacts.insert(node, contact) {
            self.contact_losses += 1;
        }
    }

    pub fn in_force(&mut self, node: usize, state: &ControlState) {
        let seen = (state.config.version, state.config.text.clone());
        let known = self.states.entry(state.index).or_insert_with(|| seen.clone());
        if *known != seen {
            self.violations
                .push(format!("index {} is version {} and version {}", state.index, known.0, seen.0));
        }
        let last = self.last.insert(node, state.index).unwrap_or(0);
        if last >= state.index {
            self.violations.push(format!("node {node} went from index {last} to {}", state.index));
        }
    }

    /// Records that a member promised an epoch to one process of a candidate.
    pub fn promised(&mut self, member: &CoreMember, epoch: u64, candidate: NodeLife) {
        let first = *self.promises.entry((member.clone(), epoch)).or_insert(candidate);
        if first != candidate {
            let name = &member.name;
            self.violations.push(format!("{name} promised epoch {epoch} to {first:?} and to {candidate:?}"));
        }
    }

    /// Records that a process of a node led an epoch.
    pub fn led(&mut self, epoch: u64, leader: NodeLife) {
        let first = *self.leaders.entry(epoch).or_insert(leader);
        if first != leader {
            self.violations.push(format!("epoch {epoch} was led by {first:?} and by {leader:?}"));
            self.leaders.insert(epoch, leader);
        }
    }

    /// Records that a change was acknowledged to an operator.
    pub fn acknowledged(&mut self, if_match: u64, version: u64, change: &Bytes) {
        let entry = self.accepted.entry(if_match).or_insert_with(|| (version, change.clone()));
        if *entry != (version, change.clone()) {
            self.violations.push(format!(
                "versions {} and {version} were both acknowledged on top of {if_match}",
                entry.0
            ));
        }
        if version > self.newest_acknowledged {
            self.newest_acknowledged = version;
            self.acknowledgements.push((self.now, version));
        }
        if !self.states.values().any(|(known, _)| *known == version) {
            self.violations.push(format!("version {version} was acknowledged and is in no committed state"));
        }
    }

    /// Records that an order was rejected after it had been acknowledged.
    pub fn rejected_after_acknowledgement(&mut self, version: u64) {
        self.violations.push(format!("version {version} was acknowledged before and is rejected now"));
    }

    /// Records that a change whose text contains this note was rejected finally: it is not in force and must never
    /// come into force.
    pub fn refused(&mut self, note: String) {
        self.refused.push(note);
    }

    /// Checks that a node in contact knows everything that was acknowledged up to one lease duration before its
    /// contact lapses.
    pub fn in_touch(&mut self, node: usize, contact: Contact, version: u64) {
        let Contact::InTouch { until } = contact else { return };
        let before = self.acknowledgements.partition_point(|(at, _)| at + LEASE_DURATION < until);
        let needed = self.acknowledgements[..before].last().map_or(0, |(_, version)| *version);
        if version < needed {
            self.violations
                .push(format!("node {node} has contact but is at version {version} instead of {needed}"));
        }
    }

    /// Checks a read that began when version `acknowledged_before` had been acknowledged.
    pub fn read(&mut self, acknowledged_before: u64, version: u64) {
        if version < acknowledged_before {
            self.violations
                .push(format!("version {version} was read after {acknowledged_before} was acknowledged"));
        }
    }

    pub fn newest_acknowledged(&self) -> u64 {
        self.newest_acknowledged
    }

    /// Final checks: versions rise with the index, each version has one text, and the newest acknowledged version is
    /// present.
    pub fn finish(&mut self) {
        let mut last = 0;
        let mut texts: BTreeMap<u64, Bytes> = BTreeMap::new();
        for (index, (version, text)) in &self.states {
            if *version < last {
                self.violations.push(format!("index {index} has version {version} after {last}"));
            }
            if texts.entry(*version).or_insert_with(|| text.clone()) != text {
                self.violations.push(format!("version {version} has two texts"));
            }
            last = last.max(*version);
        }
        for note in &self.refused {
            if self
                .states
                .values()
                .any(|(_, text)| text.windows(note.len()).any(|part| part == note.as_bytes()))
            {
                self.violations.push(format!("the change {note} was rejected but came into force"));
            }
        }
        if last < self.newest_acknowledged {
            self.violations
                .push(format!("version {} was acknowledged and is lost", self.newest_acknowledged));
        }
    }
}
