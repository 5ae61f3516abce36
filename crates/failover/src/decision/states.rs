//! Which states a home would have, from what is in force and what is seen: hysteresis and least times.

use std::collections::{BTreeMap, BTreeSet};

use super::plan::State;
use crate::capacity::Supply;
use crate::evidence::{Sight, Sums, Verdict};
use crate::interface::{Micros, SECOND, ZoneId};
use crate::operator::Operator;

/// Callers, of all zones or of one, and the hosts of a zone.
pub type Unit = (Option<ZoneId>, ZoneId);
/// The units that are not near.
pub type Sides = BTreeMap<Unit, State>;

/// Hosts that still serve this part of their limit are spared, not left.
const WORTHWHILE: f64 = 0.15;
/// Hosts are left once they were ill for so long: two slots in a row.
const CONFIRM: Micros = 250_000;
/// A link, once it was out for so long. Danger: when hosts fail, some zones see it some slots before the others,
/// and it looks like their links.
const CONFIRM_LINK: Micros = 750_000;
/// A return whose hosts were ill again for so long is given up.
const GIVE_UP: Micros = 10 * SECOND;
/// A return is over so long after its steps.
const SETTLE: Micros = 4 * SECOND;
/// Proofs double with each return that failed, so often at most; a failure is forgotten after this span.
const DOUBLINGS: u32 = 4;
const FORGET: Micros = 120 * SECOND;
/// Demand above this multiple of what the own hosts take, or this part refused, for so long, spills; below the
/// second values for longer it no longer does.
const OVER: (f64, f64, Micros) = (1.02, 0.08, 2 * SECOND);
const UNDER: (f64, f64, Micros) = (0.92, 0.02, 5 * SECOND);
/// Other zones' calls below this part of a limit are no reason for its refusals.
const FOREIGN: f64 = 0.05;
/// Slots whose served calls say what hosts that fail still bear.
const BEARS_SLOTS: usize = 2;
const SLOTS_A_SECOND: f64 = 4.0;

/// What is remembered of a unit.
#[derive(Clone, Debug, Default)]
struct Track {
    ill: Option<Micros>,
    well: Option<Micros>,
    /// Returns that failed lately, and when the last one did.
    failed: u32,
    failed_at: Micros,
    /// A return is held back; and since when it goes on.
    held: bool,
    going: Micros,
}

/// What a home knows of a destination.
pub struct Scene<'a> {
    pub now: Micros,
    pub sums: &'a Sums,
    pub verdict: &'a Verdict,
    pub supplies: &'a BTreeMap<ZoneId, Supply>,
    pub in_force: &'a Sides,
    /// When the units in force came to their states.
    pub entered: &'a BTreeMap<Unit, Micros>,
    /// By host's zone: whether it is pinned away, or near.
    pub pins: &'a BTreeMap<ZoneId, bool>,
    pub operator: &'a Operator,
    /// How long the steps of a return take.
    pub return_time: Micros,
}

/// What would be right.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    pub sides: Sides,
    /// Hosts to which the return is held back.
    pub held: BTreeSet<ZoneId>,
    /// Most zones look ill at once: nothing new is moved.
    pub distrusted: bool,
    /// Something stayed because of the least number of zones.
    pub zones_held: bool,
    /// Returns that have just failed.
    pub failed: u64,
}

/// Of a destination at a home.
#[derive(Clone, Debug, Default)]
pub struct States {
    tracks: BTreeMap<Unit, Track>,
    /// Since when a zone's own callers are above what its hosts take, or below again.
    full: BTreeMap<ZoneId, (bool, Micros)>,
}

impl States {
    /// Whether anything is remembered that time alone may change.
    pub fn is_quiet(&self) -> bool {
        self.tracks.is_empty() && self.full.is_empty()
    }

    pub fn want(&mut self, scene: &Scene) -> Wanted {
        let mut wanted = Wanted { sides: scene.in_force.clone(), ..Wanted::default() };
        let verdict = scene.verdict;
        let mut units: BTreeSet<Unit> = scene.in_force.keys().copied().collect();
        units.extend(verdict.ill.iter().map(|host| (None, *host)));
        units.extend(verdict.cut.iter().map(|(caller, host)| (Some(*caller), *host)));
        units.extend(self.tracks.keys().copied());
        wanted.distrusted = distrusted(scene);
        for unit in units {
            self.follow(unit, scene);
            match self.next(unit, scene, &mut wanted) {
                Some(state) => wanted.sides.insert(unit, state),
                None => wanted.sides.remove(&unit),
            };
        }
        self.spill(scene, &mut wanted);
        heed_pins(scene, &mut wanted);
        keep_least(scene, &mut wanted);
        self.tracks.retain(|unit, track| {
            let remembered = track.failed > 0 && scene.now < track.failed_at + FORGET;
            scene.in_force.contains_key(unit) || track.ill.is_some() || remembered
        });
        wanted
    }

