//! What a member of the core does for its leader.

use pewterseam_wire::identity::NodeName;

use crate::agreed::Agreed;
use crate::entry::{Entry, Stamp};
use crate::machine::Control;
use crate::message::ControlMessage;

impl Control {
    /// Whether a leader's message counts. One of an older epoch is refused.
    fn is_leader_valid(&mut self, from: &NodeName, epoch: u64) -> bool {
        let promised = self.replica.promised.epoch;
        if epoch < promised {
            self.send(from.clone(), ControlMessage::Refused { promised });
            return false;
        }
        self.follow(from, epoch);
        true
    }

    pub(crate) fn accept(&mut self, from: &NodeName, epoch: u64, entry: Entry, committed: Stamp) {
        if self.identity.is_none() || entry.stamp.epoch != epoch || !self.is_leader_valid(from, epoch) {
            return;
        }
        self.replica.commit(committed, &mut self.effects);
        let stamp = entry.stamp;
        if self.replica.accepted.stamp == stamp {
            let agreed = self.replica.accepted.clone();
            self.replica.install(agreed, epoch, from, &mut self.effects);
        } else if self.replica.accept(entry, from, &mut self.effects).is_err() {
            return self.send(from.clone(), ControlMessage::NeedState { epoch });
        }
        self.answer_accept(from, epoch, stamp);
    }

    pub(crate) fn install(&mut self, from: &NodeName, epoch: u64, agreed: Agreed, committed: Stamp) {
        let stamp = agreed.stamp;
        if self.identity.is_none() || stamp.epoch != epoch || !self.is_leader_valid(from, epoch) {
            return;
        }
        if stamp < self.replica.accepted.stamp {
            return;
        }
        self.replica.install(agreed, epoch, from, &mut self.effects);
        self.replica.commit(committed, &mut self.effects);
        self.answer_accept(from, epoch, stamp);
    }

    fn answer_accept(&mut self, from: &NodeName, epoch: u64, stamp: Stamp) {
        let Some(member) = self.identity.clone() else { return };
        self.replica.send_after_sync(from.clone(), ControlMessage::AcceptAnswer { epoch, member, stamp });
    }

    pub(crate) fn heartbeat(&mut self, from: &NodeName, epoch: u64, round: u64, committed: Stamp) {
        if !self.is_leader_valid(from, epoch) {
            return;
        }
        if !self.replica.commit(committed, &mut self.effects) {
            self.heard_of_index(committed.index, from.clone());
        }
        let Some(member) = self.identity.clone() else { return };
        let committed = self.replica.committed.stamp.index;
        self.send(from.clone(), ControlMessage::HeartbeatAnswer { epoch, round, member, committed });
    }
}
