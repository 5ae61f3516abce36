//! What a member of the core does for its leader.

use pewterseam_wire::identity::NodeName;

use crate::agreed::Agreed;
use crate::election::Role;
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
        let (stamp, entry_base) = (entry.stamp, entry.previous);
        if self.replica.accepted.stamp == stamp {
            let agreed = self.replica.accepted.clone();
            self.replica.install(agreed, epoch, from, &mut self.effects);
        } else if self.replica.accept(entry, from, &mut self.effects).is_err() {
            return self.lacks_base(from, epoch, entry_base, committed);
        }
        self.answer_accept(from, epoch, stamp);
    }

    /// The state before a leader's entry is not here. A committed one is fetched, and the entry comes again; another
    /// one only the leader can hand out.
    fn lacks_base(&mut self, from: &NodeName, epoch: u64, base: Stamp, committed: Stamp) {
        if base == committed {
            self.heard_of_index(committed.index, from.clone());
        } else if !self.catch_up.is_receiving() {
            self.send(from.clone(), ControlMessage::NeedState { epoch });
        }
    }

    /// A whole state that a leader, or the holder of a promise, has accepted has come.
    ///
    /// It may be held whatever was promised since, as it is greater than what is held here and keeps its stamp. Only to
    /// a leader whose epoch still counts is it acknowledged.
    pub(crate) fn accepted_state(&mut self, from: &NodeName, agreed: Agreed) {
        let stamp = agreed.stamp;
        if self.identity.is_none() || stamp <= self.replica.accepted.stamp {
            return;
        }
        let is_of_leader = stamp.epoch >= self.replica.promised.epoch;
        self.replica.adopt(agreed, &mut self.effects);
        if matches!(self.role, Role::Candidate(_)) {
            self.adopted_state();
        } else if is_of_leader {
            self.answer_accept(from, stamp.epoch, stamp);
        }
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
