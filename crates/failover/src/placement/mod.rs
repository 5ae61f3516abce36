//! From what is in force to what the relay is told, for its own zone.

use std::collections::BTreeMap;

use crate::decision::{Plan, usual};
use crate::interface::{DestinationId, Micros, Placement, ZoneId, Zones};

/// Steps of a return.
const STEPS: u64 = 4;
/// Zones that nothing goes to stand behind all others.
const LAST: u8 = 9;
/// Less than this is nothing.
const LEAST: f64 = 0.001;
/// Part of what other zones still lack that they gain in a slot, and the least part of all that they get.
const GAIN: f64 = 0.035;
const LEAST_GAIN: f64 = 0.012;

/// How far a return has come, from 0 to 1, so long after it began or went on.
pub fn step(since: Micros, whole: Micros) -> f64 {
    let steps = (since * STEPS).checked_div(whole).map_or(STEPS, |done| (done + 1).min(STEPS));
    steps as f64 / STEPS as f64
}

/// Parts of the messages handed in here by the zone of the hosts that they go to; what lacks to 1 has no place.
/// `back` is how far returns have come, `scales` what homes have taken off other zones' hosts since.
pub fn parts(
    own: ZoneId, zones: &Zones, limits: &BTreeMap<ZoneId, f64>, plan: Option<&Plan>, back: f64,
    scales: &BTreeMap<ZoneId, f64>,
) -> BTreeMap<ZoneId, f64> {
    let planned = plan.and_then(|plan| {
        let number = |at: u8| zones.number(plan.zones.get(usize::from(at))?);
        let demand = plan.demands.iter().find(|demand| number(demand.caller) == Some(own))?;
        let rows = plan.rows.iter().filter(|row| number(row.caller) == Some(own));
        let whole = f64::from(demand.rate.max(1));
        let part =
            |permits: u32, after: u32| (f64::from(permits) * (1.0 - back) + f64::from(after) * back) / whole;
        Some(rows.filter_map(|row| Some((number(row.host)?, part(row.permits, row.after)))).collect())
    });
    let mut parts: BTreeMap<ZoneId, f64> = planned.unwrap_or_else(|| usual(own, limits, zones));
    parts.retain(|host, _| limits.contains_key(host));
    let others = parts.iter_mut().filter(|(host, _)| **host != own);
    others.for_each(|(host, part)| *part *= scales.get(host).copied().unwrap_or(1.0));
    parts.retain(|_, part| *part >= LEAST);
    parts
}

/// One slot on the way to `target`. What waits for hosts that fail comes along when calls move, and other zones
/// would get all of it at once: together they gain about a quarter of what they still lack in a round, and until then the rest stays with those that lose it. Danger: a message waits until its own
/// chance is below what is open, and with two zones that grow side by side all that waited goes to the one that
/// stands last. They gain one after the other.
pub fn approach(
    own: ZoneId, zones: &Zones, now: &BTreeMap<ZoneId, f64>, target: &BTreeMap<ZoneId, f64>,
) -> BTreeMap<ZoneId, f64> {
    let lacks = |host: ZoneId| {
        let part = |parts: &BTreeMap<ZoneId, f64>| parts.get(&host).copied().unwrap_or(0.0);
        part(target) - part(now)
    };
    let gainers = in_order(own, zones, target).into_iter().filter(|host| *host != own && lacks(*host) > 0.0);
    let gainers: Vec<ZoneId> = gainers.collect();
    let whole: f64 = gainers.iter().map(|host| lacks(*host)).sum();
    let least: f64 = gainers.iter().map(|host| target[host] * LEAST_GAIN).sum();
    let mut gain = (whole * GAIN).max(least).min(whole);
    let mut short = whole - gain;
    let mut next = target.clone();
    for host in gainers {
        let gained = gain.min(lacks(host));
        gain -= gained;
        *next.entry(host).or_default() -= lacks(host) - gained;
    }
    let losers: Vec<(ZoneId, f64)> =
        now.keys().map(|host| (*host, -lacks(*host))).filter(|(_, loses)| *loses > 0.0).collect();
    let lost: f64 = losers.iter().map(|(_, loses)| loses).sum();
    short = short.min(lost);
    losers.into_iter().for_each(|(host, loses)| *next.entry(host).or_default() += short * loses / lost);
    next
}

/// The farthest first.
fn in_order(own: ZoneId, zones: &Zones, parts: &BTreeMap<ZoneId, f64>) -> Vec<ZoneId> {
    let mut order: Vec<ZoneId> = parts.keys().copied().collect();
    order.sort_by_key(|host| std::cmp::Reverse((zones.distance(own, *host), *host)));
    order
}

/// The words for the relay. A message goes to zones whose part is above its own chance, those of lower ranks
/// first. Danger: with parts side by side, a zone far away would get all that a doubtful one nearer may not
/// have. The far ones therefore stand first, each up to what is its and what stands before it, and the nearest
/// last and open to all: far ones never get more than their part, and what can't go there stays nearer. What has
/// no place is turned away before.
pub fn placements(
    destination: DestinationId, own: ZoneId, zones: &Zones, limits: &BTreeMap<ZoneId, f64>,
    parts: &BTreeMap<ZoneId, f64>,
) -> Vec<Placement> {
    // Danger: with no part anywhere all are closed, and that the relay reads as all open. What is on hand stays
    // with the nearest.
    let nearest = limits.keys().copied().min_by_key(|host| zones.distance(own, *host));
    let stays: BTreeMap<ZoneId, f64> = nearest.into_iter().map(|host| (host, 1.0)).collect();
    let parts = if parts.is_empty() { &stays } else { parts };
    let whole: f64 = parts.values().sum();
    let order = in_order(own, zones, parts);
    let mut up_to = 0.0;
    let mut placements = Vec::new();
    for (rank, host) in order.iter().enumerate() {
        up_to += parts[host] / whole;
        let part = if rank + 1 == order.len() { 1.0 } else { (up_to * 1000.0).round() / 1000.0 };
        placements.push(Placement { destination, zone: *host, rank: rank as u8, part });
    }
    let closed = limits.keys().filter(|host| !parts.contains_key(host));
    placements.extend(closed.map(|zone| Placement { destination, zone: *zone, rank: LAST, part: 0.0 }));
    placements
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Danger: what a far zone gets is bounded only as long as the near hosts look well here.
    #[test]
    fn far_zones_are_bounded_whatever_the_near_hosts_look_like() {
        let zones = Zones::new(&["a", "b", "c"].map(String::from));
        let limits: BTreeMap<ZoneId, f64> = [(0, 9.0), (1, 9.0), (2, 9.0)].into();
        let parts = [(0, 0.6), (1, 0.3), (2, 0.1)].into();
        let placed = placements(7, 0, &zones, &limits, &parts);
        let of = |zone| placed.iter().find(|placement| placement.zone == zone).expect("a placement");
        assert_eq!((of(2).rank, of(2).part), (0, 0.1));
        assert_eq!((of(1).rank, of(1).part), (1, 0.4));
        assert_eq!((of(0).rank, of(0).part), (2, 1.0));
        let away = placements(7, 0, &zones, &limits, &[(1, 0.5)].into());
        assert!(away.iter().any(|of| of.zone == 0 && of.part == 0.0));
        assert!(away.iter().any(|of| of.zone == 1 && of.part == 1.0));
    }
}
