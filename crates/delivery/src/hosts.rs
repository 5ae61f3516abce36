//! The hosts of all services, and which of them the decisions may use now.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use pewterseam::interface::{HostId, Lifecycle, Listed};
use pewterseam_wire::Micros;

use crate::backoff::{HOST_FULL, PROBE};
use crate::connections::{to_one_host, to_service};
use crate::interface::{HostKey, Instance, Target};
use crate::messages::Messages;
use crate::services::Services;
use crate::spread::{Candidate, Place, Spread};

/// Answers of a host that are looked at together, and how many there must be before it is judged by them.
const ANSWERS: u32 = 8;
const LEAST_ANSWERS: u32 = 4;

/// A host as it is used by this relay.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) service: Arc<str>,
    pub(crate) target: Target,
    /// It stands on the list, or is the endpoint of a service, and takes new messages by that.
    is_listed: bool,
    is_ready: bool,
    /// It answered that it is another one.
    is_mistaken: bool,
    /// It is slow until then, having just started.
    cold_until: Micros,
    /// Attempts out, and the most of them.
    pub(crate) calls: usize,
    limit: usize,
    paused_until: Micros,
    refusals: u32,
    /// The last answers, newest in the lowest bit: set where a message failed.
    failures: u8,
    answers: u32,
    /// Since the decisions found it out of order: checks made, and when the next one is due.
    checks: u32,
    check_at: Option<Micros>,
    is_checked: bool,
    /// The decisions found it out of order.
    is_out: bool,
    /// What the decisions were told.
    told: Option<Lifecycle>,
}

impl Host {
    /// Whether most of its answers fail, so that it is not for the messages.
    pub(crate) fn fails_mostly(&self) -> bool {
        self.answers >= LEAST_ANSWERS && self.failures.count_ones() * 2 > self.answers.min(ANSWERS)
    }

    pub(crate) fn answered(&mut self, failed: bool) {
        self.failures = self.failures << 1 | u8::from(failed);
        self.answers = (self.answers + 1).min(ANSWERS);
        self.refusals = 0;
    }

    /// New messages may go there, as far as the list tells.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_ready && !self.is_mistaken
    }

    /// Another call may be out to it.
    pub(crate) fn has_room(&self) -> bool {
        self.calls < self.limit
    }

    fn takes_now(&self, now: Micros) -> bool {
        self.is_usable() && self.has_room() && self.paused_until <= now
    }
}

/// The hosts of all services.
#[derive(Debug, Default)]
pub(crate) struct Hosts {
    hosts: BTreeMap<HostId, Host>,
    by_service: BTreeMap<Arc<str>, OfService>,
    instances: Vec<Instance>,
    /// Hosts of which the decisions are to be told something.
    changed: BTreeSet<HostId>,
    /// Services of which what may be chosen is to be settled anew.
    unsettled: BTreeSet<Arc<str>>,
    paused: BTreeSet<(Micros, HostId)>,
    /// Limited services without a permit.
    held: BTreeSet<Arc<str>>,
    place: Place,
    /// Nothing goes anywhere any more.
    is_closed: bool,
}

/// The hosts of one service.
#[derive(Debug, Default)]
struct OfService {
    /// By zone and id, so that relays and hosts that are named by their zones mostly meet.
    ring: BTreeSet<(Arc<str>, HostId)>,
    spread: Spread,
}

impl Hosts {
    pub(crate) fn get(&self, id: HostId) -> Option<&Host> {
        self.hosts.get(&id)
    }

    /// A host, of which the decisions are told anew if that changes what they may do.
    pub(crate) fn get_mut(&mut self, id: HostId) -> Option<&mut Host> {
        self.changed.insert(id);
        self.hosts.get_mut(&id)
    }

    pub(crate) fn of_service(&self, service: &str) -> impl Iterator<Item = HostId> {
        let ring = self.by_service.get(service).into_iter().flat_map(|of| &of.ring);
        ring.map(|(_, id)| *id)
    }

    pub(crate) fn set_list(&mut self, instances: Vec<Instance>, services: &Services, now: Micros) {
        let id = |of: &Instance| services.number(&of.service).listed_host(of);
        let cold: Vec<_> = instances.iter().map(|of| (id(of), of.cold_remaining_ms * 1000)).collect();
        self.instances = instances;
        self.refresh(services);
        for (id, left) in cold {
            // The word is of when the list first showed it.
            if let Some(host) = self.hosts.get_mut(&id).filter(|host| left == 0 || host.cold_until == 0) {
                host.cold_until = if left > 0 { now + left } else { 0 };
            }
        }
    }

    /// Where this relay stands among all.
    pub(crate) fn set_place(&mut self, place: Place, services: &Services) {
        self.place = place;
        self.refresh(services);
        self.changed.extend(self.hosts.keys());
    }

