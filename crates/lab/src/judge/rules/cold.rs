//! A destination's host that returns is not pushed over: while it is cold, all relays together send it at
//! most N + 3 root N + 3 calls in the settings' window, N being the settings' multiple of what it can do
//! then.
//!
//! It is cold where it was out for the window at the least. The fleet answers for it where over two thirds of
//! the calls came from relays that knew: their own call, connect or probe had failed in the outage, or
//! anyone's had so early in it that all had time to hear of it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pewterseam::interface::Micros;

use super::super::breach::{About, Breach};
use super::super::rule::Rule;
use super::super::world::World;
use crate::story::{Ending, Happened, HostNumber, RelayNumber, Told};

#[derive(Debug, Default)]
struct Host {
    a_second: f64,
    out_since: Option<Micros>,
    /// The first failure that anyone saw in the outage, and who saw one.
    failed_at: Option<Micros>,
    failed: BTreeSet<RelayNumber>,
    /// It came back then from an outage long enough, and is cold until then.
    cold: Option<(Micros, Micros)>,
    /// Calls since it came back that lie in the window, and whose.
    calls: VecDeque<(Micros, RelayNumber)>,
    /// It was pushed over in this return, and is not counted again.
    fallen: bool,
}

#[derive(Debug, Default)]
pub struct Cold {
    hosts: BTreeMap<HostNumber, Host>,
}

const NAME: &str = "cold";

impl Rule for Cold {
    fn name(&self) -> &'static str {
        NAME
    }

    fn see(&mut self, told: &Told, world: &World<'_>, breaches: &mut Vec<Breach>) {
        match told.what {
            Happened::Capacity { host, a_second } => self.capacity(host, a_second, told.at, world),
            Happened::Probed { relay, host, failed: true } => self.fails(host, relay, told.at),
            Happened::Ended { call, how } if how != Ending::Served => {
                if let Some(seen) = world.calls.get(&call) {
                    self.fails(seen.host, seen.relay, told.at);
                }
            }
            Happened::Arrived { relay, host, .. } => {
                breaches.extend(self.arrived(host, relay, told.at, world));
            }
            _ => {}
        }
    }
}

impl Cold {
    fn capacity(&mut self, number: HostNumber, a_second: f64, now: Micros, world: &World<'_>) {
        let host = self.hosts.entry(number).or_default();
        host.a_second = a_second;
        if a_second <= 0.0 {
            if host.out_since.is_none() {
                *host = Host { out_since: Some(now), ..Host::default() };
            }
            return;
        }
        let Some(since) = host.out_since.take() else { return };
        let destination = world.hosts.get(&number).map(|facts| facts.destination);
        let plan = world.plan.destinations.iter().find(|plan| Some(plan.number) == destination);
        let cold_time = plan.map_or(0, |plan| (plan.cold_s * 1e6) as Micros);
        if now - since >= world.figures.overload_window {
            host.cold = Some((now, now + cold_time));
        }
        host.calls.clear();
    }

    fn fails(&mut self, host: HostNumber, relay: RelayNumber, now: Micros) {
        if let Some(host) = self.hosts.get_mut(&host).filter(|host| host.out_since.is_some()) {
            host.failed.insert(relay);
            host.failed_at.get_or_insert(now);
        }
    }

    fn arrived(
        &mut self, number: HostNumber, relay: RelayNumber, now: Micros, world: &World<'_>,
    ) -> Option<Breach> {
        let figures = &world.figures;
        let host = self.hosts.get_mut(&number)?;
        let (returned_at, _) = host.cold.filter(|(_, until)| now < *until && !host.fallen)?;
        host.calls.push_back((now, relay));
        while host.calls.pop_front_if(|(at, _)| *at + figures.overload_window < now).is_some() {}
        let window = figures.overload_window as f64 / 1e6;
        let bears = host.a_second * figures.overload_factor * window;
        let most = bears + 3.0 * bears.sqrt() + 3.0;
        if host.calls.len() as f64 <= most {
            return None;
        }
        let fleet_knew = host.failed_at.is_some_and(|at| at + figures.fleet_knows <= returned_at);
        let knew = |relay: &RelayNumber| fleet_knew || host.failed.contains(relay);
        let knowing = host.calls.iter().filter(|(_, relay)| knew(relay)).count();
        host.fallen = true;
        if 3 * knowing <= 2 * host.calls.len() {
            return None;
        }
        let text = format!(
            "host {number} came back at {:.3} s and can do {:.2} calls a second; {} calls came within \
             {window} s, {knowing} of them from relays that knew of its outage, where it bears {most:.1}",
            returned_at as f64 / 1e6,
            host.a_second,
            host.calls.len(),
        );
        let destination = world.hosts.get(&number).map(|facts| facts.destination);
        let about = About { occasion: None, relay: None, host: Some(number), destination };
        Some(Breach::new(NAME, now, about, text))
    }
}
