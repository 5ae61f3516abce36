//! Trouble, drawn at random.

use pewterseam_wire::identity::Role;

use super::cluster::{Cluster, DiskTrouble, MS};

/// What may be done to a cluster whose first `core` nodes are its core.
pub struct Faults {
    pub core: usize,
    /// Disks of the core that may be lost in all.
    pub disks: usize,
    /// Machines that may be replaced by new ones.
    pub spares: usize,
    /// Whether disks stall, are slow or are full.
    pub disk_trouble: bool,
}

impl Faults {
    /// Does one thing.
    pub fn strike(&mut self, cluster: &mut Cluster) {
        let nodes = cluster.nodes.len();
        let victim = cluster.random.below(nodes);
        let member = cluster
            .leader()
            .filter(|_| cluster.random.below(2) == 0)
            .unwrap_or(cluster.random.below(self.core));
        let pause = (200 + cluster.random.below(2_500) as u64) * MS;
        match cluster.random.below(if self.disk_trouble { 13 } else { 12 }) {
            0 => cluster.drop_percent = 5,
            1 => self.cut(cluster, true),
            2 => self.cut(cluster, false),
            3 => {
                cluster.cuts.clear();
                cluster.drop_percent = 0;
            }
            4 => cluster.freeze(member, pause),
            5 => {
                cluster.kill(victim);
                cluster.start_after(victim, pause);
            }
            6 => {
                cluster.lose_power(member);
                cluster.start_after(member, pause);
            }
            7 if self.disks > 0 => {
                // At most one disk at a time is lost, and never with a machine that went for good.
                self.spares = 0;
                self.disks -= 1;
                cluster.lose_disk(member);
                cluster.start_after(member, pause);
            }
            8 if self.spares > 0 && self.disks > 0 => self.replace(cluster, victim, pause),
            9 if cluster.nodes[victim].info.role == Role::Store => {
                cluster.lose_disk(victim);
                cluster.start_after(victim, pause);
            }
            10 => self.all(cluster, false),
            11 => self.all(cluster, true),
            12 => self.disk_trouble(cluster, member),
            _ => {}
        }
    }

    /// Cuts some nodes from the others, in both directions or in one.
    fn cut(&self, cluster: &mut Cluster, both: bool) {
        let nodes = cluster.nodes.len();
        let side: Vec<bool> = (0..nodes).map(|_| cluster.random.below(3) == 0).collect();
        for from in 0..nodes {
            for to in 0..nodes {
                if side[from] && !side[to] {
                    cluster.cuts.insert((from, to));
                    if both {
                        cluster.cuts.insert((to, from));
                    }
                }
            }
        }
    }

    /// A disk of the core stalls, is slow or is full, or all are well again.
    fn disk_trouble(&self, cluster: &mut Cluster, member: usize) {
        let slower = (20 + cluster.random.below(800) as u64) * MS;
        let trouble = match cluster.random.below(4) {
            0 => DiskTrouble::Stalled,
            1 => DiskTrouble::Full,
            2 => DiskTrouble::Slow(slower),
            _ => return cluster.disks.clear(),
        };
        cluster.disks.insert(member, trouble);
    }

    /// A machine ends for good, and another comes.
    fn replace(&mut self, cluster: &mut Cluster, victim: usize, pause: u64) {
        self.spares -= 1;
        self.disks = 0;
        let (role, disk) = (cluster.nodes[victim].info.role, cluster.nodes[victim].info.disk.is_some());
        cluster.kill(victim);
        cluster.nodes[victim].is_removed = true;
        let spare = cluster.add(role, disk);
        cluster.start_after(spare, pause);
    }

    /// Every process of the core ends at the same moment.
    fn all(&self, cluster: &mut Cluster, power: bool) {
        for member in 0..self.core {
            if power {
                cluster.lose_power(member);
            } else {
                cluster.kill(member);
            }
            let pause = (100 + cluster.random.below(900) as u64) * MS;
            cluster.start_after(member, pause);
        }
    }
}
