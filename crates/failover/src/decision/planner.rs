//! From the states that are wanted to who goes where.

use std::collections::{BTreeMap, BTreeSet};

use super::plan::{Demand, Move, Plan, Row, State};
use super::states::Sides;
use crate::capacity::{Need, Share, Supply, pass_on};
use crate::interface::{DestinationId, Distance, ZoneId, Zones};
use crate::operator::Operator;

/// A zone whose relays were handed nothing lately has a place all the same, as for so many messages a second.
const LEAST_DEMAND: f64 = 0.2;
/// Less than this part of a caller's messages is not worth a row.
const LEAST_PART: f64 = 0.005;

/// What a plan is made of.
pub struct World<'a> {
    pub destination: DestinationId,
    pub zones: &'a Zones,
    /// Messages a second handed in at each zone's relays.
    pub demands: &'a BTreeMap<ZoneId, f64>,
    pub supplies: &'a BTreeMap<ZoneId, Supply>,
    pub operator: &'a Operator,
    pub cold_share: f64,
}

/// A plan, and what it leaves without a place, as parts of all callers' messages, worst first.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    pub plan: Plan,
    pub unplaced: f64,
}

fn tenths(rate: f64) -> u32 {
    (rate * 10.0).round().clamp(0.0, f64::from(u32::MAX)) as u32
}

/// The shares under some states; `done` as if all returns were over.
fn shares(world: &World, sides: &Sides, done: bool) -> Vec<Share> {
    let part = |state: Option<&State>| match state {
        None => 1.0,
        Some(State::Away) => 0.0,
        Some(State::Spilling(bears)) => f64::from(*bears) / 1000.0,
        Some(State::Returning(_)) if done => 1.0,
        Some(State::Returning(base)) => f64::from(*base) / 1000.0,
    };
    let supplies = world.supplies.iter().map(|(host, supply)| {
        let bears = supply.bears * part(sides.get(&(None, *host)));
        (*host, Supply { bears, ..*supply })
    });
    let supplies: BTreeMap<ZoneId, Supply> = supplies.collect();
    let needs: Vec<Need> = world
        .demands
        .iter()
        .map(|(caller, rate)| Need { caller: *caller, rate: rate.max(LEAST_DEMAND) })
        .collect();
    let open = |caller: ZoneId, host: ZoneId| {
        part(sides.get(&(Some(caller), host))) > 0.0 && part(sides.get(&(None, host))) > 0.0
    };
    let distance = |one, other| world.zones.distance(one, other);
    pass_on(&needs, &supplies, world.operator.headroom, world.cold_share, open, distance)
}

/// Callers whose messages all go to their own zone need no row.
fn is_near(world: &World, caller: ZoneId, shares: &[Share], demand: f64) -> bool {
    let own = shares.iter().find(|share| share.caller == caller && share.host == caller);
    world.supplies.contains_key(&caller)
        && own.is_some_and(|share| share.permits >= (1.0 - LEAST_PART) * demand.max(LEAST_DEMAND))
}

