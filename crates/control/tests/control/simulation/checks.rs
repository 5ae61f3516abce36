//! What must hold, whatever happens.

use std::collections::BTreeMap;

use bytes::Bytes;
use pewterseam_control::{Contact, CoreMember};
use pewterseam_wire::control::ControlState;

/// For so long a confirmed question counts under the settings of the simulation.
pub const LEASE: u64 = 5_970_000;

/// One life of a node.
type NodeLife = (usize, u64);

/// Gathers what was seen and what broke.
#[derive(Default)]
pub struct Checks {
    /// The committed states that any process put in force, by index.
    states: BTreeMap<u64, (u64, Bytes)>,
    /// The index in force at each node in its life.
    last: BTreeMap<usize, u64>,
    /// Accepted changes: what each was made on top of.
    accepted: BTreeMap<u64, (u64, Bytes)>,
    /// Whom each member promised each epoch.
    promises: BTreeMap<(CoreMember, u64), NodeLife>,
    /// Who led each epoch.
    leaders: BTreeMap<u64, NodeLife>,
    pub broken: Vec<String>,
    /// What each node was told of its contact last.
    contacts: BTreeMap<usize, Contact>,
    /// How often a node that was in touch was told that it is so no longer.
    pub lapses: usize,
    newest_acknowledged: u64,
    pub now: u64,
    /// When each version that was newer than all before was acknowledged.
    acknowledgements: Vec<(u64, u64)>,
    /// What was in the texts of changes that were refused.
    refused: Vec<String>,
}

impl Checks {
    pub fn started(&mut self, node: usize) {
        self.last.remove(&node);
        self.contacts.remove(&node);
    }

    pub fn contact(&mut self, node: usize, contact: Contact) {
        if let Some(Contact::InTouch { .. }) = self.contacts.insert(node, contact) {
            self.lapses += 1;
        }
    }

    pub fn in_force(&mut self, node: usize, state: &ControlState) {
        let seen = (state.config.version, state.config.text.clone());
        let known = self.states.entry(state.index).or_insert_with(|| seen.clone());
        if *known != seen {
            self.broken.push(format!("index {} is version {} and version {}", state.index, known.0, seen.0));
        }
        let last = self.last.insert(node, state.index).unwrap_or(0);
        if last >= state.index {
            self.broken.push(format!("node {node} went from index {last} to {}", state.index));
        }
    }

    /// A member promised an epoch to one life of a candidate.
    pub fn promised(&mut self, member: &CoreMember, epoch: u64, candidate: NodeLife) {
        let first = *self.promises.entry((member.clone(), epoch)).or_insert(candidate);
        if first != candidate {
            let name = &member.name;
            self.broken.push(format!("{name} promised epoch {epoch} to {first:?} and to {candidate:?}"));
        }
    }

    /// A node led an epoch in one of its lives.
    pub fn led(&mut self, epoch: u64, leader: NodeLife) {
        let first = *self.leaders.entry(epoch).or_insert(leader);
        if first != leader {
            self.broken.push(format!("epoch {epoch} was led by {first:?} and by {leader:?}"));
            self.leaders.insert(epoch, leader);
        }
    }

    /// A change was acknowledged to an operator.
    pub fn acknowledged(&mut self, if_match: u64, version: u64, change: &Bytes) {
        let entry = self.accepted.entry(if_match).or_insert_with(|| (version, change.clone()));
        if *entry != (version, change.clone()) {
            self.broken.push(format!(
                "versions {} and {version} were both acknowledged on top of {if_match}",
                entry.0
            ));
        }
        if version > self.newest_acknowledged {
            self.newest_acknowledged = version;
            self.acknowledgements.push((self.now, version));
        }
        if !self.states.values().any(|(known, _)| *known == version) {
            self.broken.push(format!("version {version} was acknowledged and is in no committed state"));
        }
    }

    /// An order that had been acknowledged was refused.
    pub fn refused_again(&mut self, version: u64) {
        self.broken.push(format!("version {version} was acknowledged before and refused now"));
    }

    /// A change whose text has this in it was refused for good: it is not in force, and will not be.
    pub fn refused(&mut self, note: String) {
        self.refused.push(note);
    }

    /// A node that says it is in touch knows all that was acknowledged up to a lease before its contact lapses.
    pub fn in_touch(&mut self, node: usize, contact: Contact, version: u64) {
        let Contact::InTouch { until } = contact else { return };
        let before = self.acknowledgements.partition_point(|(at, _)| at + LEASE < until);
        let needed = self.acknowledgements[..before].last().map_or(0, |(_, version)| *version);
        if version < needed {
            self.broken.push(format!("node {node} is in touch with version {version} and lacks {needed}"));
        }
    }

    /// A read that began when this version had been acknowledged.
    pub fn read(&mut self, acknowledged_before: u64, version: u64) {
        if version < acknowledged_before {
            self.broken
                .push(format!("version {version} was read after {acknowledged_before} was acknowledged"));
        }
    }

    pub fn newest_acknowledged(&self) -> u64 {
        self.newest_acknowledged
    }

    /// At the end: versions rise with the index, each with one text, and the newest acknowledged one is there.
    pub fn finish(&mut self) {
        let mut last = 0;
        let mut texts: BTreeMap<u64, Bytes> = BTreeMap::new();
        for (index, (version, text)) in &self.states {
            if *version < last {
                self.broken.push(format!("index {index} has version {version} after {last}"));
            }
            if texts.entry(*version).or_insert_with(|| text.clone()) != text {
                self.broken.push(format!("version {version} has two texts"));
            }
            last = last.max(*version);
        }
        for note in &self.refused {
            if self
                .states
                .values()
                .any(|(_, text)| text.windows(note.len()).any(|part| part == note.as_bytes()))
            {
                self.broken.push(format!("the change {note} was refused and came in force"));
            }
        }
        if last < self.newest_acknowledged {
            self.broken.push(format!("version {} was acknowledged and is lost", self.newest_acknowledged));
        }
    }
}
