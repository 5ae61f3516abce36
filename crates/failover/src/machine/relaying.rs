//! What a relay tells its destinations' homes, what it hears, and what it places.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use super::{MOST_BODIES, Machine};
use crate::decision::State;
use crate::evidence::{ROUND, Record, Said, Word, pack};
use crate::interface::{DestinationId, Effect, MemberId, Micros, Placement, TurnedAway, ZoneId};
use crate::placement::{approach, parts, placements, step};

/// A home's word is void after three rounds, the design's expiry of reports.
const VOID: Micros = 3 * ROUND;
/// Words remembered, of all destinations.
const MOST_WORDS: usize = 4096;
/// So little without a place is borne by the headroom: demand is not known better.
const BORNE: f64 = 0.02;
/// Less of a change in what is turned away is not worth telling the relay.
const TOLD: f64 = 0.02;

/// Words of homes, by destination and hosts.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    words: BTreeMap<(DestinationId, ZoneId), BTreeMap<MemberId, (f64, Micros)>>,
}

impl Heard {
    fn take(&mut self, now: Micros, from: MemberId, of: (DestinationId, ZoneId), scale: f64) {
        if self.words.len() < MOST_WORDS || self.words.contains_key(&of) {
            self.words.entry(of).or_default().insert(from, (scale, now + VOID));
        }
    }

    fn expire(&mut self, now: Micros) -> Vec<DestinationId> {
        let before: Vec<DestinationId> = self.words.keys().map(|(of, _)| *of).collect();
        self.words.retain(|_, by| {
            by.retain(|_, (_, until)| now < *until);
            !by.is_empty()
        });
        before
    }

    /// The most careful word of each zone's hosts.
    fn scales(&self, destination: DestinationId) -> BTreeMap<ZoneId, f64> {
        let of = self.words.range((destination, 0)..=(destination, ZoneId::MAX));
        let least = |by: &BTreeMap<MemberId, (f64, Micros)>| {
            by.values().fold(1.0, |least, (scale, _)| scale.min(least))
        };
        of.map(|((_, host), by)| (*host, least(by))).collect()
    }
}

/// Of a destination.
#[derive(Clone, Debug, Default)]
struct One {
    parts: BTreeMap<ZoneId, f64>,
    placements: Vec<Placement>,
    turned: Option<TurnedAway>,
    /// Still on the way to what is in force.
    moving: bool,
}

/// What the relay was told to place.
#[derive(Clone, Debug, Default)]
pub struct Placed {
    by_destination: BTreeMap<DestinationId, One>,
}

impl Machine {
    pub(super) fn tell_seen(&mut self, now: Micros, round: bool) {
        let held = &self.held;
        let watched = |destination| held.get(&destination).is_some_and(|held| held.plan.is_some());
        let records = self.seeing.close(now, round, &self.zones, watched);
        let mut by_home = BTreeMap::<MemberId, Vec<Record>>::new();
        for record in records {
            if !self.config.operator.moves(record.destination) {
                continue;
            }
            for home in self.homes(record.destination).to_vec() {
                by_home.entry(home).or_default().push(record.clone());
            }
        }
        for (home, records) in by_home {
            if home == self.config.me {
                self.hear_records(now, self.config.zone, &records);
                continue;
            }
            let (bodies, _) = pack(records, MOST_BODIES);
            bodies.into_iter().for_each(|body| self.tell(Some(home), body));
        }
    }

    pub(super) fn on_told(&mut self, now: Micros, from: MemberId, body: &[u8]) {
        let Ok(said) = postcard::from_bytes::<Said>(body) else {
            self.counters.malformed += 1;
            return;
        };
        match said {
            Said::Seen(records) => {
                if let Some(caller) = self.zone_of(from) {
                    self.hear_records(now, caller, &records);
                }
            }
            Said::Word(Word { destination, host, scale }) => {
                let Some(host) = self.zones.by_key(host) else {
                    self.counters.zones_unknown += 1;
                    return;
                };
                // Danger: anyone's word holds everyone back. Only a home's is heeded.
                if self.homes(destination).contains(&from) {
                    self.heard.take(now, from, (destination, host), f64::from(scale.min(1000)) / 1000.0);
                    self.dirty.insert(destination);
                }
            }
            Said::Look { destination, zone, calls } => {
                let known = self.zones.by_key(zone).filter(|_| self.homes(destination).contains(&from));
                if let Some(zone) = known {
                    self.look(destination, zone, u32::from(calls));
                }
            }
        }
    }

    pub(super) fn look(&mut self, destination: DestinationId, zone: ZoneId, calls: u32) {
        self.counters.looks += u64::from(calls);
        self.effects.push(Effect::Look { destination, zone, calls });
    }

