//! The links between the nodes of a simulated cluster.

use pewterseam_control::{Command, ControlMessage};
use pewterseam_wire::identity::NodeName;

use super::cluster::{Cluster, Event, LOSS_UNIT, MS, Planted};

/// A message that comes again comes within this time.
const LATEST: usize = 8_000 * MS as usize;

fn size_of(message: &ControlMessage) -> usize {
    pewterseam_wire::frame::encode(message).map_or(0, |bytes| bytes.len())
}

impl Cluster {
    pub(super) fn send(&mut self, from: usize, to: &NodeName, message: ControlMessage) {
        let Some(to) = self.nodes.iter().position(|node| node.info.name == *to) else { return };
        self.messages += 1;
        self.watch(from, to, &message);
        if let ControlMessage::Accept { entry, .. } = &message
            && matches!(entry.command, Command::Core { .. })
        {
            self.core_proposals += 1;
        }
        let needs_size = self.counts_bytes || self.rate.is_some() || self.rates.contains_key(&from);
        let size = if needs_size { size_of(&message) } else { 0 };
        self.bytes += size;
        *self.received.entry(to).or_default() += size;
        if self.rate.is_some() {
            self.repeats.note(to, &message);
        }
        let sent = self.sent_by(from, size);
        if self.planted == Planted::NoMajorityRead
            && let ControlMessage::Prepare { epoch } = &message
        {
            self.forge_promise(from, to, *epoch);
        }
        let is_dropped = self.random.below(100) < self.drop_percent || self.is_lost_on_the_way(size);
        let slower = self.slow.get(&(from, to)).copied().unwrap_or(0);
        let delay = slower + 500 + self.random.below(4_000) as u64;
        let at = self.links.get(&(from, to)).copied().unwrap_or(0).max(sent + delay);
        self.links.insert((from, to), at);
        let is_held = self.holds_entries && matches!(message, ControlMessage::Accept { .. });
        if is_dropped || is_held || self.cuts.contains(&(from, to)) {
            return;
        }
        self.come_again_late(at, from, to, &message);
        let life = Some(self.nodes[to].life);
        self.schedule_at(at, Event::Message { from, to, life, message });
    }

    /// Now and then a message comes again much later, to whichever life of the receiver runs then.
    fn come_again_late(&mut self, at: u64, from: usize, to: usize, message: &ControlMessage) {
        if self.late_percent > 0 && self.random.below(100) < self.late_percent {
            let later = self.random.below(LATEST) as u64;
            let message = message.clone();
            self.schedule_at(at + later, Event::Message { from, to, life: None, message });
        }
    }

    /// Notes what tells who leads which epoch.
    fn watch(&mut self, from: usize, to: usize, message: &ControlMessage) {
        match message {
            ControlMessage::Prepare { .. } => *self.stood.entry(from).or_default() += 1,
            ControlMessage::Promise { epoch, member, .. } => {
                self.checks.promised(member, *epoch, (to, self.nodes[to].life));
            }
            ControlMessage::Heartbeat { epoch, .. } => {
                self.checks.led(*epoch, (from, self.nodes[from].life));
            }
            _ => {}
        }
    }

    /// When a node has sent a message, after all that it was sending.
    fn sent_by(&mut self, from: usize, size: usize) -> u64 {
        let Some(rate) = self.rates.get(&from).copied().or(self.rate) else { return self.now };
        let start = self.sending.get(&from).copied().unwrap_or(0).max(self.now);
        let end = start + size as u64 * 1_000_000 / rate;
        self.sending.insert(from, end);
        end
    }

    /// The longest time for which a node is still busy with sending what it has to send.
    pub fn longest_backlog(&self) -> u64 {
        self.sending.values().map(|until| until.saturating_sub(self.now)).max().unwrap_or(0)
    }

    fn is_lost_on_the_way(&mut self, size: usize) -> bool {
        self.loss_percent > 0
            && (0..size.div_ceil(LOSS_UNIT)).any(|_| self.random.below(100) < self.loss_percent)
    }

    /// The candidate hears a promise that nobody gave.
    fn forge_promise(&mut self, candidate: usize, member: usize, epoch: u64) {
        let info = &self.nodes[member].info;
        let Some(disk) = info.disk else { return };
        let member_id = pewterseam_control::CoreMember { name: info.name.clone(), disk };
        let stamp = pewterseam_control::Stamp::default();
        let message = ControlMessage::Promise { epoch, member: member_id, stamp };
        let life = Some(self.nodes[candidate].life);
        self.schedule(MS, Event::Message { from: member, to: candidate, life, message });
    }
}
