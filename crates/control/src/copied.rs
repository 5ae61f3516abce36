//! Reports that the store of this process has copied its messages, until the placement moves on.

use pewterseam_wire::Micros;

use crate::machine::Control;
use crate::message::ControlMessage;

/// The interval between two reports of the same copy.
const COPIED_REPORT_PERIOD: Micros = 500_000;

impl Control {
    /// Reports to the leader, or to the core members while no leader is known, that the store of this process has
    /// copied its messages.
    pub(crate) fn report_copied(&mut self) {
        let Some((store, epoch, at)) = self.copied.clone() else { return };
        if self.replica.committed.state.placement.epoch > epoch {
            self.copied = None;
            return;
        }
        if at > self.now {
            return;
        }
        self.copied = Some((store.clone(), epoch, self.now + COPIED_REPORT_PERIOD));
        let known =
            self.leader_hint.clone().filter(|leader| self.peers.is_live(leader) || *leader == self.name);
        let receivers = known.map_or_else(|| self.live_core(), |leader| vec![leader]);
        for receiver in receivers {
            self.send(receiver, ControlMessage::Copied { store: store.clone(), epoch });
        }
    }
}