    pub(super) fn hear_word(&mut self, now: Micros, word: (DestinationId, ZoneId), scale: f64) {
        let me = self.config.me;
        self.heard.take(now, me, word, scale);
        self.dirty.insert(word.0);
    }

    /// What the hosts of a destination take together, by zone, as far as the list and the relay's own calls say.
    fn limits(&self, destination: DestinationId) -> BTreeMap<ZoneId, f64> {
        let zones = self.listed.get(&destination).into_iter().flatten();
        zones.map(|of| (of.zone, of.rate.unwrap_or(f64::from(of.hosts)))).collect()
    }

    /// Looks again at what may have changed, and tells the relay if anything did.
    pub(super) fn place(&mut self, now: Micros, round: bool) {
        let mut look: BTreeSet<DestinationId> = std::mem::take(&mut self.dirty);
        look.extend(self.heard.expire(now));
        let moving = self.held.iter().filter(|(_, held)| held.plan.is_some()).map(|(id, _)| *id);
        look.extend(moving);
        look.extend(self.placed.by_destination.iter().filter(|(_, one)| one.moving).map(|(id, _)| *id));
        let mut changed = false;
        for destination in look {
            changed |= self.place_one(now, destination, round);
        }
        if changed {
            let all = self.placed.by_destination.values();
            let placements = all.clone().flat_map(|one| one.placements.iter().copied()).collect();
            let turned = all.filter_map(|one| one.turned).collect();
            self.effects.push(Effect::Place { placements, turned });
        }
    }

    fn place_one(&mut self, now: Micros, destination: DestinationId, round: bool) -> bool {
        let limits = self.limits(destination);
        // With hosts in a single zone there is nothing to place.
        if limits.len() < 2 || !self.config.operator.moves(destination) {
            return self.placed.by_destination.remove(&destination).is_some();
        }
        let scales = self.heard.scales(destination);
        let back = self.back(now, destination, &scales);
        let plan = self.held.get(&destination).and_then(|held| held.plan.as_ref());
        let own = self.config.zone;
        let target = parts(own, &self.zones, &limits, plan, back, &scales);
        let lacks = (1.0 - target.values().sum::<f64>()).max(0.0);
        let before = self.placed.by_destination.get(&destination).cloned();
        // A relay that has just started takes over what is in force.
        let parts = before
            .as_ref()
            .map_or(target.clone(), |before| approach(own, &self.zones, &before.parts, &target));
        let before = before.unwrap_or_default();
        let placements = placements(destination, own, &self.zones, &limits, &parts);
        let turned = self.turned(destination, lacks, before.turned, round);
        let changed = placements != before.placements || turned != before.turned;
        let moving = parts != target;
        self.placed.by_destination.insert(destination, One { parts, placements, turned, moving });
        changed
    }

    /// How far returns have come here. Danger: a relay whose calls fail goes on returning since others do.
    fn back(&mut self, now: Micros, destination: DestinationId, scales: &BTreeMap<ZoneId, f64>) -> f64 {
        let whole = self.return_time();
        let Some(held) = self.held.get_mut(&destination) else { return 1.0 };
        let own = self.config.zone;
        let returning = held.sides.iter().filter(|((caller, _), state)| {
            matches!(state, State::Returning(_)) && caller.is_none_or(|caller| caller == own)
        });
        let watch = self.seeing.get(destination);
        let ill = |host: ZoneId| watch.is_some_and(|watch| watch.sees_ill(host));
        let mut waits =
            returning.map(|((_, host), _)| scales.get(host).is_some_and(|scale| *scale <= 0.0) || ill(*host));
        if waits.any(|waits| waits) {
            held.back = None;
            return 0.0;
        }
        step(now - *held.back.get_or_insert(now), whole)
    }

    fn turned(
        &mut self, destination: DestinationId, lacks: f64, before: Option<TurnedAway>, round: bool,
    ) -> Option<TurnedAway> {
        if lacks < BORNE {
            return None;
        }
        if before.is_some() && !round && !self.dirty.contains(&destination) {
            return before;
        }
        let (below, part) = self.worths.get(&destination).map_or((0.0, lacks), |of| of.least(lacks));
        if let Some(before) = before
            && before.below == below
            && (before.part - part).abs() < TOLD
        {
            return Some(before);
        }
        let by_chance = self.rng.random_range(0.5..1.5);
        let retry_after = (self.config.operator.come_back() as f64 * by_chance) as Micros;
        Some(TurnedAway { destination, below, part, retry_after })
    }
}
