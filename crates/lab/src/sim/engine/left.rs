//! Calls that end without an answer: the host's side breaks, or the relay waits no more.

use pewterseam::interface::Outcome;
use pewterseam_node::pool::ConnectionId;

use super::super::event::Event;
use super::super::process::Load;
use super::{CallState, Engine};
use crate::story::{CallNumber, Ending, RelayNumber};

impl Engine<'_> {
    /// The connection breaks from the host's side.
    pub(super) fn breaks(&mut self, number: CallNumber) {
        if self.calls[number as usize].out {
            self.broken_at_host(number);
            self.conclude(number, Outcome::Reset, false, None, false);
        }
    }

    /// The host's side of a call is no more.
    pub(super) fn broken_at_host(&mut self, number: CallNumber) {
        let CallState { arrived, ran, .. } = self.calls[number as usize];
        if arrived {
            self.end(number, Ending::Left { ran });
        }
        self.state(number).word = None;
    }

    /// The relay has waited long enough.
    pub(super) fn timed_out(&mut self, number: CallNumber) {
        let CallState { out, relay, life, .. } = self.calls[number as usize];
        if !out || !self.process(relay).is_up(life) || self.defers(relay, Event::TimedOut(number)) {
            return;
        }
        self.leave(number);
        self.conclude(number, Outcome::Timeout, false, None, false);
    }

    /// A relay gives up the call on a connection, or the connection that opens.
    pub(super) fn abandon(&mut self, relay: RelayNumber, connection: ConnectionId) {
        let load = self.process(relay).wires.get(&connection).map(|wire| wire.load);
        match load {
            Some(Load::Carrying(number)) => {
                self.leave(number);
                self.conclude(number, Outcome::Cancelled, false, None, false);
            }
            Some(Load::Opening | Load::Idle) => {
                self.process(relay).wires.remove(&connection);
            }
            None => {}
        }
    }

    /// The caller closes its end. What was held back until then comes now.
    pub(super) fn leave(&mut self, number: CallNumber) {
        let CallState { arrived, ran, late, .. } = self.calls[number as usize];
        if arrived {
            self.end(number, Ending::Left { ran });
        }
        let waits = std::mem::replace(&mut self.state(number).out, false);
        if late && waits && !arrived {
            self.enter_in(0, Event::Arrives(number));
        }
    }
}