    /// Has the hosts follow the list and the configuration.
    pub(crate) fn refresh(&mut self, services: &Services) {
        let mut seen = BTreeSet::new();
        for instance in std::mem::take(&mut self.instances) {
            let service = services.get(&instance.service).filter(|service| service.static_address.is_none());
            if let Some(service) = service {
                let id = services.number(&service.name).listed_host(&instance);
                let target = Target { address: instance.address, instance: Some(instance.id.clone()) };
                let slots = if instance.slots > 0 { instance.slots as usize } else { usize::MAX };
                let limit = to_one_host(service.max_connections, self.place.relays).min(slots);
                self.put(id, &service.name, &instance.zone, target, instance.ready, limit);
                seen.insert(id);
            }
            self.instances.push(instance);
        }
        let no_zone = Arc::from("");
        for service in services.all() {
            let id = services.number(&service.name).static_host(service);
            if let Some((address, id)) = service.static_address.zip(id) {
                let limit = to_one_host(service.max_connections, self.place.relays);
                let target = Target { address, instance: None };
                self.put(id, &service.name, &no_zone, target, true, limit);
                seen.insert(id);
            }
        }
        for (id, host) in self.hosts.iter_mut().filter(|(id, _)| !seen.contains(id)) {
            (host.is_ready, host.is_listed) = (false, false);
            host.told = host.told.filter(|told| *told == Lifecycle::Gone);
            self.changed.insert(*id);
            if let Some(of) = self.by_service.get_mut(&host.service) {
                of.ring.retain(|(_, other)| other != id);
            }
        }
        self.by_service.retain(|_, of| !of.ring.is_empty());
    }

    /// How many connections to the hosts of a service may be kept open.
    pub(crate) fn most_connections(&self, service: &str, accepted: u32) -> usize {
        let hosts = self.by_service.get(service).map_or(0, |of| of.ring.len());
        to_service(accepted, hosts, self.place.relays)
    }

    fn put(
        &mut self, id: HostId, service: &Arc<str>, zone: &Arc<str>, target: Target, is_ready: bool,
        limit: usize,
    ) {
        let new = || Host {
            service: service.clone(),
            target: target.clone(),
            is_listed: true,
            is_ready,
            is_mistaken: false,
            cold_until: 0,
            calls: 0,
            limit,
            paused_until: 0,
            refusals: 0,
            failures: 0,
            answers: 0,
            checks: 0,
            check_at: None,
            is_checked: false,
            is_out: false,
            told: None,
        };
        let host = self.hosts.entry(id).or_insert_with(new);
        if host.told != Some(Lifecycle::Gone)
            && (host.is_ready, host.limit) == (is_ready, limit)
            && host.told.is_some()
        {
            return;
        }
        (host.is_ready, host.limit, host.is_listed) = (is_ready, limit, true);
        self.by_service.entry(service.clone()).or_default().ring.insert((zone.clone(), id));
        self.changed.insert(id);
    }

    /// It turned a message away as full: it rests, longer each time.
    pub(crate) fn pause(&mut self, id: HostId, wait: Option<Micros>, now: Micros, seed: u64) {
        let Some(host) = self.get_mut(id) else { return };
        host.refusals += 1;
        let pause =
            HOST_FULL.pause(host.refusals, now, seed ^ id.0).max(wait.unwrap_or(0).min(HOST_FULL.longest));
        host.paused_until = now + pause;
        self.paused.insert((now + pause, id));
    }

    /// It is not the host that was listed.
    pub(crate) fn mistaken(&mut self, id: HostId) {
        if let Some(host) = self.get_mut(id) {
            host.is_mistaken = true;
        }
    }

    /// From now on, no host takes anything.
    pub(crate) fn close(&mut self) {
        self.is_closed = true;
        self.changed.extend(self.hosts.keys());
    }

    /// Holds back a limited service that has no permit, or lets it go on.
    pub(crate) fn hold(&mut self, service: &Arc<str>, held: bool) {
        let changed = if held { self.held.insert(service.clone()) } else { self.held.remove(service) };
        if changed {
            let ids: Vec<_> = self.of_service(service).collect();
            self.changed.extend(ids);
        }
    }

