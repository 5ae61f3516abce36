//! What a relay does together with others: the fleet's machine, and what it says for the rest of the relay. Only where
//! an operator's file forms a fleet; without one nothing of it exists.

mod failover;

use std::collections::{BTreeMap, VecDeque};

use pewterseam::interface::{DestinationId, Event, Micros};
use pewterseam_failover::interface::{Config as FailoverConfig, Input as Seen, Seen as End, ZoneHosts};
use pewterseam_fleet::Fleet;
use pewterseam_fleet::interface::{
    Config, Effect as Said, Input as Asked, MemberState, Part, Saved, Severity,
};
use pewterseam_fleet::is_fleet_datagram;

use crate::client::{Answer, RequestId};
use crate::io::{Effect, Level};
use failover::{Failover, Wishes};

/// A member of a fleet.
pub struct Together {
    fleet: Fleet,
    /// When the machine wants the time.
    wake_at: Option<Micros>,
    /// The records that are being written, and what may rest on them, in order.
    writes: Option<u64>,
    resting: VecDeque<Said>,
    /// What came while records are being written.
    waiting: VecDeque<Asked>,
    /// Where the file asks for it.
    failover: Option<Failover>,
    /// What the decisions are to be told, and hosts that are to be probed, by destination and zone.
    events: Vec<Event>,
    looks: Vec<(DestinationId, u16, u32)>,
}

impl Together {
    /// Forms the fleet with others. `saved` is what its records told; `seed` is new with each start.
    pub fn new(
        now: Micros, config: Config, failover: Option<FailoverConfig>, seed: u64, saved: &Saved,
    ) -> Self {
        let fleet = Fleet::new(now, config, seed, saved);
        let failover = failover.map(|config| Failover::new(now, config, seed));
        Together {
            fleet,
            wake_at: Some(now),
            writes: None,
            resting: VecDeque::new(),
            waiting: VecDeque::new(),
            failover,
            events: Vec::new(),
            looks: Vec::new(),
        }
    }

    /// Whether a datagram of a peer is for the fleet's machine.
    pub fn is_ours(&self, bytes: &[u8]) -> bool {
        is_fleet_datagram(bytes)
    }

    /// Takes what happened; gives what is to be done. While records are being written it waits: whether they are is
    /// told to the machine before anything else.
    pub fn take(&mut self, now: Micros, asked: Asked) -> Vec<Effect> {
        self.waiting.push_back(asked);
        self.say(now)
    }

    /// Gives the machine the time, if it wants it by now.
    pub fn look(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = self.of_failover(now, |failover, wishes| failover.look(now, wishes));
        if self.wake_at.take_if(|at| *at <= now).is_some() {
            effects.extend(self.take(now, Asked::Timer));
        }
        effects
    }

    /// What the decisions are to be told, since the last time.
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Hosts that are to be probed: destination, zone, and how often.
    pub fn looks(&mut self) -> Vec<(DestinationId, u16, u32)> {
        std::mem::take(&mut self.looks)
    }

    /// The hosts of all destinations by zone, as listed.
    pub fn listed(
        &mut self, now: Micros, listed: impl FnOnce() -> BTreeMap<DestinationId, Vec<ZoneHosts>>,
    ) -> Vec<Effect> {
        self.of_failover(now, |failover, wishes| failover.listed(now, listed(), wishes))
    }

    /// A call or probe ended.
    pub fn ended(&mut self, now: Micros, end: End) -> Vec<Effect> {
        self.of_failover(now, |failover, wishes| failover.ended(now, end, wishes))
    }

    /// A message was handed in; when to come back, if it has no place anywhere.
    pub fn handed(
        &mut self, now: Micros, destination: DestinationId, worth: f64, chance: f64,
    ) -> (Vec<Effect>, Option<Micros>) {
        let handed = Seen::Handed { destination, worth };
        let effects = self.of_failover(now, |failover, wishes| failover.take(now, handed, wishes));
        let failover = self.failover.as_ref();
        (effects, failover.and_then(|failover| failover.turns_away(destination, worth, chance)))
    }

    /// An operator's word on a destination's zone: away or not, and for how many seconds; none ends a pin. None where
    /// nothing fails over.
    pub fn pin(
        &mut self, now: Micros, destination: DestinationId, zone: String, pin: Option<(bool, u64)>,
    ) -> Option<Vec<Effect>> {
        self.failover.as_ref()?;
        let seen = match pin {
            Some((away, seconds)) => Seen::Pin { destination, zone, away, seconds },
            None => Seen::Unpin { destination, zone },
        };
        Some(self.of_failover(now, |failover, wishes| failover.take(now, seen, wishes)))
    }

    /// Has failover heed something; what it would have decided or told goes to the fleet's machine.
    fn of_failover(&mut self, now: Micros, heed: impl FnOnce(&mut Failover, &mut Wishes)) -> Vec<Effect> {
        let Some(failover) = &mut self.failover else { return Vec::new() };
        let mut wishes = Wishes::default();
        heed(failover, &mut wishes);
        let mut effects = self.grant(wishes);
        effects.extend(self.say(now));
        effects
    }

