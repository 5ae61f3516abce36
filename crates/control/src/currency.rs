//! Whether a process that started knows the newest state.

use pewterseam_wire::Micros;

use crate::machine::Control;
use crate::message::ControlMessage;
use crate::operator::OperatorRequest;

/// The pause before the newest index is asked for again.
const ASK_PAUSE: Micros = 50_000;

/// Stores tell that they copied this often.
const TELL_COPIED: Micros = 500_000;

/// What a start still has to learn.
pub(crate) struct Currency {
    pub is_current: bool,
    /// The index that was proven the newest after the start.
    needed: Option<u64>,
    next_ask: Micros,
}

impl Currency {
    pub(crate) fn new(now: Micros) -> Self {
        Currency { is_current: false, needed: None, next_ask: now }
    }

    pub(crate) fn next_wake(&self) -> Micros {
        if self.is_current || self.needed.is_some() { Micros::MAX } else { self.next_ask }
    }

    pub(crate) fn learnt(&mut self, index: u64) {
        self.needed = Some(self.needed.map_or(index, |needed| needed.min(index)));
    }

    /// Returns whether the process became current.
    pub(crate) fn update(&mut self, index: u64) -> bool {
        let reached = !self.is_current && self.needed.is_some_and(|needed| index >= needed);
        self.is_current |= reached;
        reached
    }
}

impl Control {
    pub(crate) fn run_currency(&mut self) {
        if self.currency.next_wake() > self.now {
            return;
        }
        let index = self.replica.committed.stamp.index;
        let own_disk = self.own_member().is_some() && index > 0;
        if own_disk && self.now >= self.started + self.settings.unanswered {
            self.currency.learnt(index);
            return;
        }
        self.currency.next_ask = self.now + self.settings.call_timeout + ASK_PAUSE;
        let token = self.forwarder.own_token();
        self.forward(token, OperatorRequest::ReadIndex);
        self.run_forwarder();
    }

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
