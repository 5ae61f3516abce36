//! Calls from the moment that a relay writes one to the moment that it has its answer, or waits no more.

use pewterseam::interface::{Micros, Outcome};
use pewterseam_node::call::{Call, Reply};
use pewterseam_node::io::Input;
use pewterseam_node::pool::ConnectionId;

use super::super::event::{Event, Life};
use super::super::host::Word;
use super::super::links::Party;
use super::super::process::Load;
use super::Engine;
use crate::story::{CallNumber, Ending, Happened, HostNumber, RelayNumber};

/// Bytes of a call beside its body, and of an answer.
const HEAD: usize = 180;
const ANSWER: usize = 90;

/// One call, as the world sees it.
#[derive(Clone, Debug)]
pub(in super::super) struct CallState {
    pub(super) relay: RelayNumber,
    pub(super) life: Life,
    pub(super) connection: ConnectionId,
    pub(super) host: HostNumber,
    pub(super) message: (u64, u32),
    pub(super) class: usize,
    pub(super) sent_at: Micros,
    /// When the relay wrote its first byte.
    pub(super) began: Micros,
    /// A cut holds it back, or it is sent again: it comes only while its sender waits.
    pub(super) held: bool,
    /// It is held back until its sender gives up.
    pub(super) late: bool,
    /// The relay still waits for it.
    pub(super) out: bool,
    pub(super) arrived: bool,
    pub(super) ran: bool,
    /// Its end was told.
    pub(super) ended: bool,
    pub(super) word: Option<Word>,
    /// The answer's last byte never comes.
    pub(super) cut_short: bool,
}

impl Engine<'_> {
    pub(super) fn call(&mut self, relay: RelayNumber, call: Call) {
        let life = self.process(relay).life;
        let wire = self.process(relay).wires.get(&call.connection).copied();
        // The host has closed it, or it never was: nothing is written.
        let Some(wire) = wire.filter(|wire| wire.load == Load::Idle) else {
            return self.put(relay, Input::Closed(call.connection));
        };
        let Some(request) = self.read_id(&call.message) else {
            debug_assert!(false, "calls carry ids that clients gave");
            return self.put(relay, Input::Closed(call.connection));
        };
        let (message, class) = (self.requests[request].message, self.requests[request].class);
        let number = self.calls.len() as CallNumber;
        if let Some(wire) = self.process(relay).wires.get_mut(&call.connection) {
            wire.load = Load::Carrying(number);
        }
        let (from, to) = (Party::Relay(relay), Party::Host(wire.host));
        let base = self.base(relay, wire.host);
        let way = self.links.stream(from, to, base, HEAD + call.body.len());
        self.calls.push(CallState {
            relay,
            life,
            connection: call.connection,
            host: wire.host,
            message,
            class,
            sent_at: self.now,
            began: self.now,
            held: way.held_until.is_some() || way.resent,
            late: way.late,
            out: true,
            arrived: false,
            ran: false,
            ended: false,
            word: None,
            cut_short: false,
        });
        self.tally.calls += 1;
        self.enter_in(call.timeout, Event::TimedOut(number));
        if !wire.mute && !way.late {
            self.calendar.enter(way.at(self.now), Event::Arrives(number));
        }
    }

    pub(super) fn state(&mut self, call: CallNumber) -> &mut CallState {
        &mut self.calls[call as usize]
    }

    /// The last byte comes to the host, which may find that its caller has left.
    pub(super) fn arrives(&mut self, number: CallNumber) {
        let state = self.calls[number as usize].clone();
        if state.held && !state.out {
            return;
        }
        let host = &mut self.hosts[state.host as usize];
        if host.is_refusing() {
            let base = self.base(state.relay, state.host);
            return self.enter_in(base, Event::Breaks(number));
        }
        let (message, times) = state.message;
        let CallState { relay, host: to, began, .. } = state;
        self.tell(Happened::Arrived { call: number, message, times, relay, host: to, began });
        self.state(number).arrived = true;
        let class = &self.plan.load.classes[state.class];
        let host = &mut self.hosts[to as usize];
        let destination = &mut self.destinations[host.destination];
        let reaction = host.take(destination, class, state.message, self.now, &mut self.host_dice);
        self.state(number).ran = reaction.ran;
        if reaction.ran {
            self.tell(Happened::Ran { call: number });
        }
        if !state.out {
            return self.end(number, Ending::Left { ran: reaction.ran });
        }
        if let Some((after, word)) = reaction.answer {
            self.state(number).word = Some(word);
            self.enter_in(after, Event::Answers(number));
        }
    }

    pub(super) fn end(&mut self, number: CallNumber, how: Ending) {
        if !std::mem::replace(&mut self.state(number).ended, true) {
            self.tell(Happened::Ended { call: number, how });
        }
    }

    /// The host writes its answer, if it is there and its caller has not left.
    pub(super) fn answers(&mut self, number: CallNumber) {
        let state = &self.calls[number as usize];
        let (Some(word), false) = (state.word, state.ended || !state.out) else { return };
        let (relay, host) = (state.relay, state.host);
        if self.hosts[host as usize].is_out() {
            return;
        }
        self.end(
            number,
            match word {
                Word::Served => Ending::Served,
                Word::Error => Ending::Error,
                Word::Refused { wait } => Ending::Refused { wait },
            },
        );
        let base = self.base(relay, host);
        let way = self.links.stream(Party::Host(host), Party::Relay(relay), base, ANSWER);
        self.state(number).cut_short = way.reset;
        if !way.late {
            self.calendar.enter(way.at(self.now), Event::Answered(number));
        }
    }

    /// The answer comes to the relay. What breaks off behind its first line tells by that whether it was a
    /// 200, and a whole head of a 429 its wait.
    pub(super) fn answered(&mut self, number: CallNumber) {
        let CallState { cut_short, word, host, out, .. } = self.calls[number as usize];
        let (Some(word), true) = (word, out) else { return };
        let destination = self.hosts[host as usize].destination;
        let (outcome, closed) = match word {
            Word::Served => (Outcome::Ok, true),
            Word::Refused { wait: wait @ 1.. } => (Outcome::Rejected { wait: to_ms(wait) }, false),
            Word::Error | Word::Refused { .. } if cut_short => (Outcome::Reset, false),
            Word::Error => (Outcome::Error, false),
            Word::Refused { .. } => (Outcome::Rejected { wait: 0 }, false),
        };
        let report = if cut_short { None } else { self.destinations[destination].report(self.now) };
        self.conclude(number, outcome, closed, report, !cut_short);
    }

    /// Tells the relay what came of a call.
    pub(super) fn conclude(
        &mut self, number: CallNumber, outcome: Outcome, closed: bool, report: Option<String>, kept: bool,
    ) {
        let state = self.state(number);
        state.out = false;
        let CallState { relay, life, connection, sent_at, .. } = *state;
        let took = self.now - sent_at;
        let process = self.process(relay);
        if !process.is_up(life) {
            return;
        }
        if kept {
            if let Some(wire) = process.wires.get_mut(&connection) {
                wire.load = Load::Idle;
            }
        } else {
            process.wires.remove(&connection);
        }
        self.put(relay, Input::Called { connection, reply: Reply { outcome, closed, took, report, kept } });
    }
}

/// A wait as it is written in an answer: whole milliseconds.
fn to_ms(wait: Micros) -> Micros {
    wait / 1000 * 1000
}
