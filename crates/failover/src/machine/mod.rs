//! The machine of one relay: takes inputs to the parts that heed them, and their effects out.

mod deciding;
mod grounds;
mod home;
mod homing;
mod in_force;
mod looks;
mod relaying;
mod status;

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_fleet::interface::MOST_TOLD_BYTES;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use status::Status;

use crate::capacity::Worths;
use crate::counters::Counters;
use crate::decision::Pin;
use crate::evidence::{HOMES, SLOT, SLOTS_A_ROUND, Said, Seeing, homes, slot};
use crate::interface::{
    Config, DestinationId, Effect, Input, MemberId, Members, Micros, SECOND, Severity, Ticket, ZoneHosts,
    ZoneId, Zones,
};
use home::Home;
use in_force::Held;
use relaying::{Heard, Placed};

/// Bodies told to one member in a slot. What is beyond is left out, what has trouble last.
const MOST_BODIES: usize = 64;

/// Failover at one relay. Decisions outlast it in the fleet's folder, and nothing else has to.
pub struct Machine {
    config: Config,
    started: Micros,
    rng: Pcg64Mcg,
    seed: u64,
    zones: Zones,
    members: Members,
    homes_of: BTreeMap<DestinationId, Vec<MemberId>>,
    listed: BTreeMap<DestinationId, Vec<ZoneHosts>>,
    seeing: Seeing,
    worths: BTreeMap<DestinationId, Worths>,
    homes: BTreeMap<DestinationId, Home>,
    held: BTreeMap<DestinationId, Held>,
    pins: BTreeMap<(DestinationId, String), Pin>,
    heard: Heard,
    placed: Placed,
    /// Destinations whose placement has to be looked at again.
    dirty: BTreeSet<DestinationId>,
    tickets: BTreeMap<Ticket, DestinationId>,
    numbered: u64,
    next_slot: Micros,
    counters: Counters,
    effects: Vec<Effect>,
}

impl Machine {
    /// As the relay starts. The first input should be a [`Input::Timer`]; then members, the list and the
    /// decisions in force.
    pub fn new(now: Micros, config: Config, seed: u64) -> Self {
        Machine {
            zones: Zones::new(&config.zones),
            config,
            started: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            seed,
            members: Members::default(),
            homes_of: BTreeMap::new(),
            listed: BTreeMap::new(),
            seeing: Seeing::default(),
            worths: BTreeMap::new(),
            homes: BTreeMap::new(),
            held: BTreeMap::new(),
            pins: BTreeMap::new(),
            heard: Heard::default(),
            placed: Placed::default(),
            dirty: BTreeSet::new(),
            tickets: BTreeMap::new(),
            numbered: 0,
            next_slot: now,
            counters: Counters::default(),
            effects: Vec::new(),
        }
    }

    /// What happened, and what is to be done about it, in this order.
    pub fn handle(&mut self, now: Micros, input: Input) -> Vec<Effect> {
        match input {
            Input::Timer => {
                if now >= self.next_slot {
                    self.close_slot(now);
                }
                self.effects.push(Effect::Wake(self.next_slot));
            }
            Input::Members(members) => self.on_members(members),
            Input::Decided(decision) => self.on_decided(now, &decision),
            Input::Proposed { ticket, outcome } => self.on_proposed(now, ticket, outcome),
            Input::Told { from, body } => self.on_told(now, from, &body),
            Input::Listed { destination, zones } => self.on_listed(destination, zones),
            Input::Handed { destination, worth } => self.on_handed(now, destination, worth),
            Input::Ended(seen) => {
                self.make_room(seen.destination);
                self.seeing.ended(now, &seen);
            }
            Input::Pin { destination, zone, away, seconds } => {
                self.on_pin(now, destination, zone, away, seconds);
            }
            Input::Unpin { destination, zone } => self.on_unpin(destination, zone),
        }
        std::mem::take(&mut self.effects)
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn close_slot(&mut self, now: Micros) {
        // Apart from those of other relays, so that a home is told evenly.
        let phase = self.seed % SLOT;
        self.next_slot = (now / SLOT + 1) * SLOT + phase;
        let at = slot(now);
        let round = (at + self.seed / SLOT).is_multiple_of(SLOTS_A_ROUND as u64);
        if round {
            self.worths.values_mut().for_each(Worths::end_round);
        }
        self.tell_seen(now, round);
        self.close_homes(now, at);
        self.place(now, round);
        self.end_pins(now);
    }

    fn on_members(&mut self, members: &Members) {
        let living = |members: &Members| -> Vec<(MemberId, String)> {
            members.living().map(|member| (member.id, member.zone.clone())).collect()
        };
        if living(&self.members) != living(members) {
            self.homes_of.clear();
        }
        self.members = members.clone();
        let before = self.zones.clone();
        self.zones.learn(members);
        if before != self.zones {
            self.dirty.extend(self.listed.keys().copied());
        }
    }

    fn on_listed(&mut self, destination: DestinationId, zones: Vec<ZoneHosts>) {
        let zones: Vec<ZoneHosts> = zones.into_iter().filter(|of| of.hosts > 0).collect();
        if zones.is_empty() {
            self.listed.remove(&destination);
            self.homes.remove(&destination);
        } else {
            self.listed.insert(destination, zones);
        }
        self.dirty.insert(destination);
    }

    fn on_handed(&mut self, now: Micros, destination: DestinationId, worth: f64) {
        self.make_room(destination);
        self.seeing.handed(now, destination);
        self.worths.entry(destination).or_default().handed(worth);
    }

    fn make_room(&mut self, destination: DestinationId) {
        if self.seeing.make_room(destination, self.config.operator.most_destinations) {
            self.counters.destinations_dropped += 1;
            let seeing = &self.seeing;
            self.worths.retain(|of, _| seeing.get(*of).is_some());
        }
    }

    fn homes(&mut self, destination: DestinationId) -> &[MemberId] {
        if self.homes_of.len() > 2 * self.config.operator.most_destinations {
            self.homes_of.clear();
        }
        let members = &self.members;
        let homes = self.homes_of.entry(destination).or_insert_with(|| homes(members, destination));
        debug_assert!(homes.len() <= HOMES, "no more homes than may be");
        homes
    }

    fn zone_of(&self, member: MemberId) -> Option<ZoneId> {
        self.zones.number(&self.members.get(member)?.zone)
    }

    fn say(&mut self, to: Option<MemberId>, said: &Said) {
        if let Ok(body) = postcard::to_stdvec(said) {
            self.tell(to, body);
        }
    }

    fn tell(&mut self, to: Option<MemberId>, body: Vec<u8>) {
        debug_assert!(body.len() <= MOST_TOLD_BYTES, "a body that fits");
        self.counters.told += 1;
        self.counters.told_bytes += body.len() as u64;
        self.effects.push(Effect::Tell { to, body });
    }

    fn log(&mut self, severity: Severity, line: String) {
        self.effects.push(Effect::Log { severity, line });
    }

    /// Seconds since 1970.
    fn wall(&self, now: Micros) -> u64 {
        self.config.wall + now.saturating_sub(self.started) / SECOND
    }

    fn return_time(&self) -> Micros {
        self.config.operator.return_time().max(self.config.cold_time)
    }
}
