//! The hosts of all services, and which of them the brain may use now.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use pewterseam::interface::{HostId, Lifecycle, ListedHost};
use pewterseam_wire::Micros;

use crate::backoff::{HOST_FULL, PROBE};
use crate::connections::{max_connections_to_host, max_connections_to_service};
use crate::interface::{HostKey, Instance, Target};
use crate::messages::Messages;
use crate::services::Services;
use crate::spread::{Candidate, HostSelection, RelayPosition};

/// Number of latest answers of a host that are evaluated, and the minimum number for a verdict.
const ANSWER_WINDOW: u32 = 8;
const MIN_ANSWERS: u32 = 4;

/// State of a host at this relay.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) service: Arc<str>,
    pub(crate) target: Target,
    /// The host is on the list, or is the static endpoint of a service. `is_ready`: it accepts new messages.
    is_listed: bool,
    is_ready: bool,
    /// Another instance answered at its address.
    is_wrong_instance: bool,
    /// The host is slow until this time, as it has just started.
    cold_until: Micros,
    /// Attempts in flight, limited by `limit`.
    pub(crate) calls: usize,
    limit: usize,
    paused_until: Micros,
    rejections: u32,
    /// Bits of the latest answers, the newest in the lowest bit. A set bit is a failed message.
    failures: u8,
    answers: u32,
    /// Health checks since the brain ejected the host, and the time of the next one.
    checks: u32,
    check_at: Option<Micros>,
    is_check_running: bool,
    /// The brain ejected the host.
    is_ejected: bool,
    /// The lifecycle last reported to the brain.
    reported: Option<Lifecycle>,
}

impl Host {
    /// Whether most of its latest answers are failures, so that the host and not the messages is the cause.
    pub(crate) fn mostly_fails(&self) -> bool {
        self.answers >= MIN_ANSWERS && self.failures.count_ones() * 2 > self.answers.min(ANSWER_WINDOW)
    }

    pub(crate) fn answered(&mut self, failed: bool) {
        self.failures = self.failures << 1 | u8::from(failed);
        self.answers = (self.answers + 1).min(ANSWER_WINDOW);
        self.rejections = 0;
    }

    /// Whether the host may receive new messages by the list.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_ready && !self.is_wrong_instance
    }

    /// Whether another call to the host may be in flight.
    pub(crate) fn has_room(&self) -> bool {
        self.calls < self.limit
    }

    fn is_available(&self, now: Micros) -> bool {
        self.is_usable() && self.has_room() && self.paused_until <= now
    }
}

/// The hosts of all services.
#[derive(Debug, Default)]
pub(crate) struct Hosts {
    hosts: BTreeMap<HostId, Host>,
    by_service: BTreeMap<Arc<str>, ServiceHosts>,
    instances: Vec<Instance>,
    /// Hosts whose changes must be evaluated for the brain.
    changed: BTreeSet<HostId>,
    /// Services whose host selection must be repeated.
    reselect: BTreeSet<Arc<str>>,
    paused: BTreeSet<(Micros, HostId)>,
    /// Limited services without a permit.
    without_permit: BTreeSet<Arc<str>>,
    position: RelayPosition,
    /// No further calls are started.
    is_stopped: bool,
}

/// The hosts of one service.
#[derive(Debug, Default)]
struct ServiceHosts {
    /// Sorted by zone and id, so that relays and hosts whose names begin with the same zone mostly match.
    ring: BTreeSet<(Arc<str>, HostId)>,
    selection: HostSelection,
}

impl Hosts {
    pub(crate) fn get(&self, id: HostId) -> Option<&Host> {
        self.hosts.get(&id)
    }

    /// A host, which is marked as changed.
    pub(crate) fn get_mut(&mut self, id: HostId) -> Option<&mut Host> {
        self.changed.insert(id);
        self.hosts.get_mut(&id)
    }

    pub(crate) fn of_service(&self, service: &str) -> impl Iterator<Item = HostId> {
        let ring = self.by_service.get(service).into_iter().flat_map(|entry| &entry.ring);
        ring.map(|(_, id)| *id)
    }

    pub(crate) fn set_list(&mut self, instances: Vec<Instance>, services: &Services, now: Micros) {
        let id = |entry: &Instance| services.number(&entry.service).listed_host(entry);
        let cold: Vec<_> =
            instances.iter().map(|entry| (id(entry), entry.cold_remaining_ms * 1000)).collect();
        self.instances = instances;
        self.refresh(services);
        for (id, left) in cold {
            // The remaining time is counted from when the list first showed the host.
            if let Some(host) = self.hosts.get_mut(&id).filter(|host| left == 0 || host.cold_until == 0) {
                host.cold_until = if left > 0 { now + left } else { 0 };
            }
        }
    }

    /// Sets the position of this relay among all relays.
    pub(crate) fn set_position(&mut self, position: RelayPosition, services: &Services) {
        self.position = position;
        self.refresh(services);
        self.changed.extend(self.hosts.keys());
    }

