//! Who takes part, where they stand, and whom a fault picks.

use crate::plan::{Pick, Plan, Process, What, Who};
use crate::story::{HostFacts, HostNumber, RelayNumber};

use super::dice::{Dice, Purpose};

/// Why the engine does not play a fault: a plain line each.
pub(super) fn refusals(plan: &Plan) -> Vec<String> {
    let mut lines = Vec::new();
    for (place, fault) in plan.faults.iter().enumerate() {
        let (relays, hosts): (Vec<&Pick>, Vec<&Pick>) = match &fault.what {
            What::Link(link) => {
                let sides = [&link.from, &link.to];
                let relays = sides.into_iter().filter_map(|who| match who {
                    Who::Relays(pick) => Some(pick),
                    _ => None,
                });
                let hosts = sides.into_iter().filter_map(|who| match who {
                    Who::Hosts(pick) => Some(pick),
                    _ => None,
                });
                (relays.collect(), hosts.collect())
            }
            What::Process(Process { who, .. }) => (vec![who], vec![]),
            What::Server(server) => (vec![], vec![&server.who]),
            What::Replace(who) | What::Limit { who, .. } => (vec![], vec![who]),
            What::Discovery { .. } | What::Load { .. } => (vec![], vec![]),
        };
        for pick in
            relays.iter().filter(|pick| matches!(pick, Pick::Destination(_) | Pick::DestinationIn { .. }))
        {
            lines.push(format!("fault {place}: {pick:?} names hosts, and relays are to be picked"));
        }
        for pick in relays.into_iter().chain(hosts) {
            if let Some(name) = unknown_place(plan, pick) {
                lines.push(format!("fault {place}: no zone or region is named {name:?}"));
            }
        }
    }
    lines
}

fn unknown_place<'a>(plan: &Plan, pick: &'a Pick) -> Option<&'a str> {
    let zones = &plan.fleet.zones;
    match pick {
        Pick::Zone(name) | Pick::DestinationIn { zone: name, .. } => {
            (!zones.iter().any(|zone| zone.name == *name)).then_some(name)
        }
        Pick::Region(name) => (!zones.iter().any(|zone| zone.region == *name)).then_some(name),
        _ => None,
    }
}

/// The zone in which a relay stands: in turn.
pub(super) fn zone_of(plan: &Plan, relay: RelayNumber) -> usize {
    usize::from(relay) % plan.fleet.zones.len().max(1)
}

fn is_in(plan: &Plan, zone: usize, pick: &Pick) -> bool {
    let Some(zone) = plan.fleet.zones.get(zone) else { return false };
    match pick {
        Pick::Zone(name) => zone.name == *name,
        Pick::Region(name) => zone.region == *name,
        _ => false,
    }
}

/// The relays that the fault at `place` picks.
pub(super) fn relays(plan: &Plan, pick: &Pick, place: usize) -> Vec<RelayNumber> {
    let all = 0..plan.fleet.relays;
    match pick {
        Pick::All => all.collect(),
        Pick::Numbers(numbers) => all.filter(|number| numbers.contains(number)).collect(),
        Pick::Zone(_) | Pick::Region(_) => {
            all.filter(|number| is_in(plan, zone_of(plan, *number), pick)).collect()
        }
        Pick::Part(part) => {
            let some = part_of(plan, *part, place, usize::from(plan.fleet.relays));
            some.into_iter().map(|number| number as RelayNumber).collect()
        }
        Pick::Destination(_) | Pick::DestinationIn { .. } => Vec::new(),
    }
}

/// The hosts that it picks, of those that stand.
pub(super) fn hosts(
    plan: &Plan, pick: &Pick, place: usize, all: &[(HostNumber, HostFacts)],
) -> Vec<HostNumber> {
    let of = |holds: &dyn Fn(HostNumber, &HostFacts) -> bool| -> Vec<HostNumber> {
        all.iter().filter(|(number, facts)| holds(*number, facts)).map(|(number, _)| *number).collect()
    };
    match pick {
        Pick::All => of(&|_, _| true),
        Pick::Numbers(numbers) => of(&|number, _| numbers.iter().any(|other| u32::from(*other) == number)),
        Pick::Zone(_) | Pick::Region(_) => of(&|_, facts| is_in(plan, facts.zone, pick)),
        Pick::Destination(destination) => of(&|_, facts| facts.destination == *destination),
        Pick::DestinationIn { destination, zone } => {
            let zone = Pick::Zone(zone.clone());
            of(&|_, facts| facts.destination == *destination && is_in(plan, facts.zone, &zone))
        }
        Pick::Part(part) => {
            let some = part_of(plan, *part, place, all.len());
            some.into_iter().filter_map(|index| Some(all.get(index)?.0)).collect()
        }
    }
}

/// A part picks one at the least.
fn part_of(plan: &Plan, part: f64, place: usize, of: usize) -> Vec<usize> {
    let count = ((of as f64 * part.clamp(0.0, 1.0)).round() as usize).max(1);
    Dice::new(plan.seed, Purpose::Picks(place)).some(count, of)
}
