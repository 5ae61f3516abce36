//! The machine of one relay: takes inputs to the parts that heed them, and their effects out.

mod claiming;
mod deciding;
mod in_force;
mod learnt;
mod messages;
mod owning;
mod rostering;
mod status;
mod told;

use std::collections::BTreeMap;

use pewterseam_fleet::interface::{Decision, MemberId, Members, Severity, Ticket};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use status::Status;

use crate::claimant::Calls;
use crate::claims::{Faults, Handover, Limits, Table};
use crate::counters::Counters;
use crate::interface::{Config, Effect, Input, Micros};
use crate::learning::{Learning, Suggestion};
use crate::rules::VariantsFile;
use in_force::InForce;
use messages::Messages;

/// Between looks at what should be decided.
const LOOK: Micros = 500_000;
/// Until a file has told it.
const FIRST_LIMITS: Limits = Limits { most_claims: 200_000, most_answer_bytes: 16 * 1024 * 1024 };

/// What a call of this machine asked.
#[derive(Clone, Copy, Debug)]
enum Asking {
    Claims,
    HandOver { of: MemberId },
}

/// Variants at one relay: claimant of what it takes in, and owner of keys of the fleet. Rules and owners
/// outlast it in the fleet's folder; claims outlast it at the other owners.
pub struct Machine {
    config: Config,
    rng: Pcg64Mcg,
    members: Members,
    file: Option<VariantsFile>,
    in_force: InForce,
    handover: Handover,
    /// When the owners in force were learnt.
    moved: Micros,
    table: Table,
    messages: Messages,
    calls: Calls,
    asking: BTreeMap<Ticket, Asking>,
    /// Handed over so far, and when it is asked for again.
    handing: rostering::Handing,
    learning: Learning,
    /// Proposed and not in force.
    suggested: BTreeMap<(String, u16), Suggestion>,
    proposed: deciding::Proposed,
    numbered: u64,
    next_look: Micros,
    woken: Option<Micros>,
    counters: Counters,
    effects: Vec<Effect>,
}

impl Machine {
    /// As the relay starts. Then come the members, the decisions in force, the file, and a
    /// [`Input::Timer`].
    pub fn new(now: Micros, config: Config, seed: u64) -> Self {
        Self::with_faults(now, config, seed, Faults::default())
    }

    /// For tests only.
    pub fn with_faults(now: Micros, config: Config, seed: u64, faults: Faults) -> Self {
        let process = (config.me, config.incarnation);
        Machine {
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: Members::default(),
            file: None,
            in_force: InForce::default(),
            handover: Handover::new(process),
            moved: now,
            table: Table::with_faults(FIRST_LIMITS, faults),
            messages: Messages::default(),
            calls: Calls::default(),
            asking: BTreeMap::new(),
            handing: rostering::Handing::default(),
            learning: Learning::default(),
            suggested: BTreeMap::new(),
            proposed: deciding::Proposed::default(),
            numbered: 0,
            next_look: now + LOOK,
            woken: None,
            counters: Counters::default(),
            effects: Vec::new(),
            config,
        }
    }

    /// What happened, and what is to be done about it, in this order.
    pub fn handle(&mut self, now: Micros, input: Input<'_>) -> Vec<Effect> {
        match input {
            Input::Timer => self.on_timer(now),
            Input::Members(members) => self.members = members.clone(),
            Input::Decided(decision) => self.on_decided(now, decision),
            Input::Proposed { ticket, outcome } => self.on_proposed(now, ticket, outcome),
            Input::Told { from, body } => self.on_told(now, from, body),
            Input::Asked { call, from, body } => self.on_asked(now, call, from, body),
            Input::Replied { ticket, answer } => self.on_replied(now, ticket, answer),
            Input::File(file) => self.on_file(now, file),
            Input::Offered(offered) => self.on_offered(now, offered),
            Input::Started { handle } => {
                self.with_message(now, handle, |message, owners| message.started(now, owners));
            }
            Input::Ended { handle, end } => self.on_ended(now, handle, end),
            Input::Withdrawn { handle, may_have_run } => {
                self.with_message(now, handle, |message, owners| {
                    message.withdrawn(now, may_have_run, owners)
                });
            }
        }
        self.flush(now);
        self.wake(now);
        std::mem::take(&mut self.effects)
    }

    pub fn counters(&self) -> Counters {
        let (claims, observed) = (self.table.len() as u64, self.learning.observed);
        Counters { claims, observed, ..self.counters }
    }

    /// Claims that are kept here for the fleet.
    pub fn table(&self) -> &Table {
        &self.table
    }

    fn on_timer(&mut self, now: Micros) {
        self.table.sweep(now);
        self.handover.look(now);
        self.on_wakes(now);
        self.hand_over(now);
        if now >= self.next_look {
            self.next_look = now + LOOK;
            self.look_roster(now);
            self.look_rules(now);
            self.learn(now);
        }
    }

    fn wake(&mut self, now: Micros) {
        let times = [
            Some(self.next_look),
            self.messages.next_wake(),
            self.calls.next(now),
            self.table.next_expiry(),
            self.handover.next_end(),
            self.handing.next(),
        ];
        let next = times.into_iter().flatten().min().map(|next| next.max(now + 1));
        if next != self.woken || next.is_some_and(|next| next <= now) {
            self.woken = next;
            self.effects.extend(next.map(Effect::Wake));
        }
    }

    fn ticket(&mut self) -> Ticket {
        self.numbered += 1;
        Ticket(self.numbered)
    }

    fn log(&mut self, severity: Severity, line: String) {
        self.effects.push(Effect::Log { severity, line });
    }

    fn on_decided(&mut self, now: Micros, decision: &Decision) {
        self.heed_rules(now, decision);
        self.heed_roster(now, decision);
        self.heed_suggestion(decision);
    }
}
