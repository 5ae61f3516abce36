//! The simulated links between the nodes of a cluster.

use pewterseam_control::{Command, ControlMessage};
use pewterseam_wire::identity::NodeName;

use super::cluster::{Cluster, Event, InjectedBug, LOSS_UNIT, MS};

/// The maximum delay of a message that is delivered a second time.
const MAX_REDELIVERY_DELAY: usize = 8_000 * MS as usize;

fn size_of(message: &ControlMessage) -> usize {
    pewterseam_wire::frame::encode(message).map_or(0, |bytes| bytes.len())
}

impl Cluster {
    pub(super) fn send(&mut self, from: usize, to: &NodeName, message: ControlMessage) {
        let Some(to) = self.nodes.iter().position(|node| node.info.name == *to) else { return };
        self.messages += 1;
        self.record_epoch_evidence(from, to, &message);
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
        let sent = self.sent_at(from, size);
        if self.injected_bug == InjectedBug::NoMajorityRead
            && let ControlMessage::Prepare { epoch } = &message
        {
            self.forge_promise(from, to, *epoch);
        }
        let is_dropped = self.random.below(100) < self.drop_percent || self.is_lost_in_transit(size);
        let slower = self.slow.get(&(from, to)).copied().unwrap_or(0);
        let delay = slower + 500 + self.random.below(4_000) as u64;
        let at = self.links.get(&(from, to)).copied().unwrap_or(0).max(sent + delay);
        self.links.insert((from, to), at);
        let is_accept_dropped = self.drops_accepts && matches!(message, ControlMessage::Accept { .. });
        if is_dropped || is_accept_dropped || self.cuts.contains(&(from, to)) {
            return;
        }
        self.redeliver_late(at, from, to, &message);
        let life = Some(self.nodes[to].life);
        self.schedule_at(at, Event::Message { from, to, life, message });
    }

    /// Sometimes schedules a second, much later delivery of a message, to whichever process of the receiver runs then.
    fn redeliver_late(&mut self, at: u64, from: usize, to: usize, message: &ControlMessage) {
        if self.late_percent > 0 && self.random.below(100) < self.late_percent {
            let later = self.random.below(MAX_REDELIVERY_DELAY) as u64;
            let message = message.clone();
            self.schedule_at(at + later, Event::Message { from, to, life: None, message });
        }
    }

    /// Records the messages that show which process leads which epoch.
    fn record_epoch_evidence(&mut self, from: usize, to: usize, message: &ControlMessage) {
        match message {
            ControlMessage::Prepare { .. } => *self.promise_requests.entry(from).or_default() += 1,
            ControlMessage::Promise { epoch, member, .. } => {
                self.checks.promised(member, *epoch, (to, self.nodes[to].life));
            }
            ControlMessage::Heartbeat { epoch, .. } => {
                self.checks.led(*epoch, (from, self.nodes[from].life));
            }
            _ => {}
        }
    }

    /// When a node has finished sending a message, after all earlier ones in its queue.
    fn sent_at(&mut self, from: usize, size: usize) -> u64 {
        let Some(rate) = self.rates.get(&from).copied().or(self.rate) else { return self.now };
        let start = self.sending.get(&from).copied().unwrap_or(0).max(self.now);
        let end = start + size as u64 * 1_000_000 / rate;
        self.sending.insert(from, end);
        end
    }

    /// The longest time that any node still needs to send its queued messages.
    pub fn longest_backlog(&self) -> u64 {
        self.sending.values().map(|until| until.saturating_sub(self.now)).max().unwrap_or(0)
    }

    fn is_lost_in_transit(&mut self, size: usize) -> bool {
        self.loss_percent > 0
            && (0..size.div_ceil(LOSS_UNIT)).any(|_| self.random.below(100) < self.loss_percent)
    }

    /// Sends the candidate a promise that the member never made.
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
