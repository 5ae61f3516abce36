//! Whom a home asks to probe what.

use std::collections::BTreeSet;

use super::Machine;
use super::home::Home;
use crate::capacity::Supply;
use crate::decision::{Sides, State};
use crate::evidence::{SLOTS_A_ROUND, Said, Verdict, homes};
use crate::interface::{DestinationId, MemberId, ZoneId};
use std::collections::BTreeMap;

/// Probes of a zone's hosts by a zone's relays in two slots, as a part of what the hosts take in a second; at
/// least one, and at most so many. Danger: probes of hundreds of relays are a load of their own.
const PART: f64 = 0.02;
const MOST: f64 = 8.0;
/// Relays of a zone that are asked at a time; others in the next turn.
const ASKED: usize = 4;
/// Failed calls in a round that make a home look closer, and their least part: far from a verdict.
const SUSPICIOUS: (u32, f64) = (2, 0.15);

/// Pairs of caller's and hosts' zone about which more has to be known.
pub fn wanted(
    home: &Home, verdict: &Verdict, in_force: &Sides, hosts: &[ZoneId], callers: &[ZoneId],
) -> BTreeSet<(ZoneId, ZoneId)> {
    let mut pairs = BTreeSet::new();
    let mut all_of = |host: ZoneId| pairs.extend(callers.iter().map(|caller| (*caller, host)));
    for ((caller, host), state) in in_force {
        match (caller, state) {
            (Some(caller), State::Spilling(_)) if caller == host => {}
            _ => all_of(*host),
        }
    }
    verdict.ill.iter().chain(&verdict.doubtful).for_each(|host| all_of(*host));
    verdict.cut.iter().for_each(|(_, host)| all_of(*host));
    for ((caller, host), pair) in &home.sums.pairs {
        let round = pair.windows.last(SLOTS_A_ROUND);
        let troubled = round.failed() + round.slow;
        let part = f64::from(troubled + round.refused) / f64::from(round.ended().max(1));
        if (troubled >= SUSPICIOUS.0 || round.refused > round.served) && part >= SUSPICIOUS.1 {
            pairs.extend(callers.iter().map(|other| (*other, *host)));
            // Whether the caller itself is ill shows by how it sees the others.
            pairs.extend(hosts.iter().map(|other| (*caller, *other)));
        }
    }
    pairs
}

impl Machine {
    /// Has relays probe: a home those of its own zone, and the first home those of zones without a home.
    pub(super) fn ask_looks(
        &mut self, at: u64, destination: DestinationId, pairs: &BTreeSet<(ZoneId, ZoneId)>,
        supplies: &BTreeMap<ZoneId, Supply>,
    ) {
        let homes = homes(&self.members, destination);
        let first = homes.first() == Some(&self.config.me);
        let homely: BTreeSet<ZoneId> = homes.iter().filter_map(|home| self.zone_of(*home)).collect();
        for (caller, host) in pairs {
            if *caller != self.config.zone && (!first || homely.contains(caller)) {
                continue;
            }
            let name = self.zones.name(*caller).to_owned();
            let living: Vec<MemberId> = self.members.of_zone(&name).map(|member| member.id).collect();
            let Some(asked) = (!living.is_empty()).then(|| living.len().min(ASKED)) else { continue };
            let limit = supplies.get(host).map_or(0.0, |supply| supply.limit);
            let calls = (limit * PART).clamp(1.0, MOST).round() as usize;
            for turn in 0..asked.min(calls) {
                let to = living[(at as usize / 2 * asked + turn) % living.len()];
                let calls = (calls / asked.min(calls)) as u8;
                if to == self.config.me {
                    self.look(destination, *host, u32::from(calls));
                } else {
                    let zone = self.zones.key(*host);
                    self.say(Some(to), &Said::Look { destination, zone, calls });
                }
            }
        }
    }
}
