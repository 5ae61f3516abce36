//! What a home does in each slot: sums, verdict, words, looks, proposals.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_fleet::interface::Proposal;

use super::grounds::grounds;
use super::home::Home;
use super::in_force::{Held, is_move};
use super::{Machine, looks};
use crate::capacity::{Supply, limit};
use crate::decision::{Plan, Planned, Scene, Sides, State, Wanted, World, plan};
use crate::evidence::{Record, SLOTS_A_ROUND, Said, Sums, Verdict, Word, verdict};
use crate::interface::{DestinationId, Micros, SECOND, ZoneHosts, ZoneId};

/// A home further back proposes so much later than the one before it, so that one does as a rule.
const STAGGER: Micros = 600_000;
/// Whoever was not told of a destination for so long is no home of it any more.
const FORGOTTEN: Micros = 30 * SECOND;
/// A plan is made anew if this part of a caller's messages would go elsewhere.
const DIFFERS: f64 = 0.1;
/// Other zones' calls are held back by a word where less than this part of what was planned fits.
const FITS: f64 = 0.97;

/// What the hosts of each zone can bear. Where nothing tells, all hosts are taken for alike.
fn supplies(sums: &Sums, listed: &[ZoneHosts]) -> BTreeMap<ZoneId, Supply> {
    let each = listed.iter().map(|of| sums.peak(of.zone) / f64::from(of.hosts)).fold(0.0, f64::max);
    let of = |of: &ZoneHosts| {
        let peak = sums.peak(of.zone);
        let limit = limit(sums.told(of.zone), of.rate, each * f64::from(of.hosts));
        (of.zone, Supply { limit, peak, bears: 1.0 })
    };
    listed.iter().map(of).collect()
}

impl Machine {
    pub(super) fn hear_records(&mut self, now: Micros, caller: ZoneId, records: &[Record]) {
        for record in records {
            let most = self.config.operator.most_destinations;
            if !self.homes.contains_key(&record.destination) && self.homes.len() >= most {
                let oldest = self.homes.iter().min_by_key(|(_, home)| home.sums.touched).map(|(id, _)| *id);
                oldest.iter().for_each(|id| drop(self.homes.remove(id)));
                self.counters.destinations_dropped += 1;
            }
            let home = self.homes.entry(record.destination).or_default();
            self.counters.zones_unknown += home.sums.hear(now, caller, record, &self.zones);
        }
    }

    pub(super) fn close_homes(&mut self, now: Micros, at: u64) {
        self.homes.retain(|_, home| now < home.sums.touched + FORGOTTEN);
        let all: Vec<DestinationId> = self.homes.keys().copied().collect();
        for destination in all {
            let me = self.config.me;
            let rank = self.homes(destination).iter().position(|home| *home == me);
            let (Some(listed), Some(rank)) = (self.listed.get(&destination).cloned(), rank) else { continue };
            // Taken out while it is worked on, so that the rest of the machine can be used.
            let Some(mut home) = self.homes.remove(&destination) else { continue };
            let limits = supplies(&home.sums, &listed);
            home.sums.close(now, |_, host| limits.get(&host).map_or(0.0, |supply| supply.limit));
            if listed.len() > 1 {
                let held = self.held.remove(&destination).unwrap_or_default();
                self.close_home(now, at, destination, rank, &mut home, &held, &listed);
                self.held.insert(destination, held);
            }
            self.homes.insert(destination, home);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "all that is known of one destination")]
    fn close_home(
        &mut self, now: Micros, at: u64, destination: DestinationId, rank: usize, home: &mut Home,
        held: &Held, listed: &[ZoneHosts],
    ) {
        let supplies = supplies(&home.sums, listed);
        let hosts: BTreeSet<ZoneId> = supplies.keys().copied().collect();
        let peopled: BTreeSet<ZoneId> =
            self.members.zones().into_iter().filter_map(|zone| self.zones.number(zone)).collect();
        let verdict = verdict(&home.sums, &hosts, &peopled);
        let pins = self.pins_of(destination);
        let scene = Scene {
            now,
            sums: &home.sums,
            verdict: &verdict,
            supplies: &supplies,
            in_force: &held.sides,
            entered: &held.entered,
            pins: &pins,
            operator: &self.config.operator,
            return_time: self.return_time(),
        };
        let wanted = home.states.want(&scene);
        self.counters.distrusted += u64::from(wanted.distrusted);
        self.counters.zones_held += u64::from(wanted.zones_held);
        self.counters.returns_held += wanted.failed;
        self.tell_words(now, at, destination, home, held, &wanted, &supplies);
        if at.is_multiple_of(2) {
            let (callers, hosts): (Vec<_>, Vec<_>) =
                (peopled.into_iter().collect(), hosts.into_iter().collect());
            let pairs = looks::wanted(home, &verdict, &held.sides, &hosts, &callers);
            if !pairs.is_empty() {
                self.ask_looks(at, destination, &pairs, &supplies);
            }
        }
        // Danger: one whose own zone is cut off would move the fleet by what it sees.
        if !verdict.sick.contains(&self.config.zone) {
            self.propose_if_due(now, destination, rank, home, held, &wanted, &verdict, &supplies);
        }
    }

    fn pins_of(&self, destination: DestinationId) -> BTreeMap<ZoneId, bool> {
        let of =
            self.pins.range((destination, String::new())..).take_while(|((of, _), _)| *of == destination);
        of.filter_map(|((_, zone), pin)| Some((self.zones.number(zone)?, pin.away))).collect()
    }

