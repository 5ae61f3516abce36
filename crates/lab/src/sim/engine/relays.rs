//! Relays as processes: starts, steps of their machines, what these ask for.

use pewterseam::interface::Micros;
use pewterseam_node::client::{Question, RequestId};
use pewterseam_node::io::{Effect, Input, Level, Step};
use pewterseam_node::reducer::Room;

use super::super::event::{Event, Life};
use super::super::journal;
use super::super::links::Party;
use super::{CLOCK, Engine};
use crate::story::{Happened, RelayNumber};

/// A process needs so long from its start to its first step.
const STARTING: Micros = 30_000;
/// Whoever deals out clients asks so often whether a relay is ready.
const HEALTH_EVERY: Micros = 50_000;
/// A folder is there again so long after its process died.
const FOLDER_AFTER: Micros = 600_000;
/// Idle connections to hosts that a relay keeps: what a relay on 1,024 descriptors has for them.
const MOST_IDLE: usize = 300;
/// The question whether it is ready, among the numbers of requests.
pub(super) const HEALTH: RequestId = RequestId(u64::MAX);

impl Engine<'_> {
    /// Enters the start of a relay that nothing holds back.
    pub(super) fn start_when_free(&mut self, relay: RelayNumber) {
        let now = self.now;
        let process = self.process(relay);
        if process.machine.is_some() || !process.holds.is_empty() || process.start_entered {
            return;
        }
        process.start_entered = true;
        let at = process.died_at.map_or(now, |died| now.max(died + FOLDER_AFTER));
        self.calendar.enter(at + STARTING, Event::Starts { relay });
    }

    pub(super) fn starts(&mut self, relay: RelayNumber) {
        self.process(relay).start_entered = false;
        if !self.process(relay).holds.is_empty() || self.process(relay).machine.is_some() {
            return;
        }
        let mut deployment = self.deployment.clone();
        deployment.settings.me = relay;
        let seed = self.relay_dice[usize::from(relay)].number();
        let room = Room { bytes: journal::room(), idle_connections: MOST_IDLE };
        let mut machine = self.variant.machine(deployment, seed, room);
        let process = &mut self.relays[usize::from(relay)];
        let known = self.registry.list(process.agent_rev, None);
        machine.recall(process.folder.learnt.clone());
        let step = machine.start(CLOCK + self.now, process.folder.read(), Some(known));
        process.machine = Some(machine);
        let life = process.life;
        self.carry_out(relay, step);
        self.write_anew(relay);
        self.enter_in(HEALTH_EVERY, Event::HealthAsked { relay, life });
    }

    pub(super) fn ask_health(&mut self, relay: RelayNumber, life: Life) {
        if self.process(relay).is_up(life) && self.process(relay).stop.is_none() {
            self.put(relay, Input::Question { id: HEALTH, question: Question::Ready });
        }
    }

    pub(super) fn health_answered(&mut self, relay: RelayNumber, ready: bool) {
        let process = self.process(relay);
        let life = process.life;
        if !ready {
            self.enter_in(HEALTH_EVERY, Event::HealthAsked { relay, life });
        } else if !std::mem::replace(&mut process.ready, true) {
            self.tell(Happened::Ready { relay });
            self.lead_clients(relay, true);
        }
    }

    /// Hands a relay's process an input; it is taken with all that comes in the same moment.
    pub(super) fn put(&mut self, relay: RelayNumber, input: Input) {
        let process = self.process(relay);
        if process.machine.is_none() {
            return;
        }
        process.inbox.push(input);
        self.enter_turn(relay);
    }

    pub(super) fn enter_turn(&mut self, relay: RelayNumber) {
        let process = self.process(relay);
        if process.turn_due || process.is_stalled() || process.machine.is_none() {
            return;
        }
        process.turn_due = true;
        let life = process.life;
        self.enter_in(0, Event::Turn { relay, life });
    }

    pub(super) fn wakes(&mut self, relay: RelayNumber, life: Life) {
        let now = self.now;
        let process = self.process(relay);
        if process.is_up(life) && process.wake_at.is_some_and(|at| at <= now) {
            self.enter_turn(relay);
        }
    }

    pub(super) fn turn(&mut self, relay: RelayNumber, life: Life) {
        let now = self.now;
        if !self.process(relay).is_up(life) {
            return;
        }
        self.process(relay).turn_due = false;
        if self.process(relay).is_stalled() {
            return;
        }
        let mut inputs = std::mem::take(&mut self.process(relay).inbox);
        inputs.retain(|input| !self.is_left(relay, input));
        let process = self.process(relay);
        process.wake_at = process.wake_at.filter(|at| *at > now);
        let Some(machine) = process.machine.as_mut() else { return };
        let step = machine.step(CLOCK + now, inputs);
        self.tally.steps += 1;
        self.carry_out(relay, step);
    }

    /// A request whose client has gone is answered by the driver itself.
    fn is_left(&mut self, relay: RelayNumber, input: &Input) -> bool {
        let Input::Offer { id, .. } = input else { return false };
        let place = id.0 as usize;
        let left = self.requests.get(place).is_some_and(|request| request.is_gone());
        if left {
            self.process(relay).open.remove(&place);
        }
        left
    }

    /// Keeps a step's records, then does what it asks for. What can't be kept is taken back first.
    pub(super) fn carry_out(&mut self, relay: RelayNumber, mut step: Step) {
        let now = CLOCK + self.now;
        let process = self.process(relay);
        let Some(machine) = process.machine.as_mut() else { return };
        while process.folder.append(&step.records).is_err() {
            step = machine.undo(now, step);
        }
        let is_due = process.folder.is_due();
        for effect in step.effects {
            self.carry_out_effect(relay, effect);
        }
        if is_due {
            self.write_anew(relay);
        }
    }

    fn write_anew(&mut self, relay: RelayNumber) {
        let process = self.process(relay);
        let Some((next, records)) = process.machine.as_ref().map(|machine| machine.records()) else { return };
        let done = process.folder.write_anew(next, &records).is_ok();
        self.put(relay, Input::WrittenAnew { done });
    }

    fn carry_out_effect(&mut self, relay: RelayNumber, effect: Effect) {
        match effect {
            Effect::Answer { id, answer } => self.answer(relay, id, answer),
            Effect::Open { connection, address, within } => self.open(relay, connection, address, within),
            Effect::Call(call) => self.call(relay, call),
            Effect::Abandon(connection) => self.abandon(relay, connection),
            Effect::Close(connections) => {
                for connection in connections {
                    self.process(relay).wires.remove(&connection);
                }
            }
            Effect::Probe { host: _, address, timeout, .. } => self.probe(relay, address, timeout),
            Effect::Notify(notice) => self.notify(relay, notice),
            Effect::Gossip { to, bytes } => self.gossip(relay, to, bytes),
            Effect::Follow => self.follow(relay),
            Effect::Wake(at) => {
                let at = at.saturating_sub(CLOCK).max(self.now);
                let process = self.process(relay);
                process.wake_at = Some(process.wake_at.map_or(at, |wake| wake.min(at)));
                let life = process.life;
                self.calendar.enter(at, Event::Wake { relay, life });
            }
            Effect::Log { level: Level::Info | Level::Warn | Level::Error, text } => {
                self.tell(Happened::Said { relay, text });
            }
            // No fleet is formed here yet.
            Effect::CallMember { .. } | Effect::KeepFleet { .. } => {}
            // Nobody here makes an operator's call, or has a configuration read again.
            Effect::Tell { .. } | Effect::Standby(_) | Effect::KeepMaintenance(_) | Effect::Move(_) => {}
        }
    }

    fn gossip(&mut self, from: RelayNumber, to: Option<RelayNumber>, bytes: Vec<u8>) {
        let bytes: std::rc::Rc<[u8]> = bytes.into();
        let others = match to {
            Some(to) => to..to.saturating_add(1),
            None => 0..self.plan.fleet.relays,
        };
        let zone = self.process(from).zone;
        for to in others.filter(|to| *to != from && *to < self.plan.fleet.relays) {
            self.tally.datagrams += 1;
            self.tally.datagram_bytes += bytes.len() as u64;
            let base = self.links.between(zone, self.relays[usize::from(to)].zone);
            let copies = self.links.datagram(Party::Relay(from), Party::Relay(to), base);
            self.tally.datagrams_lost += u64::from(copies == [None; 2]);
            for after in copies.into_iter().flatten() {
                self.enter_in(after, Event::Datagram { from, to, bytes: bytes.clone() });
            }
        }
    }

    pub(super) fn hears(&mut self, from: RelayNumber, to: RelayNumber, bytes: &[u8]) {
        self.put(to, Input::Peer { from, bytes: bytes.to_vec() });
    }
}
