//! Connections between relays and hosts, and probes.

use std::net::SocketAddr;

use pewterseam::interface::{HostId, Micros, Outcome};
use pewterseam_node::call::Reply;
use pewterseam_node::io::Input;
use pewterseam_node::names;
use pewterseam_node::pool::ConnectionId;

use super::super::event::{Event, Life, Probe};
use super::super::links::Party;
use super::super::process::{Load, Wire};
use super::super::registry::{self, host_at};
use super::Engine;
use crate::story::{Happened, HostNumber, RelayNumber};

/// Bytes of what opens a connection.
const OPENING: usize = 64;

impl Engine<'_> {
    /// From a relay to a host on a good day.
    pub(super) fn base(&self, relay: RelayNumber, host: HostNumber) -> Micros {
        self.links.between(self.relays[usize::from(relay)].zone, self.hosts[host as usize].zone)
    }

    /// A host takes a round trip to open a connection; one that is down turns it away in the same time, and a
    /// cut link says nothing.
    pub(super) fn open(
        &mut self, relay: RelayNumber, connection: ConnectionId, address: SocketAddr, within: Micros,
    ) {
        let life = self.process(relay).life;
        let host = host_at(address).filter(|host| (*host as usize) < self.hosts.len());
        let Some(host) = host else {
            return self.enter_in(0, Event::NotOpened { relay, life, connection });
        };
        let mute = self.links.is_mute(Party::Relay(relay), Party::Host(host));
        self.process(relay).wires.insert(connection, Wire { host, load: Load::Opening, mute });
        let base = self.base(relay, host);
        let there = self.links.stream(Party::Relay(relay), Party::Host(host), base, OPENING);
        let back = self.links.stream(Party::Host(host), Party::Relay(relay), base, OPENING);
        // What a cut holds back is tried again by the network once it is over.
        let at = back.at(there.at(self.now));
        if at > self.now + within || there.late {
            self.enter_in(within, Event::NotOpened { relay, life, connection });
        } else {
            self.calendar.enter(at, Event::Opened { relay, life, connection });
        }
    }

    pub(super) fn opened(&mut self, relay: RelayNumber, life: Life, connection: ConnectionId) {
        if !self.process(relay).is_up(life) {
            return;
        }
        let Some(wire) = self.process(relay).wires.get(&connection).copied() else { return };
        if self.hosts[wire.host as usize].is_refusing() {
            return self.not_opened(relay, life, connection);
        }
        if let Some(wire) = self.process(relay).wires.get_mut(&connection) {
            wire.load = Load::Idle;
        }
        self.tally.connections += 1;
        self.put(relay, Input::Opened(connection));
    }

    pub(super) fn not_opened(&mut self, relay: RelayNumber, life: Life, connection: ConnectionId) {
        if !self.process(relay).is_up(life)
            || self.defers(relay, Event::NotOpened { relay, life, connection })
        {
            return;
        }
        if let Some(wire) = self.process(relay).wires.remove(&connection) {
            self.tell(Happened::Probed { relay, host: wire.host, failed: true });
        }
        self.put(relay, Input::NotOpened(connection));
    }

    pub(super) fn closed_idle(&mut self, relay: RelayNumber, life: Life, connection: ConnectionId) {
        let process = self.process(relay);
        let is_idle = process.wires.get(&connection).is_some_and(|wire| wire.load == Load::Idle);
        if process.is_up(life) && is_idle {
            process.wires.remove(&connection);
            self.put(relay, Input::Closed(connection));
        }
    }

    /// A host closes all its connections, as its process ends.
    pub(super) fn reset_all(&mut self, host: HostNumber) {
        for relay in 0..self.plan.fleet.relays {
            let process = &self.relays[usize::from(relay)];
            let life = process.life;
            let wires = process.wires.iter().filter(|(_, wire)| wire.host == host);
            let wires: Vec<_> = wires.map(|(connection, wire)| (*connection, wire.load)).collect();
            let base = self.base(relay, host);
            for (connection, load) in wires {
                let back = self.links.stream(Party::Host(host), Party::Relay(relay), base, OPENING);
                let at = back.at(self.now);
                match load {
                    Load::Opening => {}
                    Load::Idle => self.calendar.enter(at, Event::ClosedIdle { relay, life, connection }),
                    Load::Carrying(call) => {
                        self.broken_at_host(call);
                        self.calendar.enter(at, Event::Breaks(call));
                    }
                }
            }
        }
    }

    /// Asks a host how it is, on a connection of its own.
    pub(super) fn probe(&mut self, relay: RelayNumber, address: SocketAddr, within: Micros) {
        let life = self.process(relay).life;
        let Some(host) = host_at(address).filter(|host| (*host as usize) < self.hosts.len()) else { return };
        let base = self.base(relay, host);
        let there = self.links.stream(Party::Relay(relay), Party::Host(host), 2 * base, OPENING);
        let at = there.at(self.now).min(self.now + within);
        self.calendar.enter(at, Event::Probes { relay, life, host, within });
    }

    pub(super) fn probes(&mut self, relay: RelayNumber, life: Life, host: HostNumber, within: Micros) {
        let (out, cut) =
            (&self.hosts[host as usize], self.links.cut_until(Party::Relay(relay), Party::Host(host)));
        let how = match (cut.is_some(), out.is_refusing(), out.is_silent()) {
            (true, ..) => Probe::NoAnswer,
            (_, true, _) => Probe::NoConnection,
            (.., true) => Probe::NoAnswer,
            _ if self.capacity_of(host) > 0.0 => Probe::Well,
            _ => Probe::Busy,
        };
        self.tell(Happened::Probed { relay, host, failed: how != Probe::Well });
        let after = if how == Probe::NoAnswer { within } else { self.base(relay, host) };
        self.enter_in(after, Event::Probed { relay, life, host, how });
    }

    pub(super) fn probed(&mut self, relay: RelayNumber, life: Life, host: HostNumber, how: Probe) {
        if !self.process(relay).is_up(life) {
            return;
        }
        let outcome = match how {
            Probe::Well => Outcome::Ok,
            Probe::Busy => Outcome::Rejected { wait: 0 },
            Probe::NoConnection => Outcome::ConnectFailed,
            Probe::NoAnswer => Outcome::Timeout,
        };
        let host = HostId(names::number(&registry::name(host)));
        let reply = Reply { outcome, closed: false, took: 0, report: None, kept: false };
        self.put(relay, Input::Probed { host, reply });
    }
}
