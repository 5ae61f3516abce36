//! What processes send each other, and connections that begin and end.

use std::net::SocketAddr;

use bytes::Bytes;
use pewterseam_wire::Micros;

use crate::disk::Ending;
use crate::event::{ConnectionId, Event, Input, Life, Origin};
use crate::message::PeerMessage;
use crate::network::DIAL_TIMEOUT;
use crate::plan::MILLISECOND;
use crate::world::World;

impl World {
    pub(crate) fn machine_at(&self, address: SocketAddr) -> Option<usize> {
        self.machines.iter().position(|machine| machine.address == address)
    }

    pub(crate) fn send_datagram(&mut self, life: Life, to: SocketAddr, bytes: Vec<u8>) {
        let Some(to) = self.machine_at(to) else { return };
        let delay = self.network.delay();
        if self.network.is_datagram_lost(self.now, life.machine, to) {
            return;
        }
        let from = self.machines[life.machine].address;
        let event = Event::Process(self.life(to), Input::Datagram { from, bytes });
        self.agenda.add(self.now + delay, event);
    }

    /// Sends on the connection that a process keeps to an address, dialing it if need be.
    pub(crate) fn send(&mut self, life: Life, to: SocketAddr, message: PeerMessage) {
        let Some(listener) = self.machine_at(to) else { return };
        if let Some(connection) = self.network.find(life, listener) {
            self.transmit(connection, false, message);
            return;
        }
        let delay = self.network.delay();
        let cut = self.network.cut_until(self.now, life.machine, listener);
        let cut = cut.max(self.network.cut_until(self.now, listener, life.machine));
        let ready_at = cut.unwrap_or(self.now) + 2 * delay;
        if self.machines[listener].process.is_none() || ready_at > self.now + DIAL_TIMEOUT {
            let at = if cut.is_some() { self.now + DIAL_TIMEOUT } else { self.now + delay };
            self.agenda.add(at, Event::Process(life, Input::Lost(Origin::Dialed(to))));
            return;
        }
        let connection = self.network.open(life, self.life(listener), ready_at);
        self.transmit(connection, false, message);
    }

    pub(crate) fn transmit(&mut self, connection: ConnectionId, at_dialer: bool, message: PeerMessage) {
        if self.network.get(connection).is_none_or(|connection| connection.is_closing) {
            return;
        }
        let frame = match message.encode() {
            Ok(frame) => frame,
            Err(error) => return self.judge.frame_lost(&message, &error.to_string()),
        };
        if let Some(at) = self.network.arrival(self.now, connection, at_dialer) {
            self.agenda.add(at, Event::Arrive { connection, at_dialer, frame });
        }
    }

    pub(crate) fn arrive(&mut self, id: ConnectionId, at_dialer: bool, frame: &Bytes) {
        let Some(connection) = self.network.get(id) else { return };
        let (dialer, listener) = (connection.dialer, connection.listener);
        let (from, to) = if at_dialer { (listener, dialer) } else { (dialer, listener) };
        let message = match PeerMessage::decode(frame) {
            Ok(Some(message)) => message,
            Ok(None) => {
                return self.judge.frame_changed(from.machine, to.machine, "reads as another message");
            }
            Err(error) => {
                return self.judge.frame_changed(from.machine, to.machine, &error.to_string());
            }
        };
        for (name, what) in message.fates() {
            self.judge.passed(self.now, name, from.machine, to.machine, &what);
        }
        if at_dialer {
            let origin = Origin::Dialed(self.machines[listener.machine].address);
            self.step(dialer, Input::Message { origin, message });
        } else {
            self.step(listener, Input::Message { origin: Origin::Accepted(id), message });
        }
    }

    pub(crate) fn hang_up(&mut self, life: Life, to: SocketAddr) {
        let Some(listener) = self.machine_at(to) else { return };
        if let Some(connection) = self.network.find(life, listener) {
            self.close(connection, 0);
        }
    }

    /// Both ends learn that a connection is gone, after what is on its way.
    fn close(&mut self, id: ConnectionId, after: Micros) {
        for at_dialer in [true, false] {
            if let Some(at) = self.network.arrival(self.now + after, id, at_dialer) {
                self.agenda.add(at + 1, Event::Closed { connection: id, at_dialer });
            }
        }
        self.network.mark_closing(id);
    }

    pub(crate) fn closed(&mut self, id: ConnectionId, at_dialer: bool) {
        let Some(connection) = self.network.get(id) else { return };
        let (dialer, listener) = (connection.dialer, connection.listener);
        if at_dialer {
            let origin = Origin::Dialed(self.machines[listener.machine].address);
            self.step(dialer, Input::Lost(origin));
        } else {
            self.step(listener, Input::Lost(Origin::Accepted(id)));
        }
    }

    /// The process of a life is gone: those at the other ends of its connections learn of it.
    pub(crate) fn close_connections(&mut self, life: Life, ending: Ending) {
        let gone = self
            .network
            .open_connections(|connection| connection.dialer == life || connection.listener == life);
        for connection in gone {
            let silence = match ending {
                Ending::Process => 0,
                Ending::Power => (500 + self.random.below(2_500) as Micros) * MILLISECOND,
            };
            self.close(connection, silence);
        }
    }

    /// All connections of a machine break.
    pub(crate) fn reset(&mut self, machine: usize) {
        let broken = self.network.open_connections(|connection| {
            connection.dialer.machine == machine || connection.listener.machine == machine
        });
        for connection in broken {
            self.close(connection, 0);
        }
    }
}
