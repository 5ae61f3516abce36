//! What a core member does for its leader.

use pewterseam_wire::identity::NodeName;

use crate::agreed::Agreed;
use crate::election::Role;
use crate::entry::{Entry, Stamp};
use crate::machine::Control;
use crate::message::ControlMessage;

impl Control {
    /// Whether a message is from a leader of the promised epoch or a later one; follows that leader if so. A leader of
    /// an older epoch is rejected.
    fn accepts_leader(&mut self, from: &NodeName, epoch: u64) -> bool {
        let promised = self.replica.promised.epoch;
        if epoch < promised {
            self.send(from.clone(), ControlMessage::Refused { promised });
            return false;
        }
        self.follow(from, epoch);
        true
    }

    pub(crate) fn accept(&mut self, from: &NodeName, epoch: u64, entry: Entry, committed: Stamp) {
        if self.identity.is_none() || entry.stamp.epoch != epoch || !self.accepts_leader(from, epoch) {
            return;
        }
        self.replica.commit(committed, &mut self.effects);
        let (stamp, entry_base) = (entry.stamp, entry.previous);
        if self.replica.accepted.stamp == stamp {
            let agreed = self.replica.accepted.clone();
            self.replica.install(agreed, epoch, from, &mut self.effects);
        } else if self.replica.accept(entry, from, &mut self.effects).is_err() {
            return self.request_missing_base(from, epoch, entry_base, committed);
        }
        self.answer_accept(from, epoch, stamp);
    }

    /// Handles a leader's entry whose previous state is not known here. If that state is committed, it is fetched, and
    /// the leader sends the entry again; a state that is not committed only the leader can send.
    fn request_missing_base(&mut self, from: &NodeName, epoch: u64, base: Stamp, committed: Stamp) {
        if base == committed {
            self.note_known_index(committed.index, from.clone());
        } else if !self.catch_up.is_receiving() {
            self.send(from.clone(), ControlMessage::NeedState { epoch });
        }
    }

    /// Handles a complete state that arrived from a leader or from a member that promised.
    ///
    /// The state may be accepted whatever epoch was promised since, because it is greater than the state accepted here
    /// and keeps its stamp. It is acknowledged only to a leader whose epoch is still valid.
    pub(crate) fn accepted_state(&mut self, from: &NodeName, agreed: Agreed) {
        let stamp = agreed.stamp;
        if self.identity.is_none() || stamp <= self.replica.accepted.stamp {
            return;
        }
        let is_epoch_valid = stamp.epoch >= self.replica.promised.epoch;
        self.replica.adopt(agreed, &mut self.effects);
        if matches!(self.role, Role::Candidate(_)) {
            self.state_adopted();
        } else if is_epoch_valid {
            self.answer_accept(from, stamp.epoch, stamp);
        }
    }

    fn answer_accept(&mut self, from: &NodeName, epoch: u64, stamp: Stamp) {
        let Some(member) = self.identity.clone() else { return };
        self.replica.send_after_sync(from.clone(), ControlMessage::AcceptAnswer { epoch, member, stamp });
    }

    pub(crate) fn heartbeat(&mut self, from: &NodeName, epoch: u64, round: u64, committed: Stamp) {
        if !self.accepts_leader(from, epoch) {
            return;
        }
        if !self.replica.commit(committed, &mut self.effects) {
            self.note_known_index(committed.index, from.clone());
        }
        let Some(member) = self.identity.clone() else { return };
        let committed = self.replica.committed.stamp.index;
        self.send(from.clone(), ControlMessage::HeartbeatAnswer { epoch, round, member, committed });
    }
}