    /// Books what failover wishes; gives what is to be done at once.
    fn grant(&mut self, wishes: Wishes) -> Vec<Effect> {
        self.events.extend(wishes.events);
        self.looks.extend(wishes.looks);
        self.waiting.extend(wishes.asked);
        let wake = self.failover.as_ref().and_then(|failover| failover.wake_at).map(Effect::Wake);
        wishes.lines.into_iter().map(log).chain(wake).collect()
    }

    /// Whether records were written. Danger: what rests on records that are not there, a vote above all, is said all
    /// the same; it is dropped instead.
    pub fn kept(&mut self, now: Micros, number: u64, written: bool) -> Vec<Effect> {
        if self.writes.take_if(|writes| *writes == number).is_none() {
            return Vec::new();
        }
        if !written {
            // Up to the next records, which are tried for themselves.
            while self.resting.front().is_some_and(|said| !is_write(said)) {
                self.resting.pop_front();
            }
        }
        let said = self.fleet.handle(now, Asked::Persisted { number, written });
        self.resting.extend(said);
        self.say(now)
    }

    /// Members, voters and decisions in force as this relay knows them, a JSON object in one line.
    pub fn status(&self, now: Micros) -> String {
        serde_json::to_string(&self.fleet.status(now)).unwrap_or_default()
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// What is said up to the next records that are to be written first.
    fn say(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        while self.writes.is_none() {
            if let Some(said) = self.resting.pop_front() {
                effects.extend(self.pass_on(now, &said));
                effects.extend(self.translate(said));
            } else if let Some(asked) = self.waiting.pop_front() {
                let said = self.fleet.handle(now, asked);
                self.resting.extend(said);
            } else {
                break;
            }
        }
        effects
    }

    /// Passes on what concerns failover.
    fn pass_on(&mut self, now: Micros, said: &Said) -> Vec<Effect> {
        let Some(failover) = &mut self.failover else { return Vec::new() };
        let mut wishes = Wishes::default();
        match said {
            Said::Decided(decision) => failover.take(now, Seen::Decided(decision.clone()), &mut wishes),
            Said::Proposed { ticket, outcome } => {
                let (ticket, outcome) = (*ticket, *outcome);
                failover.take(now, Seen::Proposed { ticket, outcome }, &mut wishes);
            }
            Said::Told { from, part: Part::FAILOVER, body } => {
                failover.take(now, Seen::Told { from: *from, body: body.clone() }, &mut wishes);
            }
            Said::MemberChanged { .. } => failover.members(now, self.fleet.members(), &mut wishes),
            _ => return Vec::new(),
        }
        self.grant(wishes)
    }

    fn translate(&mut self, said: Said) -> Option<Effect> {
        Some(match said {
            Said::Persist { number, records } => {
                self.writes = Some(number);
                Effect::KeepFleet { number, anew: false, records }
            }
            Said::PersistAnew { number, records } => {
                self.writes = Some(number);
                Effect::KeepFleet { number, anew: true, records }
            }
            Said::Datagram { to, bytes } => Effect::Gossip { to: Some(to.0), bytes },
            Said::Call { call, address, body, .. } => Effect::CallMember { call, address, body },
            Said::Answer { call, status, body } => {
                Effect::Answer { id: RequestId(call.0), answer: Answer::Member { status, body } }
            }
            Said::Wake(at) => {
                self.wake_at = Some(at);
                Effect::Wake(at)
            }
            Said::Log { severity, line } => log((severity, line)),
            Said::MemberChanged { id, before, now, .. } => {
                let name = self.fleet.members().get(id).map_or("", |member| member.name.as_str());
                let text = format!("member {} ({name}): {}", id.0, words(before, now));
                let level = if now == MemberState::Alive { Level::Info } else { Level::Warn };
                Effect::Log { level, text }
            }
            Said::Decided(decision) => {
                let (epoch, kind) = (decision.epoch.0, decision.kind.0);
                let ended = if decision.what.is_none() { "ended" } else { "in force" };
                let text = format!("decision {epoch} of kind {kind:04x} {ended}: {}", decision.grounds);
                Effect::Log { level: Level::Info, text }
            }
            Said::Ended { kind, .. } => {
                let text = format!("a decision of kind {:04x} ended while this relay was away", kind.0);
                Effect::Log { level: Level::Info, text }
            }
            // Told to the part that asked, or to none.
            Said::Proposed { .. } | Said::Told { .. } | Said::Asked { .. } | Said::Replied { .. } => {
                return None;
            }
        })
    }
}

fn is_write(said: &Said) -> bool {
    matches!(said, Said::Persist { .. } | Said::PersistAnew { .. })
}

fn log((severity, text): (Severity, String)) -> Effect {
    Effect::Log { level: level(severity), text }
}

fn level(severity: Severity) -> Level {
    match severity {
        Severity::Info => Level::Info,
        Severity::Warning => Level::Warn,
        Severity::Error => Level::Error,
    }
}

fn words(before: Option<MemberState>, now: MemberState) -> &'static str {
    match (before, now) {
        (None, MemberState::Alive) => "is there",
        (_, MemberState::Alive) => "is there again",
        (_, MemberState::Suspect) => "does not answer; it is suspected",
        (_, MemberState::Deaf) => "sends and does not hear; it is given nothing to do",
        (_, MemberState::Dead) => "is dead",
        (_, MemberState::Left) => "has left",
    }
}