    /// Words take away what a plan gave where it no longer fits, until the next plan; and hold returns back.
    #[expect(clippy::too_many_arguments, reason = "all that is known of one destination")]
    fn tell_words(
        &mut self, now: Micros, at: u64, destination: DestinationId, home: &mut Home, held: &Held,
        wanted: &Wanted, supplies: &BTreeMap<ZoneId, Supply>,
    ) {
        for (host, supply) in supplies {
            let planned = held.plan.as_ref().map_or(0.0, |plan| foreign(plan, self.zones.name(*host)));
            let room = supply.limit * self.config.operator.headroom - home.sums.demand(*host);
            let fits = if planned > 0.0 { (room / planned).clamp(0.0, 1.0) } else { 1.0 };
            let scale = match () {
                () if wanted.held.contains(host) => 0,
                () if fits < FITS => (fits * 1000.0) as u16,
                () => 1000,
            };
            let told = home.words.get(host).copied();
            let (before, when) = told.unwrap_or((1000, 0));
            let again = scale < 1000 && at >= when + SLOTS_A_ROUND as u64;
            if before.abs_diff(scale) >= 20 || (before != scale && (scale == 0 || scale == 1000)) || again {
                home.words.insert(*host, (scale, at));
                self.hear_word(now, (destination, *host), f64::from(scale) / 1000.0);
                let word = Word { destination, host: self.zones.key(*host), scale };
                self.say(None, &Said::Word(word));
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "all that is known of one destination")]
    fn propose_if_due(
        &mut self, now: Micros, destination: DestinationId, rank: usize, home: &mut Home, held: &Held,
        wanted: &Wanted, verdict: &Verdict, supplies: &BTreeMap<ZoneId, Supply>,
    ) {
        let shape = |sides: &Sides| -> Vec<_> {
            sides.iter().map(|(unit, state)| (*unit, std::mem::discriminant(state))).collect()
        };
        let moves = wanted.sides != held.sides;
        if home.since.is_none() || shape(&home.wanted) != shape(&wanted.sides) {
            home.since = Some(now);
        }
        home.wanted.clone_from(&wanted.sides);
        let Some(since) = home.since else { return };
        if home.out || now < home.again || now < since + rank as Micros * STAGGER {
            return;
        }
        let settled = now >= held.since + self.config.operator.least_time();
        let only_returns = held.sides.values().all(|state| matches!(state, State::Returning(_)));
        if !moves && (only_returns || !settled) {
            return;
        }
        let mut before = held.moves.clone();
        if is_move(&held.sides, &wanted.sides) && self.pins_of(destination).is_empty() {
            let most = usize::from(self.config.operator.moves_a_minute);
            // Danger: a return uses up the last move, and the next failure has to be borne for a minute.
            let reserve = reserve(&held.sides, &wanted.sides);
            if before.count(now) + reserve >= most {
                self.counters.moves_held += 1;
                return;
            }
        }
        let demands: BTreeMap<ZoneId, f64> = self
            .zones
            .all()
            .filter(|zone| self.members.of_zone(self.zones.name(*zone)).next().is_some())
            .map(|zone| (zone, home.sums.demand(zone)))
            .collect();
        let world = World {
            destination,
            zones: &self.zones,
            demands: &demands,
            supplies,
            operator: &self.config.operator,
            cold_share: self.config.cold_share,
        };
        let planned = plan(&world, &wanted.sides, before.ages(now));
        if !moves && held.plan.as_ref().is_some_and(|plan| planned.differs(plan) < DIFFERS) {
            return;
        }
        let grounds = grounds(&self.zones, &home.sums, verdict, &held.sides, &wanted.sides, &planned);
        self.propose_plan(destination, home, held, planned, grounds);
    }

    fn propose_plan(
        &mut self, destination: DestinationId, home: &mut Home, held: &Held, planned: Planned,
        grounds: String,
    ) {
        let proposal = if planned.plan.moves.is_empty() {
            Proposal::end::<Plan>(&destination, grounds)
        } else {
            Proposal::of(&planned.plan, grounds)
        };
        if let Ok(proposal) = proposal {
            self.propose(destination, proposal.unless_after(held.epoch));
            home.out = true;
        }
    }
}

/// Calls a second that a plan lets other zones' relays add to a zone's hosts.
fn foreign(plan: &Plan, host: &str) -> f64 {
    let name = |at: u8| plan.zones.get(usize::from(at)).map(String::as_str);
    let rows = plan.rows.iter().filter(|row| name(row.host) == Some(host) && row.caller != row.host);
    rows.map(|row| f64::from(row.permits) / 10.0).sum()
}

/// Moves that have to be left after a change: none where hosts or links fail, one after returns, two after spills
/// of what the own hosts don't take.
fn reserve(before: &Sides, after: &Sides) -> usize {
    let changed = after.iter().filter(|(unit, state)| before.get(unit) != Some(state));
    let left = before.keys().filter(|unit| !after.contains_key(unit)).map(|_| 2);
    let each = changed.map(|(unit, state)| match state {
        State::Returning(_) => 1,
        State::Spilling(_) if unit.0 == Some(unit.1) => 2,
        State::Spilling(_) | State::Away => 0,
    });
    each.chain(left).min().unwrap_or(0)
}
