//! Faults of the plan as they begin and end.

use super::super::cast;
use super::super::event::Event;
use super::super::links::{Bad, Side};
use super::{Engine, micros};
use crate::plan::{Fault, How, Link, Pick, Process, Server, Trouble, What, Who};
use crate::story::{Happened, HostNumber, RelayNumber};

impl Engine<'_> {
    fn fault(&self, place: usize) -> &Fault {
        &self.plan.faults[place]
    }

    fn picked_hosts(&self, pick: &Pick, place: usize) -> Vec<HostNumber> {
        cast::hosts(self.plan, pick, place, &self.standing())
    }

    /// Relays that are not to start with the day.
    pub(super) fn hold_late_starts(&mut self) {
        for (place, fault) in self.plan.faults.iter().enumerate() {
            if let What::Process(Process { who, how: How::StartLate }) = &fault.what {
                for relay in cast::relays(self.plan, who, place) {
                    self.process(relay).holds.insert(place);
                }
            }
        }
    }

    pub(super) fn fault_begins(&mut self, place: usize) {
        self.tell(Happened::Fault { place, begins: true });
        let plan = self.plan;
        match &plan.faults[place].what {
            What::Link(link) => self.break_link(place, link),
            What::Process(Process { who, how }) => {
                for relay in cast::relays(plan, who, place) {
                    self.trouble_relay(relay, *how, place);
                }
            }
            What::Server(Server { who, how }) => {
                let hosts = self.picked_hosts(who, place);
                for host in hosts {
                    // Flapping begins with a silence.
                    let how = if let Trouble::Flapping(_) = how { Trouble::Silent } else { *how };
                    self.trouble_host(host, how, place);
                }
                if let Trouble::Flapping(every) = how {
                    self.enter_in(micros(*every).max(1), Event::Flaps { place, silent: false });
                }
            }
            What::Discovery { turned_away: true } => self.registry.turning_away.push(place),
            What::Discovery { turned_away: false } => {
                self.registry.silent.push(place);
                self.silence_questions();
            }
            What::Replace(who) => self.replace_hosts(place, who),
            What::Load { times } => self.load_times.push((place, times.max(0.0))),
            What::Limit { who, times } => {
                for destination in self.destinations_of(who, place) {
                    self.destinations[destination].limit_times.push((place, times.max(0.0)));
                }
            }
        }
    }

    pub(super) fn fault_ends(&mut self, place: usize) {
        self.tell(Happened::Fault { place, begins: false });
        let plan = self.plan;
        match &plan.faults[place].what {
            What::Link(_) => {
                self.links.mend(place);
                self.push_all();
                self.answer_held_questions();
            }
            What::Process(Process { who, how }) => {
                for relay in cast::relays(plan, who, place) {
                    self.relieve_relay(relay, *how, place);
                }
            }
            What::Server(Server { how, .. }) => {
                let cold = matches!(how, Trouble::Silent | Trouble::Refusing);
                self.relieve_hosts(place, cold);
            }
            What::Discovery { .. } => {
                self.registry.silent.retain(|other| *other != place);
                self.registry.turning_away.retain(|other| *other != place);
                self.push_all();
            }
            What::Replace(_) => {}
            What::Load { .. } => self.load_times.retain(|(other, _)| *other != place),
            What::Limit { .. } => {
                for destination in &mut self.destinations {
                    destination.limit_times.retain(|(other, _)| *other != place);
                }
            }
        }
    }

    fn break_link(&mut self, place: usize, link: &Link) {
        let until = micros(self.fault(place).start_s + self.fault(place).length_s);
        let (from, to) = (self.side(&link.from, place), self.side(&link.to, place));
        self.links.break_down(Bad { place, from, to, until, link: link.clone() });
        self.silence_questions();
    }

    fn side(&self, who: &Who, place: usize) -> Side {
        let mut side = Side::default();
        match who {
            Who::Relays(pick) => {
                side.relays = vec![false; usize::from(self.plan.fleet.relays)];
                for relay in cast::relays(self.plan, pick, place) {
                    side.relays[usize::from(relay)] = true;
                }
            }
            Who::Hosts(pick) => {
                side.hosts = vec![false; self.hosts.len()];
                for host in self.picked_hosts(pick, place) {
                    side.hosts[host as usize] = true;
                }
            }
            Who::Discovery => side.discovery = true,
            Who::Clients => side.clients = true,
        }
        side
    }

    fn trouble_relay(&mut self, relay: RelayNumber, how: How, place: usize) {
        match how {
            How::Stall => self.stand_still(relay, place),
            How::Crash | How::CrashAndForget | How::CrashAndRestore => {
                let process = self.process(relay);
                process.holds.insert(place);
                // The day starts with empty folders: a restored one is empty too.
                if how != How::Crash {
                    process.folder = Default::default();
                    process.folder.is_full = !process.full_disk.is_empty();
                }
                self.die(relay);
            }
            How::Restart => {
                self.process(relay).holds.insert(place);
                self.ask_to_stop(relay);
            }
            How::StartLate => {}
            How::DiskFull => {
                let process = self.process(relay);
                process.full_disk.insert(place);
                process.folder.is_full = true;
            }
        }
    }

    fn relieve_relay(&mut self, relay: RelayNumber, how: How, place: usize) {
        match how {
            How::Stall => self.go_on(relay, place),
            How::Crash | How::CrashAndForget | How::CrashAndRestore | How::Restart | How::StartLate => {
                self.process(relay).holds.remove(&place);
                self.start_when_free(relay);
            }
            How::DiskFull => {
                let process = self.process(relay);
                process.full_disk.remove(&place);
                process.folder.is_full = !process.full_disk.is_empty();
            }
        }
    }

    fn trouble_host(&mut self, host: HostNumber, how: Trouble, place: usize) {
        self.hosts[host as usize].troubles.push((place, how));
        self.stands_anew(host, false);
        if how == Trouble::Refusing {
            self.reset_all(host);
        }
    }

    fn relieve_hosts(&mut self, place: usize, cold: bool) {
        for host in 0..self.hosts.len() {
            let troubles = &mut self.hosts[host].troubles;
            let before = troubles.len();
            troubles.retain(|(other, _)| *other != place);
            if troubles.len() < before {
                self.stands_anew(host as HostNumber, cold);
            }
        }
    }

    /// Silent and well in turns, until the fault's end.
    pub(super) fn flaps(&mut self, place: usize, silent: bool) {
        let plan = self.plan;
        let fault = &plan.faults[place];
        let What::Server(Server { who, how: Trouble::Flapping(every) }) = &fault.what else { return };
        if self.now >= micros(fault.start_s + fault.length_s) {
            return;
        }
        if silent {
            let hosts = self.picked_hosts(who, place);
            hosts.into_iter().for_each(|host| self.trouble_host(host, Trouble::Silent, place));
        } else {
            self.relieve_hosts(place, false);
        }
        self.enter_in(micros(*every).max(1), Event::Flaps { place, silent: !silent });
    }

    /// Those that stand when the fault begins are replaced evenly over its length, in their order.
    fn replace_hosts(&mut self, place: usize, who: &Pick) {
        let hosts = self.picked_hosts(who, place);
        let length = micros(self.fault(place).length_s);
        for (order, host) in hosts.iter().enumerate() {
            self.enter_in(length * order as u64 / hosts.len() as u64, Event::Replaced(*host));
        }
    }

    fn destinations_of(&self, who: &Pick, place: usize) -> Vec<usize> {
        let hosts = self.picked_hosts(who, place);
        let mut destinations: Vec<_> =
            hosts.iter().map(|host| self.hosts[*host as usize].destination).collect();
        destinations.sort_unstable();
        destinations.dedup();
        destinations
    }
}
