//! How a committed entry reaches the processes outside the core.
//!
//! A short entry goes from the leader to each of them. A long one is passed on along a tree, so that no link carries more
//! than a few copies: a leader whose link is full of one entry is heard by nobody, and counts as dead. The tree runs
//! through one process of each zone, then through the processes of that zone. Who is left out, as the process above it
//! is gone, hears of the index through membership or its lease, and fetches.

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam_wire::identity::{NodeName, Role};

use crate::entry::Entry;
use crate::machine::Control;
use crate::message::ControlMessage;
use crate::transfer::PIECE_BYTES;

/// Bytes of one entry that a process sends at once, all copies together, without help by others.
const DIRECT_BYTES: usize = 64 * 1024;

/// Copies of a long entry that a process sends within its zone.
const FAN_OUT: usize = 4;

impl Control {
    /// Tells all processes outside the core.
    pub(crate) fn spread_commit(&mut self, entry: &Entry) {
        let core = &self.replica.committed.core;
        let is_core = |name: &NodeName| core.voters().any(|member| member.name == *name);
        let names = self.peers.live().map(|peer| &peer.info.name);
        let is_other = |name: &&NodeName| **name != self.name && !is_core(name);
        let mut others: Vec<NodeName> = names.filter(is_other).cloned().collect();
        // Another process of each zone is the first one with each entry.
        let from = (entry.stamp.index as usize).checked_rem(others.len()).unwrap_or(0);
        others.rotate_left(from);
        self.spread(entry, &self.name.clone(), others);
    }

    /// Tells all others of a long entry before anything of it is sent. Word of an entry travels faster than a long one:
    /// whoever hears of its index elsewhere would ask for it meanwhile.
    pub(crate) fn announce(&mut self, entry: &Entry) {
        if entry.size() <= PIECE_BYTES {
            return;
        }
        let (index, bytes) = (entry.stamp.index, entry.size() as u64);
        let names = self.peers.live().map(|peer| peer.info.name.clone());
        let others: Vec<NodeName> = names.filter(|name| *name != self.name).collect();
        for name in others {
            self.send(name, ControlMessage::Announce { index, bytes });
        }
    }

    /// An entry was passed on to this process.
    pub(crate) fn pushed(&mut self, from: &NodeName, entry: Entry, leader: NodeName, others: Vec<NodeName>) {
        self.spread(&entry, &leader, others);
        self.leader_hint = Some(leader);
        let index = entry.stamp.index;
        if index > self.replica.committed.stamp.index && self.replica.learn(entry, &mut self.effects).is_err()
        {
            self.heard_of_index(index, from.clone());
        }
    }

    /// Sends an entry to some of the receivers, which send it to the others.
    fn spread(&mut self, entry: &Entry, leader: &NodeName, receivers: Vec<NodeName>) {
        for mut branch in self.branches(entry, receivers) {
            let others = branch.split_off(1);
            for to in branch {
                let (entry, leader, others) = (entry.clone(), leader.clone(), others.clone());
                self.send(to, ControlMessage::Push { entry, leader, others });
            }
        }
    }

    /// The parts of the tree below this process, none of them empty. The first of each is sent the entry.
    fn branches(&self, entry: &Entry, mut receivers: Vec<NodeName>) -> Vec<Vec<NodeName>> {
        let copies = receivers.len();
        if copies * entry.size() <= DIRECT_BYTES || copies <= FAN_OUT {
            return receivers.into_iter().map(|name| vec![name]).collect();
        }
        receivers.sort_by_key(|name| self.rank(name));
        let mut zones: BTreeMap<Option<Arc<str>>, Vec<NodeName>> = BTreeMap::new();
        for name in &receivers {
            let zone = self.peers.get(name).map(|peer| peer.info.zone.clone());
            zones.entry(zone).or_default().push(name.clone());
        }
        if zones.len() > 1 {
            return zones.into_values().collect();
        }
        let mut branches = vec![Vec::new(); FAN_OUT];
        for (place, name) in receivers.into_iter().enumerate() {
            branches[place % FAN_OUT].push(name);
        }
        branches
    }

    /// Who passes entries on before others: one that is known to be gone passes nothing on, and the link of a store's
    /// machine is made for the bodies of several relays, while clients wait behind that of a relay.
    fn rank(&self, name: &NodeName) -> u8 {
        match self.peers.get(name).filter(|peer| peer.is_live) {
            Some(peer) if peer.info.role == Role::Store => 0,
            Some(_) => 1,
            None => 2,
        }
    }
}
