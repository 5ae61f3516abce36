//! The machine of one member: takes inputs to the parts that heed them, and their effects out.

mod calling;
mod gossip;
mod learning;
mod marks;
mod posting;
mod proposing;
mod proving;
mod seating;
mod status;
mod voting;
mod writing;

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use status::{Seen, Status, VoterStatus};

use crate::calls::AnswerTo;
use crate::counters::Counters;
use crate::envelope::Profile;
use crate::identity::Identity;
use crate::interface::{
    Batch, CallId, Config, Effect, InForce, Input, Member, MemberId, MemberState, Micros, Record, Saved,
    Ticket, VoterId,
};
use crate::keys::Keys;
use crate::learn::Pull;
use crate::log::{Folder, Proof, Voter, Voters};
use crate::members::{Profiles, Swim, View};
use crate::window::Window;

/// What this version knows. A member of a lower one takes part in what it knows.
pub const VERSION: u16 = 1;

/// What a member is to the log.
enum Role {
    /// It has no seat.
    Outside,
    /// It has one by its folder or the operator's file, and asks whether the folder is the one it had.
    Proving(Proof, Box<Batch>),
    /// It votes, or learns in order to.
    Seated(Box<Voter>),
}

/// One member of the fleet.
pub struct Fleet {
    config: Config,
    keys: Keys,
    rng: Pcg64Mcg,
    seed: u64,
    counters: Counters,
    begun: bool,
    stopped: bool,

    /// What is to be done whatever becomes of the records, the records, and what rests on them.
    effects: Vec<Effect>,
    records: Vec<Record>,
    after: Vec<Effect>,
    persisted: u64,
    /// Records in the folder, about; and whether it is to be written anew.
    kept: usize,
    persist_anew: bool,
    /// After a write that failed: when it is tried again. Until then a voter promises nothing.
    write_again: Option<Micros>,

    swim: Swim,
    profiles: Profiles,
    view: View,
    heard: Window,
    sequence: u64,
    /// When the places that were not heard of are tried next, and all members looked at.
    next_contact: Micros,
    next_look: Micros,
    next_word: Micros,
    started: Micros,
    /// A member is seen otherwise than before, and when that was last so.
    changed: bool,
    steady_since: Micros,

    calls: BTreeMap<CallId, calling::Out>,
    numbered: u64,
    call_sequences: BTreeMap<MemberId, u64>,
    called: Window,
    asked: BTreeMap<CallId, (AnswerTo, Micros)>,

    known: InForce,
    /// Pages that replace it once they are all there.
    anew: Option<InForce>,
    pull: Pull,
    voters: Voters,

    role: Role,
    /// Highest life of this place whose seat was given up.
    gone: u32,
    marks: BTreeMap<MemberId, (u32, u64)>,
    marks_changed: bool,
    next_mark: Micros,
    mark_told: u64,
    next_tick: Micros,
    next_seats: Micros,
    led_since: Option<Micros>,
    bound_since: Option<Micros>,
    away: voting::Away,
    gone_voters: BTreeSet<VoterId>,
    outboxes: BTreeMap<VoterId, posting::Outbox>,
    mine: BTreeMap<Ticket, proposing::Mine>,
    waiters: BTreeMap<u64, (u64, proposing::Waiter, Micros)>,
}