    fn follow(&mut self, unit: Unit, scene: &Scene) {
        let (caller, host) = unit;
        let (ill, well) = match caller {
            None => (scene.verdict.ill.contains(&host), scene.verdict.well.contains(&host)),
            Some(caller) => (
                scene.verdict.cut.contains(&(caller, host)) || scene.verdict.ill.contains(&host),
                scene.sums.sight(caller, host) == Sight::Well,
            ),
        };
        // Danger: returning hosts that one zone sees fail would be returned to by all others.
        let returning = matches!(scene.in_force.get(&unit), Some(State::Returning(_)));
        let some =
            scene.verdict.cut.iter().any(|(_, to)| *to == host) || scene.verdict.doubtful.contains(&host);
        let ill = ill || (returning && some);
        let track = self.tracks.entry(unit).or_default();
        track.ill = ill.then(|| track.ill.unwrap_or(scene.now));
        track.well = well.then(|| track.well.unwrap_or(scene.now));
        if scene.now >= track.failed_at + FORGET {
            track.failed = 0;
        }
    }

    fn next(&mut self, unit: Unit, scene: &Scene, wanted: &mut Wanted) -> Option<State> {
        let now = scene.now;
        let host = unit.1;
        let track = self.tracks.get_mut(&unit)?;
        let proof = scene.operator.proof() << track.failed.min(DOUBLINGS);
        let confirm = if unit.0.is_some() { CONFIRM_LINK } else { CONFIRM };
        let ill = track.ill.is_some_and(|since| now >= since + confirm);
        let proven = track.well.is_some_and(|since| now >= since + proof);
        let entered = scene.entered.get(&unit).copied().unwrap_or(0);
        let settled = now >= entered + scene.operator.least_time();
        let bears = if unit.0.is_some() { 0.0 } else { bears(scene, host, BEARS_SLOTS) };
        let lost = if bears >= WORTHWHILE { State::Spilling((bears * 1000.0) as u16) } else { State::Away };
        match scene.in_force.get(&unit).copied() {
            // What is decided of the hosts holds for all callers.
            None if unit.0.is_some() && scene.in_force.contains_key(&(None, host)) => None,
            None if ill && !wanted.distrusted => Some(lost),
            None => None,
            // What its hosts are at by demand is not judged by illness.
            Some(State::Spilling(1000)) if unit.0.is_some() => Some(State::Spilling(1000)),
            Some(State::Spilling(before)) if ill && settled => {
                let serves = bears_thousandths(scene, host);
                let less = f64::from(serves) < 0.7 * f64::from(before);
                Some(match less {
                    true if f64::from(serves) < WORTHWHILE * 1000.0 => State::Away,
                    true => State::Spilling(serves),
                    false => State::Spilling(before),
                })
            }
            Some(State::Spilling(base)) if proven && settled => {
                track.going = now;
                Some(State::Returning(base))
            }
            Some(State::Away) if proven && settled => {
                track.going = now;
                Some(State::Returning(0))
            }
            Some(State::Returning(base)) => {
                if ill && !track.held {
                    track.held = true;
                    track.failed += 1;
                    track.failed_at = now;
                    wanted.failed += 1;
                } else if track.held && proven {
                    track.held = false;
                    track.going = now;
                }
                if track.held {
                    wanted.held.insert(host);
                }
                let steps = scene.return_time + SETTLE;
                let over = !track.held && now >= track.going.max(entered) + steps && track.well.is_some();
                match () {
                    () if over => None,
                    () if track.ill.is_some_and(|since| now >= since + GIVE_UP) => Some(lost),
                    () => Some(State::Returning(base)),
                }
            }
            stays => stays,
        }
    }