    /// Updates the hosts from the list and the configuration.
    pub(crate) fn refresh(&mut self, services: &Services) {
        let mut seen = BTreeSet::new();
        for instance in std::mem::take(&mut self.instances) {
            let service = services.get(&instance.service).filter(|service| service.static_address.is_none());
            if let Some(service) = service {
                let id = services.number(&service.name).listed_host(&instance);
                let target = Target { address: instance.address, instance: Some(instance.id.clone()) };
                let slots = if instance.slots > 0 { instance.slots as usize } else { usize::MAX };
                let limit = max_connections_to_host(service.max_connections, self.position.relays).min(slots);
                self.upsert(id, &service.name, &instance.zone, target, instance.ready, limit);
                seen.insert(id);
            }
            self.instances.push(instance);
        }
        let no_zone = Arc::from("");
        for service in services.all() {
            let id = services.number(&service.name).static_host(service);
            if let Some((address, id)) = service.static_address.zip(id) {
                let limit = max_connections_to_host(service.max_connections, self.position.relays);
                let target = Target { address, instance: None };
                self.upsert(id, &service.name, &no_zone, target, true, limit);
                seen.insert(id);
            }
        }
        for (id, host) in self.hosts.iter_mut().filter(|(id, _)| !seen.contains(id)) {
            (host.is_ready, host.is_listed) = (false, false);
            host.reported = host.reported.filter(|reported| *reported == Lifecycle::Gone);
            self.changed.insert(*id);
            if let Some(entry) = self.by_service.get_mut(&host.service) {
                entry.ring.retain(|(_, other)| other != id);
            }
        }
        self.by_service.retain(|_, entry| !entry.ring.is_empty());
    }

    /// Maximum number of open connections to the hosts of a service.
    pub(crate) fn max_open_connections(&self, service: &str, accepted: u32) -> usize {
        let hosts = self.by_service.get(service).map_or(0, |entry| entry.ring.len());
        max_connections_to_service(accepted, hosts, self.position.relays)
    }

    fn upsert(
        &mut self, id: HostId, service: &Arc<str>, zone: &Arc<str>, target: Target, is_ready: bool,
        limit: usize,
    ) {
        let new = || Host {
            service: service.clone(),
            target: target.clone(),
            is_listed: true,
            is_ready,
            is_wrong_instance: false,
            cold_until: 0,
            calls: 0,
            limit,
            paused_until: 0,
            rejections: 0,
            failures: 0,
            answers: 0,
            checks: 0,
            check_at: None,
            is_check_running: false,
            is_ejected: false,
            reported: None,
        };
        let host = self.hosts.entry(id).or_insert_with(new);
        if host.reported != Some(Lifecycle::Gone)
            && (host.is_ready, host.limit) == (is_ready, limit)
            && host.reported.is_some()
        {
            return;
        }
        (host.is_ready, host.limit, host.is_listed) = (is_ready, limit, true);
        self.by_service.entry(service.clone()).or_default().ring.insert((zone.clone(), id));
        self.changed.insert(id);
    }

    /// Pauses a host that rejected a message because it is full, with backoff.
    pub(crate) fn pause(&mut self, id: HostId, wait: Option<Micros>, now: Micros, seed: u64) {
        let Some(host) = self.get_mut(id) else { return };
        host.rejections += 1;
        let pause =
            HOST_FULL.delay(host.rejections, now, seed ^ id.0).max(wait.unwrap_or(0).min(HOST_FULL.max));
        host.paused_until = now + pause;
        self.paused.insert((now + pause, id));
    }

    /// Marks a host at whose address another instance answered.
    pub(crate) fn mark_wrong_instance(&mut self, id: HostId) {
        if let Some(host) = self.get_mut(id) {
            host.is_wrong_instance = true;
        }
    }

    /// Starts no further calls to any host.
    pub(crate) fn stop(&mut self) {
        self.is_stopped = true;
        self.changed.extend(self.hosts.keys());
    }

    /// Sets whether a limited service has no permit, which stops calls to its hosts.
    pub(crate) fn set_without_permit(&mut self, service: &Arc<str>, is_without_permit: bool) {
        let changed = if is_without_permit {
            self.without_permit.insert(service.clone())
        } else {
            self.without_permit.remove(service)
        };
        if changed {
            let ids: Vec<_> = self.of_service(service).collect();
            self.changed.extend(ids);
        }
    }

