//! Random fault injection.

use pewterseam_wire::identity::Role;

use super::cluster::{Cluster, DiskFault, MS};

/// The faults that may be injected into a cluster whose first `core` nodes are its core.
pub struct Faults {
    pub core: usize,
    /// The number of core disks that may still be lost.
    pub disks: usize,
    /// The number of machines that may still be replaced by new ones.
    pub spares: usize,
    /// Whether disks may stall, become slow or become full.
    pub with_disk_faults: bool,
}

impl Faults {
    /// Injects one random fault, or ends some.
    pub fn inject(&mut self, cluster: &mut Cluster) {
        let nodes = cluster.nodes.len();
        let victim = cluster.random.below(nodes);
        let member = cluster
            .leader()
            .filter(|_| cluster.random.below(2) == 0)
            .unwrap_or(cluster.random.below(self.core));
        let pause = (200 + cluster.random.below(2_500) as u64) * MS;
        match cluster.random.below(if self.with_disk_faults { 13 } else { 12 }) {
            0 => cluster.drop_percent = 5,
            1 => self.cut_links(cluster, true),
            2 => self.cut_links(cluster, false),
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
                // At most one disk at a time is lost, and never together with a machine that is removed permanently.
                self.spares = 0;
                self.disks -= 1;
                cluster.lose_disk(member);
                cluster.start_after(member, pause);
            }
            8 if self.spares > 0 && self.disks > 0 => self.replace_machine(cluster, victim, pause),
            9 if cluster.nodes[victim].info.role == Role::Store => {
                cluster.lose_disk(victim);
                cluster.start_after(victim, pause);
            }
            10 => self.end_all_core_processes(cluster, false),
            11 => self.end_all_core_processes(cluster, true),
            12 => self.inject_disk_fault(cluster, member),
            _ => {}
        }
    }

    /// Cuts some nodes off from the others, in both directions or in one.
    fn cut_links(&self, cluster: &mut Cluster, both: bool) {
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

    /// Makes a core disk stall, slow or full, or ends all disk faults.
    fn inject_disk_fault(&self, cluster: &mut Cluster, member: usize) {
        let slower = (20 + cluster.random.below(800) as u64) * MS;
        let fault = match cluster.random.below(4) {
            0 => DiskFault::Stalled,
            1 => DiskFault::Full,
            2 => DiskFault::Slow(slower),
            _ => return cluster.disks.clear(),
        };
        cluster.disks.insert(member, fault);
    }

    /// Removes a machine permanently and adds a new one in its place.
    fn replace_machine(&mut self, cluster: &mut Cluster, victim: usize, pause: u64) {
        self.spares -= 1;
        self.disks = 0;
        let (role, disk) = (cluster.nodes[victim].info.role, cluster.nodes[victim].info.disk.is_some());
        cluster.kill(victim);
        cluster.nodes[victim].is_removed = true;
        let spare = cluster.add(role, disk);
        cluster.start_after(spare, pause);
    }

    /// Ends every process of the core at the same moment.
    fn end_all_core_processes(&self, cluster: &mut Cluster, power: bool) {
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