impl Fleet {
    /// A member as it starts, with what its folder says. The first input should be a [`Input::Timer`].
    pub fn new(now: Micros, config: Config, seed: u64, saved: &Saved) -> Self {
        let before = saved.records.iter().filter_map(|record| match record {
            Record::Started { incarnation } => Some(*incarnation),
            _ => None,
        });
        let incarnation = before.max().map_or(1, |before| before.saturating_add(1)).max(config.started);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let identity = Identity::new(config.me, incarnation);
        let swim = Swim::new(identity, config.peers, config.times, Pcg64Mcg::from_rng(&mut rng));
        let keys = Keys::new(&config.keys);
        let me = Member {
            id: config.me,
            name: config.name.clone(),
            incarnation,
            zone: config.zone.clone(),
            region: config.region.clone(),
            version: VERSION,
            address: config.address,
            state: MemberState::Alive,
            doubt: 0,
        };
        let folder = Folder::read(&saved.records);
        let role = match proving::claim(config.me, &config.voters, folder.voter.as_ref(), folder.gone) {
            Some((claim, batch)) => Role::Proving(Proof::new(now, claim), Box::new(batch)),
            None => Role::Outside,
        };
        Fleet {
            seed,
            counters: Counters::default(),
            begun: false,
            stopped: false,
            effects: Vec::new(),
            records: Vec::new(),
            after: Vec::new(),
            persisted: 0,
            kept: saved.records.len(),
            persist_anew: false,
            write_again: None,
            view: View::new(me, keys.owners()),
            keys,
            rng,
            swim,
            profiles: Profiles::default(),
            heard: Window::default(),
            sequence: 0,
            next_contact: now,
            next_look: now,
            next_word: now,
            started: now,
            changed: false,
            steady_since: now,
            calls: BTreeMap::new(),
            numbered: 0,
            call_sequences: BTreeMap::new(),
            called: Window::default(),
            asked: BTreeMap::new(),
            known: writing::known(&saved.records),
            anew: None,
            pull: Pull::default(),
            voters: Voters::default(),
            role,
            gone: folder.gone,
            marks: folder.marks,
            marks_changed: false,
            next_mark: now,
            mark_told: 0,
            next_tick: now,
            next_seats: now,
            led_since: None,
            bound_since: None,
            away: BTreeMap::new(),
            gone_voters: BTreeSet::new(),
            outboxes: BTreeMap::new(),
            mine: BTreeMap::new(),
            waiters: BTreeMap::new(),
            config,
        }
    }

    /// What happened, and what is to be done about it, in this order.
    pub fn handle(&mut self, now: Micros, input: Input) -> Vec<Effect> {
        if !std::mem::replace(&mut self.begun, true) {
            self.records.push(Record::Started { incarnation: self.swim.identity().incarnation });
            self.effects.extend(self.known.all().cloned().map(Effect::Decided));
        }
        if !self.stopped {
            self.heed(now, input);
        }
        if std::mem::take(&mut self.changed) {
            self.steady_since = now;
        }
        if !self.stopped {
            self.effects.push(Effect::Wake(self.wake(now)));
        }
        self.write();
        std::mem::take(&mut self.effects)
    }

    fn heed(&mut self, now: Micros, input: Input) {
        match input {
            Input::Timer => self.on_time(now),
            Input::Datagram { from, bytes } => self.on_datagram(now, from, &bytes),
            Input::Call { call, body } => self.on_call(now, call, &body),
            Input::Answer { call, answer } => self.on_answer(now, call, answer),
            Input::Persisted { number, written } => self.on_persisted(now, number, written),
            Input::Propose { ticket, proposal } => {
                self.on_propose(now, ticket, proposal);
                self.voter_step(now);
            }
            Input::Tell { to, part, body } => self.tell(to, part, &body),
            Input::Ask { ticket, to, part, body } => self.ask(now, ticket, to, part, body),
            Input::Reply { call, body } => self.reply(call, &body),
            Input::Keys(keys) => self.keys = Keys::new(&keys),
            Input::Stop => self.stop(now),
        }
        if matches!(self.role, Role::Proving(..)) {
            self.prove(now);
        }
    }

    fn on_time(&mut self, now: Micros) {
        self.on_gossip_time(now);
        self.give_up_calls(now);
        self.forget_asked(now);
        self.on_learn_time(now);
        self.on_voter_time(now);
        self.on_proposal_time(now);
        self.voter_step(now);
    }

    fn wake(&self, now: Micros) -> Micros {
        let times = [
            Some(self.next_contact),
            Some(self.next_look),
            self.swim.suspects().next().map(|_| self.next_word),
            self.swim.wake(),
            self.voter_wake(),
            self.proposals_wake(),
            self.pull.wake(),
        ];
        times.into_iter().flatten().min().unwrap_or(now).max(now + 1)
    }

    fn profile(&self) -> Profile {
        Profile {
            name: self.config.name.clone(),
            zone: self.config.zone.clone(),
            region: self.config.region.clone(),
            version: VERSION,
            address: self.config.address,
        }
    }
}

#[cfg(test)]
mod tests;