    /// Zones whose own callers need more than their hosts take.
    fn spill(&mut self, scene: &Scene, wanted: &mut Wanted) {
        for (host, supply) in scene.supplies {
            let unit = (Some(*host), *host);
            let before = matches!(scene.in_force.get(&unit), Some(State::Spilling(1000)));
            let demand = scene.sums.demand(*host);
            let calls = scene.sums.of_host(*host, 8);
            let refused = f64::from(calls.refused) / f64::from(calls.ended().max(1));
            let limit = supply.limit * supply.bears;
            // What others bring is for the next plan to take away.
            let alone = scene.sums.foreign(*host) < FOREIGN * limit;
            let enough = limit > 0.0 && calls.ended() >= 20;
            let over = enough && (demand > OVER.0 * limit || (alone && refused > OVER.1));
            let under = demand < UNDER.0 * limit && refused < UNDER.1;
            let turns = if before { under } else { over };
            let (was, since) = self.full.get(host).copied().unwrap_or((false, scene.now));
            let since = if turns && was { since } else { scene.now };
            let long = scene.now >= since + if before { UNDER.2 } else { OVER.2 };
            let elsewhere = |(other, supply): (&ZoneId, &Supply)| {
                let room = supply.limit * supply.bears * scene.operator.headroom - scene.sums.served(*other);
                other != host && room > 0.05 * limit
            };
            if turns && long && before {
                wanted.sides.remove(&unit);
            } else if turns && long && scene.supplies.iter().any(elsewhere) && !wanted.distrusted {
                // What serves little of its limit has a lower one.
                let serves = scene.sums.served(*host) / limit;
                if serves >= 0.7 {
                    wanted.sides.entry(unit).or_insert(State::Spilling(1000));
                } else {
                    let bears = State::Spilling((serves * 1000.0) as u16);
                    wanted.sides.entry((None, *host)).or_insert(bears);
                }
            }
            match turns || before {
                true => self.full.insert(*host, (turns, since)),
                false => self.full.remove(host),
            };
        }
    }
}

/// Danger: when all fails for everyone, or the evidence is wrong, everything is moved at once onto what is left.
fn distrusted(scene: &Scene) -> bool {
    let away = |host: &ZoneId| scene.in_force.contains_key(&(None, *host));
    let left: Vec<ZoneId> = scene.supplies.keys().copied().filter(|host| !away(host)).collect();
    let ill =
        left.iter().filter(|host| scene.verdict.ill.contains(host) || scene.verdict.doubtful.contains(host));
    let ill = ill.count();
    ill > 1 && ill * 2 > left.len()
}

/// Part of its limit that a zone's hosts serve just now.
fn bears(scene: &Scene, host: ZoneId, slots: usize) -> f64 {
    let calls = scene.sums.of_host(host, slots);
    let served = f64::from(calls.served.saturating_sub(calls.probes));
    let limit = scene.supplies.get(&host).map_or(0.0, |supply| supply.limit);
    if limit <= 0.0 { 0.0 } else { (served * SLOTS_A_SECOND / slots as f64 / limit).min(1.0) }
}

fn bears_thousandths(scene: &Scene, host: ZoneId) -> u16 {
    (bears(scene, host, 8) * 1000.0) as u16
}

fn heed_pins(scene: &Scene, wanted: &mut Wanted) {
    for (host, away) in scene.pins {
        if *away {
            wanted.sides.insert((None, *host), State::Away);
        } else {
            wanted.sides.retain(|(_, of), _| of != host);
        }
    }
}

/// Keeps the least number of zones: what is newly left stays.
fn keep_least(scene: &Scene, wanted: &mut Wanted) {
    let is_away = |sides: &Sides, host: ZoneId| {
        matches!(sides.get(&(None, host)), Some(State::Away)) && !scene.pins.contains_key(&host)
    };
    let hosts: Vec<ZoneId> = scene.supplies.keys().copied().collect();
    let left = hosts.iter().filter(|host| !is_away(&wanted.sides, **host)).count();
    let mut lacking = usize::from(scene.operator.least_zones).min(hosts.len()).saturating_sub(left);
    for host in hosts {
        if lacking > 0 && is_away(&wanted.sides, host) && !is_away(scene.in_force, host) {
            match scene.in_force.get(&(None, host)) {
                Some(before) => wanted.sides.insert((None, host), *before),
                None => wanted.sides.remove(&(None, host)),
            };
            wanted.zones_held = true;
            lacking -= 1;
        }
    }
}
