//! Who takes part, where each stands, and whom a fault takes.

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::index;

use super::draws::{Stream, draws};
use super::error::Unplayable;
use crate::plan::{Pick, Plan, What, Who, Zone};
use crate::story::{HostFacts, HostNumber, RelayNumber};

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Party {
    Relay(RelayNumber),
    Host(HostNumber),
    Discovery,
    Clients,
}

/// Some parties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parties {
    Relays(BTreeSet<RelayNumber>),
    Hosts(BTreeSet<HostNumber>),
    Discovery,
    Clients,
}

impl Parties {
    pub fn contains(&self, party: Party) -> bool {
        match (self, party) {
            (Parties::Relays(some), Party::Relay(relay)) => some.contains(&relay),
            (Parties::Hosts(some), Party::Host(host)) => some.contains(&host),
            (Parties::Discovery, Party::Discovery) | (Parties::Clients, Party::Clients) => true,
            _ => false,
        }
    }
}

/// Where all stand.
pub struct Places {
    seed: u64,
    zones: Vec<Zone>,
    relays: u16,
    /// One-way delays in microseconds: within a zone, within a region, beyond.
    delays: [f64; 3],
    /// By number: those of the start, then those that replace others.
    pub hosts: Vec<HostFacts>,
    /// Hosts of the start.
    first: usize,
    /// By the place of a fault and the host that is replaced.
    pub successors: BTreeMap<(usize, HostNumber), HostNumber>,
}

impl Places {
    /// Lays a day out.
    pub fn of(plan: &Plan) -> Result<Self, Unplayable> {
        let zones = plan.fleet.zones.clone();
        let of = |destination: u32, count: u16| {
            let zones = zones.len();
            (0..count).map(move |place| HostFacts { destination, zone: usize::from(place) % zones })
        };
        let hosts: Vec<_> = plan.destinations.iter().flat_map(|plan| of(plan.number, plan.hosts)).collect();
        let first = hosts.len();
        let delays = plan.fleet.delays_ms.map(|ms| ms.max(0.0) * 1e3);
        let (seed, relays) = (plan.seed, plan.fleet.relays);
        let mut places = Places { seed, zones, relays, delays, hosts, first, successors: BTreeMap::new() };
        for (place, fault) in plan.faults.iter().enumerate() {
            if let What::Replace(who) = &fault.what {
                for host in places.hosts_of(place, who)?.into_iter().filter(|host| (*host as usize) < first) {
                    let successor = places.hosts.len() as HostNumber;
                    places.hosts.push(places.hosts[host as usize].clone());
                    places.successors.insert((place, host), successor);
                }
            }
        }
        Ok(places)
    }

    /// Hosts that are there from the start.
    pub fn first(&self) -> impl Iterator<Item = HostNumber> + use<> {
        0..self.first as HostNumber
    }

    pub fn relays(&self) -> std::ops::Range<RelayNumber> {
        0..self.relays
    }

    pub fn zone_of_relay(&self, relay: RelayNumber) -> usize {
        usize::from(relay) % self.zones.len()
    }

    pub fn zone_name(&self, zone: usize) -> &str {
        &self.zones[zone].name
    }

    /// One-way delay between two parties when nothing is wrong, in microseconds. Discovery's agent stands on
    /// the relay's own machine, and clients near the relay that they call.
    pub fn delay(&self, from: Party, to: Party) -> f64 {
        let zone = |party| match party {
            Party::Relay(relay) => Some(self.zone_of_relay(relay)),
            Party::Host(host) => Some(self.hosts[host as usize].zone),
            Party::Discovery | Party::Clients => None,
        };
        match (zone(from), zone(to)) {
            (Some(from), Some(to)) if from == to => self.delays[0],
            (Some(from), Some(to)) if self.zones[from].region == self.zones[to].region => self.delays[1],
            (Some(_), Some(_)) => self.delays[2],
            _ if from == Party::Discovery || to == Party::Discovery => 0.0,
            _ => self.delays[0],
        }
    }

