//! A relay's broadcasts: detection, lanes and passing on, driven together. No I/O.

mod io;
mod parts;
mod rounds;

pub use io::{BroadcastId, Effect, Input, Refused};

use std::collections::{BTreeMap, BTreeSet};

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::{MemberId, Members, Severity, Ticket};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::detection::{GroupId, Slice, SliceId, Tally, Waiting, slices};
use crate::groups::{Groups, LanesFile, PartId, PartKey};
use crate::lanes::{Home, Rules, Table};
use crate::passing::{Ask, Passing, Record};
use parts::{Open, Out};

/// What a relay's broadcasts are made with; the same at all relays but for `me`.
#[derive(Clone, Debug)]
pub struct Config {
    pub me: MemberId,
    pub groups: Groups,
    pub lanes: LanesFile,
    pub key: PartKey,
    /// Between two reports.
    pub round: Micros,
}

/// Figures for `/metrics`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counted {
    pub broadcasts: u64,
    pub refused: u64,
    pub passed_on: u64,
    pub came_back: u64,
    pub proposed: u64,
    /// Proposals that were not decided.
    pub not_decided: u64,
    /// Bytes of reports told.
    pub told_bytes: u64,
    /// Bodies of members that could not be read.
    pub unread: u64,
    /// Rounds of slices that showed a common cause.
    pub common_causes: u64,
}

#[derive(Debug)]
pub struct Machine {
    config: Config,
    members: Members,
    slices: Vec<Slice>,
    /// Homes of each slice, as the members are now.
    homes_of: BTreeMap<SliceId, Vec<MemberId>>,
    /// Slices that this relay is a home of.
    homes: BTreeMap<SliceId, Home>,
    table: Table,
    tally: Tally,
    waiting: Waiting,
    passing: Passing,
    open: BTreeMap<BroadcastId, Open>,
    out: BTreeMap<PartId, Out>,
    proposals: BTreeSet<Ticket>,
    /// Slices whose common cause was told.
    told: BTreeSet<SliceId>,
    process: u32,
    round: u32,
    next_round: Micros,
    /// When the passing on wants to be woken.
    passing_wake: Option<Micros>,
    /// The last [`Effect::Wake`], unless its time has come.
    wake: Option<Micros>,
    last_ticket: u64,
    counted: Counted,
}

/// Tickets of proposals; those of passing on are lower.
const PROPOSALS: u64 = 1 << 63;

impl Machine {
    /// `saved` are the records of the folder in their order.
    pub fn new(now: Micros, config: Config, saved: &[Record], seed: u64) -> (Self, Vec<Effect>) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (passing, effects) = Passing::new(now, saved, rng.random());
        let all = config.groups.all().flat_map(slices).collect();
        // Relays don't report all at once.
        let next_round = now + rng.random_range(0..config.round.max(1));
        let mut machine = Machine {
            members: Members::of(config.me, [0; 16], []),
            config,
            slices: all,
            homes_of: BTreeMap::new(),
            homes: BTreeMap::new(),
            table: Table::default(),
            tally: Tally::default(),
            waiting: Waiting::new(),
            passing,
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            proposals: BTreeSet::new(),
            told: BTreeSet::new(),
            process: rng.random(),
            round: 0,
            next_round,
            passing_wake: None,
            wake: None,
            last_ticket: PROPOSALS,
            counted: Counted::default(),
        };
        let mut out = Vec::new();
        machine.carry(effects, &mut out);
        machine.wake(&mut out);
        (machine, out)
    }

    pub fn handle(&mut self, now: Micros, input: Input<'_>) -> Vec<Effect> {
        let mut out = Vec::new();
        match input {
            Input::Timer => {
                self.wake = None;
                if now >= self.next_round {
                    self.end_round(now, &mut out);
                }
                if self.passing_wake.is_some_and(|at| now >= at) {
                    self.passing_wake = None;
                    self.pass(now, crate::passing::Input::Timer, &mut out);
                }
            }
            Input::Members(members) => {
                self.members = members.clone();
                self.rehome();
                self.pass(now, crate::passing::Input::Members(members), &mut out);
            }
            Input::Decided(decision) => {
                if let Some(change) = self.table.take(&decision) {
                    let moves = change.moved.len() + change.back.len();
                    if let Some(home) = self.homes.get_mut(&change.slice) {
                        home.moved(now, moves);
                    }
                    let line = format!("decision {}: {}", decision.epoch.0, decision.grounds);
                    out.push(Effect::Log { severity: Severity::Info, line });
                    out.push(Effect::Moved(change));
                }
            }
            Input::Proposed { ticket, outcome } => {
                self.proposals.remove(&ticket);
                self.counted.not_decided += u64::from(outcome.is_err());
            }
            Input::Told { from, body } => self.told(from, &body),
            Input::Asked { call, from, body } => match postcard::from_bytes::<Ask>(&body) {
                Ok(ask) => {
                    let call = crate::passing::CallNumber(call.0);
                    self.pass(now, crate::passing::Input::Asked { call, from, ask }, &mut out);
                }
                Err(_) => self.counted.unread += 1,
            },
            Input::Replied { ticket, answer } => self.replied(now, ticket, answer, &mut out),
            Input::Handed { call, from, hand } => {
                self.pass(now, crate::passing::Input::Handed { call, from, hand }, &mut out);
                // The answer to a part by `/api` goes the way that it came.
                for effect in &mut out {
                    if let Effect::Reply { body, .. } = effect {
                        *effect = Effect::HandReply { call, body: std::mem::take(body) };
                    }
                }
            }
            Input::Broadcast { id, group, deadline } => self.broadcast(now, id, &group, deadline, &mut out),
            Input::Place { id, destination } => self.place(now, &id, destination, &mut out),
            Input::PartEnded { id, destination, end } => self.part_ended(&id, destination, end, &mut out),
            Input::TakenEnded { part, end } => {
                self.pass(now, crate::passing::Input::Ended { part, end }, &mut out);
            }
            Input::CallEnded { group, destination, service, silent } => {
                if let Some(slice) = self.slice(group, destination) {
                    self.tally.ended(slice, destination, service, silent);
                }
            }
            Input::TurnedAway { group, destination } => {
                if let Some(slice) = self.slice(group, destination) {
                    self.tally.turned_away(slice, destination);
                }
            }
            Input::Waits { destination, age } => {
                let oldest = self.waiting.entry(destination).or_default();
                *oldest = age.max(*oldest);
            }
            Input::Unwritten => self.pass(now, crate::passing::Input::Unwritten, &mut out),
        }
        self.wake(&mut out);
        out
    }

    fn wake(&mut self, out: &mut Vec<Effect>) {
        let wake = self.passing_wake.map_or(self.next_round, |at| at.min(self.next_round));
        if self.wake != Some(wake) {
            self.wake = Some(wake);
            out.push(Effect::Wake(wake));
        }
    }

    fn slice(&self, group: &str, destination: u32) -> Option<SliceId> {
        let group = self.config.groups.get(group).ok()?;
        group.place(destination)?;
        Some(crate::detection::slice_of(GroupId::of(&group.name), group.destinations().len(), destination))
    }

    pub fn counted(&self) -> Counted {
        self.counted
    }

    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Bytes that this relay holds for subscribers as their home.
    pub fn home_bytes(&self) -> usize {
        self.homes.values().map(Home::bytes).sum()
    }

    fn rules(&self, slice: &Slice) -> Rules {
        let all = self.slices.iter().map(|slice| slice.subscribers.len()).sum();
        Rules::of(&self.config.lanes, slice.subscribers.len(), all)
    }
}

#[cfg(test)]
mod tests;
