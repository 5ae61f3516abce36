//! The paper's reallocation, one level up: zones are senders to each other's limits. A zone that its own hosts
//! can't serve uses all that it has; what the others leave of theirs is surplus and passes to it.

use std::collections::BTreeMap;

use super::supply::{Supply, room};
use crate::interface::{Distance, ZoneId};

/// Passes in one decision. Each leaves a part of what was left over before, and three are mostly enough: the
/// paper makes one a round, but a zone that is out can't wait for so many.
const PASSES: usize = 8;
/// Part of the headroom that is filled in all zones that help before any is filled to the whole.
const COMFORT: f64 = 0.88;
/// Less than this, in calls a second, is not passed on.
const LEAST: f64 = 0.01;

/// What the relays of a zone need, in calls a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    pub caller: ZoneId,
    pub rate: f64,
}

/// Permits of one zone's relays at the hosts of another, in calls a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    pub caller: ZoneId,
    pub host: ZoneId,
    pub permits: f64,
}

/// Shares out what the hosts of all zones can bear: to each zone's own callers first, up to all of it; then
/// what is left, up to the comfort of `headroom`, to callers of the region, and to all others; at last the same up to
/// all of `headroom`. What has no permit has no place. `open` says who may call whom.
pub fn pass_on(
    needs: &[Need], supplies: &BTreeMap<ZoneId, Supply>, headroom: f64, cold_share: f64,
    open: impl Fn(ZoneId, ZoneId) -> bool, distance: impl Fn(ZoneId, ZoneId) -> Distance,
) -> Vec<Share> {
    let mut shares = BTreeMap::<(ZoneId, ZoneId), f64>::new();
    let mut left: BTreeMap<ZoneId, f64> = needs.iter().map(|need| (need.caller, need.rate)).collect();
    let mut given = BTreeMap::<ZoneId, f64>::new();
    for (host, supply) in supplies {
        let near = left.get_mut(host).filter(|_| open(*host, *host)).map_or(0.0, |need| {
            let near = need.min(supply.limit * supply.bears);
            *need -= near;
            near
        });
        if near > 0.0 {
            shares.insert((*host, *host), near);
        }
        given.insert(*host, 0.0);
    }
    let levels = [COMFORT, 1.0]
        .into_iter()
        .flat_map(|level| [Distance::Region, Distance::Far].into_iter().map(move |tier| (level, tier)));
    for (level, tier) in levels {
        // What is beyond the comfort of all who help is given last: what waited comes along with a move.
        let mut spare: BTreeMap<ZoneId, f64> = supplies
            .iter()
            .map(|(host, supply)| {
                let near = shares.get(&(*host, *host)).copied().unwrap_or(0.0);
                (*host, room(supply, near, headroom * level, cold_share) - given[host])
            })
            .map(|(host, room)| (host, room.max(0.0)))
            .collect();
        for _ in 0..PASSES {
            let reach = |caller: ZoneId, host: ZoneId| {
                caller != host && open(caller, host) && distance(caller, host) == tier
            };
            // Each asks all that it may reach for what it lacks, by what they have left ...
            let mut asks = Vec::new();
            for (caller, need) in left.iter().filter(|(_, need)| **need > LEAST) {
                let within: f64 =
                    spare.iter().filter(|(host, _)| reach(*caller, **host)).map(|(_, room)| room).sum();
                let hosts = spare.iter().filter(|(host, room)| **room > LEAST && reach(*caller, **host));
                asks.extend(hosts.map(|(host, room)| (*caller, *host, need * room / within)));
            }
            if asks.is_empty() {
                break;
            }
            // ... and of each, those who ask get its surplus by what they ask.
            let mut wanted = BTreeMap::<ZoneId, f64>::new();
            asks.iter().for_each(|(_, host, ask)| *wanted.entry(*host).or_default() += ask);
            let rooms = spare.clone();
            for (caller, host, ask) in asks {
                let permits = ask * (rooms[&host] / wanted[&host]).min(1.0);
                *shares.entry((caller, host)).or_default() += permits;
                *left.entry(caller).or_default() -= permits;
                *spare.entry(host).or_default() -= permits;
                *given.entry(host).or_default() += permits;
            }
        }
    }
    shares.into_iter().map(|((caller, host), permits)| Share { caller, host, permits }).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn near(one: ZoneId, other: ZoneId) -> Distance {
        match () {
            () if one == other => Distance::Own,
            () if one < 2 && other < 2 => Distance::Region,
            () => Distance::Far,
        }
    }

    fn play(needs: [f64; 3], limits: [f64; 3]) -> BTreeMap<(ZoneId, ZoneId), f64> {
        let needs: Vec<Need> =
            needs.iter().enumerate().map(|(at, rate)| Need { caller: at as ZoneId, rate: *rate }).collect();
        let supplies = limits
            .iter()
            .enumerate()
            .map(|(at, limit)| (at as ZoneId, Supply { limit: *limit, peak: *limit, bears: 1.0 }))
            .collect();
        let shares = pass_on(&needs, &supplies, 0.9, 0.3, |_, _| true, near);
        shares.into_iter().map(|share| ((share.caller, share.host), share.permits)).collect()
    }

    /// Danger: calls cross zones though their own has room, or far ones while the region has.
    #[test]
    fn the_own_zone_goes_first_then_the_region_then_the_rest() {
        assert!(play([50.0, 60.0, 90.0], [100.0; 3]).keys().all(|(caller, host)| caller == host));
        let shares = play([70.0, 60.0, 60.0], [0.0, 100.0, 100.0]);
        assert!((shares[&(0, 1)] - 30.0).abs() < 0.1 && (shares[&(0, 2)] - 30.0).abs() < 0.1);
    }

    /// Danger: a zone that helps is pushed over its limit, and the next one after it (cascade).
    #[test]
    fn nobody_gets_more_than_its_headroom_whatever_is_needed() {
        let shares = play([500.0, 80.0, 120.0], [0.0, 100.0, 100.0]);
        let load = |host| shares.iter().filter(|((_, to), _)| *to == host).map(|(_, permits)| permits).sum();
        let (one, other): (f64, f64) = (load(1), load(2));
        assert!((one - 90.0).abs() < 0.1 && (other - 100.0).abs() < 0.1, "{one} {other}");
    }

    /// Danger: of two zones in need the one with the lower number gets all.
    #[test]
    fn surplus_passes_by_need() {
        let shares = play([80.0, 40.0, 30.0], [0.0, 0.0, 100.0]);
        assert!((shares[&(0, 2)] - 40.0).abs() < 0.1 && (shares[&(1, 2)] - 20.0).abs() < 0.1);
    }
}