    /// The parties at one end of a link, by the place of the fault that names them.
    pub fn parties(&self, place: usize, who: &Who) -> Result<Parties, Unplayable> {
        Ok(match who {
            Who::Relays(pick) => Parties::Relays(self.relays_of(place, pick)?),
            Who::Hosts(pick) => Parties::Hosts(self.hosts_of(place, pick)?),
            Who::Discovery => Parties::Discovery,
            Who::Clients => Parties::Clients,
        })
    }

    pub fn relays_of(&self, place: usize, pick: &Pick) -> Result<BTreeSet<RelayNumber>, Unplayable> {
        let all = || self.relays();
        Ok(match pick {
            Pick::All => all().collect(),
            Pick::Numbers(numbers) => self.numbers(place, "relay", numbers, usize::from(self.relays))?,
            Pick::Zone(_) | Pick::Region(_) => {
                let zones = self.zones_of(place, pick)?;
                all().filter(|relay| zones.contains(&self.zone_of_relay(*relay))).collect()
            }
            Pick::Part(part) => {
                self.part(place, *part, usize::from(self.relays)).map(|relay| relay as u16).collect()
            }
            Pick::Destination(number) | Pick::DestinationIn { destination: number, .. } => {
                return Err(Unplayable::NoSuchNumber {
                    place,
                    what: "relay of destination",
                    number: *number,
                });
            }
        })
    }

    pub fn hosts_of(&self, place: usize, pick: &Pick) -> Result<BTreeSet<HostNumber>, Unplayable> {
        let those = |holds: &dyn Fn(&HostFacts) -> bool| -> BTreeSet<HostNumber> {
            (0..).zip(&self.hosts).filter(|(_, host)| holds(host)).map(|(number, _)| number).collect()
        };
        let none = |number: u32| Unplayable::NoSuchNumber { place, what: "destination", number };
        let some = |number: u32, hosts: BTreeSet<HostNumber>| {
            if hosts.is_empty() { Err(none(number)) } else { Ok(hosts) }
        };
        match pick {
            Pick::All => Ok(those(&|_| true)),
            Pick::Numbers(numbers) => {
                let numbers: BTreeSet<u16> = self.numbers(place, "host", numbers, self.first)?;
                Ok(numbers.into_iter().map(HostNumber::from).collect())
            }
            Pick::Zone(_) | Pick::Region(_) => {
                let zones = self.zones_of(place, pick)?;
                Ok(those(&|host| zones.contains(&host.zone)))
            }
            Pick::Destination(number) => some(*number, those(&|host| host.destination == *number)),
            Pick::DestinationIn { destination, zone } => {
                let zones = self.zones_of(place, &Pick::Zone(zone.clone()))?;
                let hosts = those(&|host| host.destination == *destination && zones.contains(&host.zone));
                some(*destination, hosts)
            }
            Pick::Part(part) => Ok(self.part(place, *part, self.first).map(|host| host as u32).collect()),
        }
    }

    fn numbers(
        &self, place: usize, what: &'static str, numbers: &[u16], count: usize,
    ) -> Result<BTreeSet<u16>, Unplayable> {
        match numbers.iter().find(|number| usize::from(**number) >= count) {
            Some(number) => Err(Unplayable::NoSuchNumber { place, what, number: u32::from(*number) }),
            None => Ok(numbers.iter().copied().collect()),
        }
    }

    fn zones_of(&self, place: usize, pick: &Pick) -> Result<BTreeSet<usize>, Unplayable> {
        let (name, by_region) = match pick {
            Pick::Zone(name) => (name, false),
            Pick::Region(name) => (name, true),
            _ => return Ok((0..self.zones.len()).collect()),
        };
        let is_it = |zone: &Zone| if by_region { zone.region == *name } else { zone.name == *name };
        let zones: BTreeSet<_> =
            self.zones.iter().enumerate().filter(|(_, zone)| is_it(zone)).map(|(zone, _)| zone).collect();
        if zones.is_empty() {
            return Err(Unplayable::NoSuchZone { place, name: name.clone() });
        }
        Ok(zones)
    }

    /// One at least, so that no fault is idle.
    fn part(&self, place: usize, part: f64, count: usize) -> impl Iterator<Item = usize> {
        let amount = ((part * count as f64).round() as usize).clamp(1, count.max(1)).min(count);
        index::sample(&mut draws(self.seed, Stream::Picks, place as u64), count, amount).into_iter()
    }
}