/// Makes the plan of the states; `before` are the ages of earlier moves.
pub fn plan(world: &World, sides: &Sides, before: Vec<u16>) -> Planned {
    let (now, after) = (shares(world, sides, false), shares(world, sides, true));
    let zones: Vec<ZoneId> = world.zones.all().collect();
    let at = |zone: ZoneId| zones.iter().position(|of| *of == zone).unwrap_or(0) as u8;
    let moved: BTreeSet<ZoneId> = world
        .demands
        .iter()
        .filter(|(caller, demand)| {
            !(is_near(world, **caller, &now, **demand) && is_near(world, **caller, &after, **demand))
        })
        .map(|(caller, _)| *caller)
        .collect();
    let mut rows = BTreeMap::<(ZoneId, ZoneId), (f64, f64)>::new();
    now.iter().for_each(|share| rows.entry((share.caller, share.host)).or_default().0 = share.permits);
    after.iter().for_each(|share| rows.entry((share.caller, share.host)).or_default().1 = share.permits);
    rows.retain(|(caller, _), (one, other)| {
        let least = LEAST_PART * world.demands[caller].max(LEAST_DEMAND);
        moved.contains(caller) && one.max(*other) >= least
    });
    let name = |zone: ZoneId| world.zones.name(zone).to_owned();
    let moves = sides.iter().map(|((caller, host), state)| Move {
        caller: caller.map(name),
        host: name(*host),
        state: *state,
    });
    let demands = moved
        .iter()
        .map(|caller| Demand { caller: at(*caller), rate: tenths(world.demands[caller].max(LEAST_DEMAND)) });
    let plan = Plan {
        destination: world.destination,
        moves: moves.collect(),
        zones: zones.iter().copied().map(name).collect(),
        demands: demands.collect(),
        rows: rows
            .iter()
            .map(|((caller, host), (permits, after))| Row {
                caller: at(*caller),
                host: at(*host),
                permits: tenths(*permits),
                after: tenths(*after),
            })
            .collect(),
        before,
    };
    let needed: f64 = world.demands.values().map(|rate| rate.max(LEAST_DEMAND)).sum();
    let placed: f64 = now.iter().map(|share| share.permits).sum();
    Planned { plan, unplaced: (1.0 - placed / needed.max(LEAST_DEMAND)).max(0.0) }
}

impl Planned {
    /// How far the plan lies from another: the greatest part of a caller's messages that goes elsewhere.
    pub fn differs(&self, other: &Plan) -> f64 {
        let parts = |plan: &Plan| {
            let demand: BTreeMap<u8, f64> =
                plan.demands.iter().map(|of| (of.caller, f64::from(of.rate.max(1)))).collect();
            let mut parts = BTreeMap::<(String, String), f64>::new();
            let zone = |at: u8| plan.zones.get(usize::from(at)).cloned().unwrap_or_default();
            for row in &plan.rows {
                let whole = demand.get(&row.caller).copied().unwrap_or(f64::MAX);
                parts.insert((zone(row.caller), zone(row.host)), f64::from(row.permits) / whole);
            }
            // Near by no word.
            let planned: BTreeSet<String> = parts.keys().map(|(caller, _)| caller.clone()).collect();
            let near = plan.zones.iter().filter(|of| !planned.contains(*of));
            parts.extend(near.map(|caller| ((caller.clone(), caller.clone()), 1.0)));
            parts
        };
        let (one, other) = (parts(&self.plan), parts(other));
        let keys: BTreeSet<_> = one.keys().chain(other.keys()).collect();
        let mut by_caller = BTreeMap::<&String, f64>::new();
        for key in keys {
            let change = one.get(key).unwrap_or(&0.0) - other.get(key).unwrap_or(&0.0);
            *by_caller.entry(&key.0).or_default() += change.max(0.0);
        }
        by_caller.into_values().fold(0.0, f64::max)
    }
}

/// The states that a plan tells, by this relay's numbers; zones that are not known here are left out.
pub fn sides(plan: &Plan, zones: &Zones) -> Sides {
    let unit = |of: &Move| {
        let caller = match &of.caller {
            Some(name) => Some(zones.number(name)?),
            None => None,
        };
        Some(((caller, zones.number(&of.host)?), of.state))
    };
    plan.moves.iter().filter_map(unit).collect()
}

/// Where a caller's messages go when nothing is decided: to its own zone's hosts, else to those of its region,
/// else to all, by what they take.
pub fn usual(caller: ZoneId, limits: &BTreeMap<ZoneId, f64>, zones: &Zones) -> BTreeMap<ZoneId, f64> {
    let tier = |host: ZoneId| zones.distance(caller, host);
    let nearest = limits.keys().map(|host| tier(*host)).min().unwrap_or(Distance::Far);
    let those: Vec<(ZoneId, f64)> =
        limits.iter().filter(|(host, _)| tier(**host) == nearest).map(|(host, of)| (*host, *of)).collect();
    let whole: f64 = those.iter().map(|(_, limit)| limit).sum();
    let even = 1.0 / those.len().max(1) as f64;
    those.into_iter().map(|(host, of)| (host, if whole > 0.0 { of / whole } else { even })).collect()
}
