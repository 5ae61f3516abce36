//! How a committed entry reaches the processes outside the core.
//!
//! The leader sends a small entry to each of them. A large entry is forwarded along a tree, so that no link carries
//! more than a few copies: if one entry saturated the leader's link, no heartbeat would get through and the leader
//! would count as dead. The tree runs through one process of each zone, then through the other processes of that zone.
//! A process that gets no copy because its parent in the tree is gone learns of the index through membership or its
//! lease, and fetches the entry.

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam_wire::identity::{NodeName, Role};

use crate::entry::Entry;
use crate::machine::Control;
use crate::message::ControlMessage;
use crate::transfer::PIECE_BYTES;

/// The maximum bytes that a process sends of one entry, all copies together, before it uses the tree.
const MAX_DIRECT_BYTES: usize = 64 * 1024;

/// The number of copies of a large entry that a process sends within its zone.
const FAN_OUT: usize = 4;

impl Control {
    /// Sends a committed entry to all processes outside the core.
    pub(crate) fn distribute_commit(&mut self, entry: &Entry) {
        let core = &self.replica.committed.core;
        let is_core = |name: &NodeName| core.voters().any(|member| member.name == *name);
        let names = self.peers.live().map(|peer| &peer.info.name);
        let is_other = |name: &&NodeName| **name != self.name && !is_core(name);
        let mut others: Vec<NodeName> = names.filter(is_other).cloned().collect();
        // With each entry another process of each zone comes first, so that the forwarding load rotates.
        let first = (entry.stamp.index as usize).checked_rem(others.len()).unwrap_or(0);
        others.rotate_left(first);
        self.distribute(entry, &self.name.clone(), others);
    }

    /// Announces a large entry to all other processes before any part of it is sent. News of its index travels faster
    /// than a large entry, so a process that learns of the index elsewhere would otherwise request the entry in the
    /// meantime.
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

    /// Handles a committed entry that was pushed to this process.
    pub(crate) fn receive_push(
        &mut self, from: &NodeName, entry: Entry, leader: NodeName, others: Vec<NodeName>,
    ) {
        self.distribute(&entry, &leader, others);
        self.leader_hint = Some(leader);
        let index = entry.stamp.index;
        if index > self.replica.committed.stamp.index && self.replica.learn(entry, &mut self.effects).is_err()
        {
            self.note_known_index(index, from.clone());
        }
    }

    /// Sends an entry to some of the receivers, which forward it to the others.
    fn distribute(&mut self, entry: &Entry, leader: &NodeName, receivers: Vec<NodeName>) {
        for mut branch in self.branches(entry, receivers) {
            let others = branch.split_off(1);
            for to in branch {
                let (entry, leader, others) = (entry.clone(), leader.clone(), others.clone());
                self.send(to, ControlMessage::Push { entry, leader, others });
            }
        }
    }

    /// The branches of the tree below this process, none of them empty. The entry is sent to the first process of each
    /// branch, which forwards it to the others.
    fn branches(&self, entry: &Entry, mut receivers: Vec<NodeName>) -> Vec<Vec<NodeName>> {
        let copies = receivers.len();
        if copies * entry.size() <= MAX_DIRECT_BYTES || copies <= FAN_OUT {
            return receivers.into_iter().map(|name| vec![name]).collect();
        }
        receivers.sort_by_key(|name| self.forwarding_order(name));
        let mut zones: BTreeMap<Option<Arc<str>>, Vec<NodeName>> = BTreeMap::new();
        for name in &receivers {
            let zone = self.peers.get(name).map(|peer| peer.info.zone.clone());
            zones.entry(zone).or_default().push(name.clone());
        }
        if zones.len() > 1 {
            return zones.into_values().collect();
        }
        let mut branches = vec![Vec::new(); FAN_OUT];
        for (position, name) in receivers.into_iter().enumerate() {
            branches[position % FAN_OUT].push(name);
        }
        branches
    }

    /// Orders processes by their suitability for forwarding. The link of a store's machine is sized for the message
    /// bodies of several relays, whereas clients wait for the link of a relay. A process that is known to be gone
    /// comes last, since it forwards nothing.
    fn forwarding_order(&self, name: &NodeName) -> u8 {
        match self.peers.get(name).filter(|peer| peer.is_live) {
            Some(peer) if peer.info.role == Role::Store => 0,
            Some(_) => 1,
            None => 2,
        }
    }
}