    /// Host changes for the brain, and the targets that are no longer used. Changes of a service without waiting messages are
    /// reported later.
    pub(crate) fn changes(
        &mut self, services: &Services, messages: &Messages, now: Micros,
    ) -> (Vec<ListedHost>, Vec<Target>) {
        while let Some((at, id)) = self.paused.first().copied().filter(|(at, _)| *at <= now) {
            self.paused.remove(&(at, id));
            self.changed.insert(id);
        }
        let (mut listed, mut gone) = (Vec::new(), Vec::new());
        for id in std::mem::take(&mut self.changed) {
            let Some(host) = self.hosts.get(&id) else { continue };
            // A change of one host can change the selection of its whole service.
            if !self.reselect.contains(&host.service) {
                self.reselect.insert(host.service.clone());
            }
            if self.is_listed(id) {
                continue;
            }
            listed.extend(self.report(id, Lifecycle::Gone, services));
            if self.hosts.get(&id).is_some_and(|host| host.calls == 0) {
                gone.extend(self.hosts.remove(&id).map(|host| host.target));
            }
        }
        let wanted = |service: &Arc<str>| messages.demand(service) > 0;
        for service in self.reselect.extract_if(.., wanted).collect::<Vec<_>>() {
            let accepted = services.get(&service).map_or(0, |service| service.max_connections);
            let chosen = self.select(&service, accepted, now);
            let ids: Vec<_> = self.of_service(&service).collect();
            for id in ids {
                let lifecycle = if chosen.contains(&id) { Lifecycle::Ready } else { Lifecycle::Draining };
                listed.extend(self.report(id, lifecycle, services));
            }
        }
        (listed, gone)
    }

    fn is_listed(&self, id: HostId) -> bool {
        let host = self.hosts.get(&id);
        host.is_some_and(|host| host.is_listed)
    }

    /// The hosts of a service that the brain may use now.
    fn select(&mut self, service: &Arc<str>, accepted: u32, now: Micros) -> BTreeSet<HostId> {
        let max_hosts = self.max_open_connections(service, accepted).max(1);
        let (is_blocked, hosts) = (self.is_stopped || self.without_permit.contains(service), &self.hosts);
        let Some(entry) = self.by_service.get_mut(service).filter(|_| !is_blocked) else {
            return BTreeSet::new();
        };
        let candidate = |(_, id): &(Arc<str>, HostId)| {
            let host = hosts.get(id)?;
            // A slow host counts as having one more call.
            let calls = host.calls + usize::from(now < host.cold_until);
            Some(Candidate {
                id: *id,
                is_available: host.is_available(now),
                is_ejected: host.is_ejected,
                calls,
            })
        };
        let ring: Vec<_> = entry.ring.iter().filter_map(candidate).collect();
        entry.selection.choose(&ring, self.position, max_hosts)
    }

    /// The report of a host to the brain, if its lifecycle changed.
    fn report(&mut self, id: HostId, lifecycle: Lifecycle, services: &Services) -> Option<ListedHost> {
        let host = self.hosts.get_mut(&id).filter(|host| host.reported != Some(lifecycle))?;
        host.reported = Some(lifecycle);
        let weight = services.get(&host.service).map_or(1.0, |service| service.weight());
        let destination = services.number(&host.service).destination;
        Some(ListedHost { host: id, zone: 0, kind: 0, destination, lifecycle, weight })
    }

    /// Records the start of a call to a host.
    pub(crate) fn record_call(&mut self, id: HostId) {
        let Some(host) = self.get_mut(id) else { return };
        host.calls += 1;
        let service = host.service.clone();
        if let Some(entry) = self.by_service.get_mut(&service) {
            entry.selection.record_use(id);
        }
    }

    /// Updates which hosts the brain ejected, and schedules their health checks.
    pub(crate) fn update_ejected(&mut self, ejected: &[HostId], now: Micros, seed: u64) {
        for (id, host) in self.hosts.iter_mut().filter(|(id, host)| host.is_ejected != ejected.contains(id)) {
            host.is_ejected = !host.is_ejected;
            self.changed.insert(*id);
        }
        for id in ejected {
            if let Some(host) =
                self.hosts.get_mut(id).filter(|host| host.check_at.is_none() && host.is_usable())
            {
                host.checks += 1;
                host.check_at = Some(now + PROBE.delay(host.checks, now, seed ^ id.0));
            }
        }
        for (id, host) in self.hosts.iter_mut().filter(|(_, host)| host.checks > 0) {
            if !ejected.contains(id) {
                (host.checks, host.check_at) = (0, None);
            }
        }
    }

    /// The hosts whose health check is due.
    pub(crate) fn due_checks(&mut self, now: Micros) -> Vec<(HostKey, Target, Arc<str>)> {
        let is_due = |host: &Host| host.check_at.is_some_and(|at| at <= now) && !host.is_check_running;
        let due = self.hosts.iter_mut().filter(|(_, host)| is_due(host));
        let check = |(id, host): (&HostId, &mut Host)| {
            host.is_check_running = true;
            (HostKey(id.0), host.target.clone(), host.service.clone())
        };
        due.map(check).collect()
    }

    pub(crate) fn record_check(&mut self, id: HostId) {
        if let Some(host) = self.hosts.get_mut(&id) {
            (host.is_check_running, host.check_at) = (false, None);
        }
    }

    /// When the next pause ends.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        self.paused.first().map(|(at, _)| *at)
    }
}
