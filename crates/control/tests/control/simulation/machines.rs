//! Failures and recovery of the machines of a simulated cluster.

use pewterseam_wire::identity::DiskId;

use super::cluster::{Cluster, DiskFault, Event, InjectedBug, SlowClock};

impl Cluster {
    pub fn kill(&mut self, index: usize) {
        if self.disks.get(&index) == Some(&DiskFault::Full) {
            self.nodes[index].disk.lose_power(0);
        }
        self.nodes[index].control = None;
        self.nodes[index].frozen = false;
        self.nodes[index].deferred_events.clear();
        self.nodes[index].disk.kill();
    }

    pub fn lose_power(&mut self, index: usize) {
        let kept = self.random.below(3);
        self.nodes[index].disk.lose_power(if kept == 2 { self.random.below(4) } else { 0 });
        self.kill(index);
    }

    pub fn lose_disk(&mut self, index: usize) {
        self.kill(index);
        self.nodes[index].disk.lose();
        if self.injected_bug == InjectedBug::EmptyDiskVotes {
            return;
        }
        self.next_disk += 1;
        let disk = DiskId(self.next_disk);
        self.nodes[index].info.disk = self.nodes[index].info.disk.map(|_| disk);
    }

    /// From now on, a node's clock runs slower than the simulated time by this factor.
    pub fn slow_clock(&mut self, index: usize, slower: u64) {
        self.clocks.insert(index, SlowClock { since: self.now, slower });
    }

    pub fn freeze(&mut self, index: usize, span: u64) {
        if self.nodes[index].control.is_some() && !self.nodes[index].frozen {
            self.nodes[index].frozen = true;
            self.schedule(span, Event::Resume { node: index });
        }
    }

    pub(super) fn resume(&mut self, index: usize) {
        if !std::mem::replace(&mut self.nodes[index].frozen, false) {
            return;
        }
        for event in std::mem::take(&mut self.nodes[index].deferred_events) {
            self.process_event(event);
        }
        self.step(index, |control, now| control.tick(now));
    }
}