    /// What the decisions are to be told of hosts, and the addresses that are of no use any more.
    /// That of a service nobody waits for comes later.
    pub(crate) fn changes(
        &mut self, services: &Services, messages: &Messages, now: Micros,
    ) -> (Vec<Listed>, Vec<Target>) {
        while let Some((at, id)) = self.paused.first().copied().filter(|(at, _)| *at <= now) {
            self.paused.remove(&(at, id));
            self.changed.insert(id);
        }
        let (mut listed, mut gone) = (Vec::new(), Vec::new());
        for id in std::mem::take(&mut self.changed) {
            let Some(host) = self.hosts.get(&id) else { continue };
            // What is chosen among changes with each of its service.
            if !self.unsettled.contains(&host.service) {
                self.unsettled.insert(host.service.clone());
            }
            if self.is_listed(id) {
                continue;
            }
            listed.extend(self.tell(id, Lifecycle::Gone, services));
            if self.hosts.get(&id).is_some_and(|host| host.calls == 0) {
                gone.extend(self.hosts.remove(&id).map(|host| host.target));
            }
        }
        let wanted = |service: &Arc<str>| messages.demand(service) > 0;
        for service in self.unsettled.extract_if(.., wanted).collect::<Vec<_>>() {
            let accepted = services.get(&service).map_or(0, |service| service.max_connections);
            let chosen = self.choose(&service, accepted, now);
            let ids: Vec<_> = self.of_service(&service).collect();
            for id in ids {
                let lifecycle = if chosen.contains(&id) { Lifecycle::Ready } else { Lifecycle::Draining };
                listed.extend(self.tell(id, lifecycle, services));
            }
        }
        (listed, gone)
    }

    fn is_listed(&self, id: HostId) -> bool {
        let host = self.hosts.get(&id);
        host.is_some_and(|host| host.is_listed)
    }

    /// The hosts of a service that the decisions may use now.
    fn choose(&mut self, service: &Arc<str>, accepted: u32, now: Micros) -> BTreeSet<HostId> {
        let most = self.most_connections(service, accepted).max(1);
        let (is_held, hosts) = (self.is_closed || self.held.contains(service), &self.hosts);
        let Some(of) = self.by_service.get_mut(service).filter(|_| !is_held) else { return BTreeSet::new() };
        let candidate = |(_, id): &(Arc<str>, HostId)| {
            let host = hosts.get(id)?;
            // A slow one counts as busier than it is.
            let calls = host.calls + usize::from(now < host.cold_until);
            Some(Candidate { id: *id, takes_now: host.takes_now(now), is_out: host.is_out, calls })
        };
        let ring: Vec<_> = of.ring.iter().filter_map(candidate).collect();
        of.spread.choose(&ring, self.place, most)
    }

    /// The line that the decisions are told of a host, if it is news.
    fn tell(&mut self, id: HostId, lifecycle: Lifecycle, services: &Services) -> Option<Listed> {
        let host = self.hosts.get_mut(&id).filter(|host| host.told != Some(lifecycle))?;
        host.told = Some(lifecycle);
        let weight = services.get(&host.service).map_or(1.0, |service| service.weight());
        let destination = services.number(&host.service).destination;
        Some(Listed { host: id, zone: 0, kind: 0, destination, lifecycle, weight })
    }

    /// Books that a call to a host begins.
    pub(crate) fn began(&mut self, id: HostId) {
        let Some(host) = self.get_mut(id) else { return };
        host.calls += 1;
        let service = host.service.clone();
        if let Some(of) = self.by_service.get_mut(&service) {
            of.spread.began(id);
        }
    }

    /// Notes which hosts the decisions found out of order; those are checked.
    pub(crate) fn out_of_order(&mut self, out: &[HostId], now: Micros, seed: u64) {
        for (id, host) in self.hosts.iter_mut().filter(|(id, host)| host.is_out != out.contains(id)) {
            host.is_out = !host.is_out;
            self.changed.insert(*id);
        }
        for id in out {
            if let Some(host) =
                self.hosts.get_mut(id).filter(|host| host.check_at.is_none() && host.is_usable())
            {
                host.checks += 1;
                host.check_at = Some(now + PROBE.pause(host.checks, now, seed ^ id.0));
            }
        }
        for (id, host) in self.hosts.iter_mut().filter(|(_, host)| host.checks > 0) {
            if !out.contains(id) {
                (host.checks, host.check_at) = (0, None);
            }
        }
    }

    /// The hosts to be checked now.
    pub(crate) fn due_checks(&mut self, now: Micros) -> Vec<(HostKey, Target, Arc<str>)> {
        let is_due = |host: &Host| host.check_at.is_some_and(|at| at <= now) && !host.is_checked;
        let due = self.hosts.iter_mut().filter(|(_, host)| is_due(host));
        let check = |(id, host): (&HostId, &mut Host)| {
            host.is_checked = true;
            (HostKey(id.0), host.target.clone(), host.service.clone())
        };
        due.map(check).collect()
    }

    pub(crate) fn checked(&mut self, id: HostId) {
        if let Some(host) = self.hosts.get_mut(&id) {
            (host.is_checked, host.check_at) = (false, None);
        }
    }

    /// When a pause ends.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        self.paused.first().map(|(at, _)| *at)
    }
}
