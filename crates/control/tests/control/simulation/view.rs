//! What membership would find in the simulated cluster: lives, deaths, and the indexes that others know.

use std::sync::Arc;

use pewterseam_control::Control;
use pewterseam_membership::MemberChange;
use pewterseam_wire::identity::Life;

use super::cluster::{Cluster, MS};

/// A node is held dead or alive after links said so for this long.
const DEAD_AFTER: u64 = 2_000 * MS;
const ALIVE_AFTER: u64 = 100 * MS;

impl Cluster {
    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let other = &self.nodes[to];
        let open = !self.cuts.contains(&(from, to)) && !self.cuts.contains(&(to, from));
        other.control.is_some() && !other.frozen && open
    }

    /// What membership would find: later lives, deaths, and indexes that others know.
    pub fn look(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].control.is_none() || self.nodes[index].frozen {
                continue;
            }
            for other in 0..self.nodes.len() {
                if other != index {
                    self.look_at(index, other);
                }
            }
        }
    }

    fn look_at(&mut self, index: usize, other: usize) {
        let reachable = self.is_reachable(index, other);
        let mut info = self.nodes[other].info.clone();
        info.life = Life(self.nodes[other].life);
        let (now, life) = (self.now, info.life.0);
        let entry = self.nodes[index].view.entry(other).or_insert((0, None));
        let was = entry.0;
        if reachable && was != life {
            let since = *entry.1.get_or_insert(now);
            if now >= since + ALIVE_AFTER {
                *entry = (life, None);
                self.step(index, |control, now| control.member(now, &MemberChange::Up(Arc::new(info))));
            }
        } else if reachable {
            entry.1 = None;
            let digest = self.nodes[other].control.as_ref().map_or(0, Control::index);
            let told = self.nodes[index].told_digest.entry(other).or_insert(0);
            if digest > *told {
                *told = digest;
                let name = info.name;
                self.step(index, |control, now| control.peer_digest(now, &name, digest));
            }
        } else if was != 0 {
            let since = *entry.1.get_or_insert(now);
            if now >= since + DEAD_AFTER {
                *entry = (0, None);
                info.life = Life(was);
                self.nodes[index].told_digest.remove(&other);
                let change = MemberChange::Down { info: Arc::new(info), left: false };
                self.step(index, |control, now| control.member(now, &change));
            }
        }
    }
}
