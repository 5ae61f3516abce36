//! What the store of this process holds, told until the placement goes on.

use pewterseam_wire::Micros;

use crate::machine::Control;
use crate::message::ControlMessage;

/// Stores tell that they copied this often.
const TELL_COPIED: Micros = 500_000;

impl Control {
    /// Tells the leader, or core members, what the store of this process holds.
    pub(crate) fn tell_copied(&mut self) {
        let Some((store, epoch, at)) = self.copied.clone() else { return };
        if self.replica.committed.state.placement.epoch > epoch {
            self.copied = None;
            return;
        }
        if at > self.now {
            return;
        }
        self.copied = Some((store.clone(), epoch, self.now + TELL_COPIED));
        let known =
            self.leader_hint.clone().filter(|leader| self.peers.is_live(leader) || *leader == self.name);
        let receivers = known.map_or_else(|| self.live_core(), |leader| vec![leader]);
        for receiver in receivers {
            self.send(receiver, ControlMessage::Copied { store: store.clone(), epoch });
        }
    }
}
