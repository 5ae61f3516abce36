//! Hosts: how they stand, come back, and are replaced.

use pewterseam::interface::Micros;
use pewterseam_node::list::State;

use super::super::event::Event;
use super::super::host::Host;
use super::Engine;
use crate::story::{Happened, HostFacts, HostNumber};

/// A cold host's capacity is told so often while it warms.
const WARMS_EVERY: Micros = 500_000;
/// A host that is told to be draining leaves after so long, and is told to be gone so long before.
const DRAINS: Micros = 4_000_000;
const TOLD_GONE: Micros = 1_000_000;

impl Engine<'_> {
    /// A new host stands, warm, and is listed.
    pub(super) fn add_host(&mut self, destination: usize, zone: usize) -> HostNumber {
        let number = self.hosts.len() as HostNumber;
        let plan = &self.destinations[destination].plan;
        let hint = plan.limit_a_second.unwrap_or(plan.answers_a_second);
        let facts = HostFacts { destination: plan.number, zone };
        self.hosts.push(Host::new(number, destination, zone, plan));
        let zone = self.plan.fleet.zones.get(zone).map_or("", |zone| &zone.name);
        self.registry.add(number, zone, facts.destination, hint);
        self.story.hosts.insert(number, facts);
        self.tell_capacity(number);
        number
    }

    pub(super) fn capacity_of(&self, host: HostNumber) -> f64 {
        let host = &self.hosts[host as usize];
        host.capacity(&self.destinations[host.destination].plan, self.now)
    }

    fn tell_capacity(&mut self, host: HostNumber) {
        let a_second = self.capacity_of(host);
        self.tell(Happened::Capacity { host, a_second });
    }

    /// After a fault on a host began or ended: it goes out, or comes back, cold where `cold` says so.
    pub(super) fn stands_anew(&mut self, number: HostNumber, cold: bool) {
        let (now, host) = (self.now, &mut self.hosts[number as usize]);
        let (out, was_out) = (host.is_out(), host.was_out);
        host.was_out = out;
        if out == was_out {
            return;
        }
        let mut warms = None;
        if !out {
            host.returns += 1;
            host.cold_since = cold.then_some(now);
            warms = cold.then_some(host.returns);
        }
        self.tell_capacity(number);
        if let Some(returned) = warms {
            self.enter_in(WARMS_EVERY, Event::Warms { host: number, returned });
        }
    }

    pub(super) fn warms(&mut self, number: HostNumber, returned: u64) {
        let host = &mut self.hosts[number as usize];
        if host.returns != returned || host.is_out() {
            return;
        }
        if host.is_warm(&self.destinations[host.destination].plan, self.now) {
            host.cold_since = None;
        } else {
            self.enter_in(WARMS_EVERY, Event::Warms { host: number, returned });
        }
        self.tell_capacity(number);
    }

    /// The next host of a replacement is drained, and a new one stands in its place.
    pub(super) fn replace_host(&mut self, old: HostNumber) {
        let Host { destination, zone, gone, .. } = self.hosts[old as usize];
        if gone {
            return;
        }
        let new = self.add_host(destination, zone);
        self.links.replace(old, new);
        self.change_list(old, State::Terminating);
        self.enter_in(DRAINS, Event::HostGone(old));
    }

    pub(super) fn host_gone(&mut self, number: HostNumber) {
        if self.hosts[number as usize].gone {
            return;
        }
        if self.registry_has(number, State::Terminating) {
            self.change_list(number, State::Gone);
            return self.enter_in(TOLD_GONE, Event::HostGone(number));
        }
        self.hosts[number as usize].gone = true;
        self.stands_anew(number, false);
        self.reset_all(number);
    }
}
