//! Simulates membership: nodes that start or fail, and the state indexes that other nodes know.

use std::sync::Arc;

use pewterseam_control::Control;
use pewterseam_membership::MemberChange;
use pewterseam_wire::identity::Life;

use super::cluster::{Cluster, MS};

/// A node counts as dead or alive after its links have been down or up for this long.
const DEAD_AFTER: u64 = 2_000 * MS;
const ALIVE_AFTER: u64 = 100 * MS;

impl Cluster {
    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let other = &self.nodes[to];
        let is_link_up = !self.cuts.contains(&(from, to)) && !self.cuts.contains(&(to, from));
        other.control.is_some() && !other.frozen && is_link_up
    }

    /// Updates the membership view of each running node.
    pub fn update_membership(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].control.is_none() || self.nodes[index].frozen {
                continue;
            }
            for other in 0..self.nodes.len() {
                if other != index {
                    self.update_view(index, other);
                }
            }
        }
    }

    fn update_view(&mut self, index: usize, other: usize) {
        let reachable = self.is_reachable(index, other);
        let mut info = self.nodes[other].info.clone();
        info.life = Life(self.nodes[other].life);
        let (now, life) = (self.now, info.life.0);
        let entry = self.nodes[index].view.entry(other).or_insert((0, None));
        let known_life = entry.0;
        if reachable && known_life != life {
            let since = *entry.1.get_or_insert(now);
            if now >= since + ALIVE_AFTER {
                *entry = (life, None);
                self.step(index, |control, now| control.member(now, &MemberChange::Up(Arc::new(info))));
            }
        } else if reachable {
            entry.1 = None;
            let digest = self.nodes[other].control.as_ref().map_or(0, Control::index);
            let reported = self.nodes[index].reported_index.entry(other).or_insert(0);
            if digest > *reported {
                *reported = digest;
                let name = info.name;
                self.step(index, |control, now| control.peer_digest(now, &name, digest));
            }
        } else if known_life != 0 {
            let since = *entry.1.get_or_insert(now);
            if now >= since + DEAD_AFTER {
                *entry = (0, None);
                info.life = Life(known_life);
                self.nodes[index].reported_index.remove(&other);
                let change = MemberChange::Down { info: Arc::new(info), left: false };
                self.step(index, |control, now| control.member(now, &change));
            }
        }
    }
}
