//! Hosts and their routes, as the registry lists them.

use std::collections::BTreeSet;

use super::{Health, Host, Route, RouteId, State};
use crate::interface::{DestinationId, HostId, Lifecycle, ListedHost, Micros, Settings, WeightMeaning};

impl State {
    pub fn hosts_of(&self, destination: DestinationId) -> impl Iterator<Item = (HostId, &Host)> {
        let ids = self.index.get(&destination).into_iter().flatten();
        ids.filter_map(|id| Some((*id, self.hosts.get(id)?)))
    }

    /// The hosts of a destination whose circuit breaker is closed.
    pub fn healthy(&self, destination: DestinationId) -> Vec<HostId> {
        let healthy = self.hosts_of(destination).filter(|(_, host)| host.health == Health::Closed);
        healthy.map(|(id, _)| id).collect()
    }

    pub fn hosts_of_kind(&self, kind: usize) -> Vec<HostId> {
        self.hosts.iter().filter(|(_, host)| host.kind == kind).map(|(id, _)| *id).collect()
    }

    /// The hosts of a route whose circuit breaker is not open.
    pub fn closed_hosts(&self, id: RouteId) -> impl Iterator<Item = HostId> {
        let closed = move |host: &Host| host.route == id && !host.is_open();
        self.hosts_of(id.0).filter(move |(_, host)| closed(host)).map(|(id, _)| id)
    }

    pub fn routes_of(&self, destination: DestinationId) -> impl Iterator<Item = &Route> {
        let routes = self.routes.range((destination, None)..).take_while(move |(id, _)| id.0 == destination);
        routes.map(|(_, route)| route)
    }

    pub fn routes_of_mut(&mut self, destination: DestinationId) -> impl Iterator<Item = &mut Route> {
        let routes = self.routes.range_mut((destination, None)..);
        routes.take_while(move |(id, _)| id.0 == destination).map(|(_, route)| route)
    }

    /// A known host and its route.
    pub fn host_and_route(&mut self, id: HostId) -> Option<(&mut Host, &mut Route)> {
        let host = self.hosts.get_mut(&id)?;
        let route = self.routes.get_mut(&host.route)?;
        Some((host, route))
    }

    /// Whether a destination was ever listed, or no list has arrived yet.
    pub fn knows(&self, destination: DestinationId) -> bool {
        self.routes.is_empty() || self.routes_of(destination).next().is_some()
    }

    /// Applies entries of the registry's list; a host missing from a `whole` list is gone. `new` makes the
    /// route of a destination not seen before, or of a host whose kind has a route per host.
    pub fn apply_listing(
        &mut self, entries: &[ListedHost], whole: bool, settings: &Settings, new: impl Fn(RouteId) -> Route,
        now: Micros,
    ) {
        let named: BTreeSet<HostId> = entries.iter().map(|entry| entry.host).collect();
        for (_, host) in self.hosts.iter_mut().filter(|(id, _)| whole && !named.contains(id)) {
            host.lifecycle = Lifecycle::Gone;
        }
        for entry in entries {
            let apart = settings.kinds[entry.kind].limit_per_host;
            let route = (entry.destination, apart.then_some(entry.host));
            if entry.lifecycle != Lifecycle::Gone {
                self.routes.entry(route).or_insert_with(|| Route { refilled_at: now, ..new(route) });
                let new =
                    Host { route, kind: entry.kind, zone: entry.zone, heard_at: now, ..Host::default() };
                let host = self.hosts.entry(entry.host).or_insert(new);
                self.index.entry(host.route.0).or_default().insert(entry.host);
            }
            if let Some((host, route)) = self.host_and_route(entry.host) {
                host.lifecycle = entry.lifecycle;
                route.listed =
                    Some(entry.weight).filter(|_| settings.weight_meaning != WeightMeaning::Ignored);
            }
        }
        // Without this, the state of hosts that are gone fills the memory over a long day. The state of a
        // host with calls in flight is removed with a later list.
        let mut changed: BTreeSet<DestinationId> = entries.iter().map(|entry| entry.destination).collect();
        for (_, host) in
            self.hosts.extract_if(.., |_, host| host.lifecycle == Lifecycle::Gone && host.calls == 0)
        {
            changed.insert(host.route.0);
        }
        self.routes.retain(|(_, host), _| host.is_none_or(|host| self.hosts.contains_key(&host)));
        self.idle.retain(|host| self.hosts.contains_key(host));
        changed.into_iter().for_each(|destination| self.count_hosts(destination));
    }

    /// Returns the new settings after updating which routes this sender is a home of, given the new number of
    /// senders. Without this, a sender that is no longer a home takes the whole limit for itself, as it
    /// receives no reports.
    pub fn apply_settings(
        &mut self, settings: Settings, homes: impl Fn(DestinationId, u16, Micros) -> Vec<u16>,
    ) -> Settings {
        for (id, route) in &mut self.routes {
            route.is_home = homes(id.0, settings.senders, 0).contains(&settings.me);
            route.is_alone = !settings.may_message_peers && settings.senders > 1;
        }
        settings
    }

    /// Gives a host that was never used the health of its route's other hosts, if all of those are open.
    pub fn inherit_health(&mut self, id: HostId, tokens: f64, now: Micros) {
        let Some(host) = self.hosts.get(&id) else { return };
        let used = host.ok_at > 0 || host.calls > 0 || host.health != Health::Closed;
        let others = self.hosts_of(host.route.0).filter(|(other, _)| *other != id);
        let of_route: Vec<_> = others.map(|(_, other)| other).filter(|o| o.route == host.route).collect();
        if used || of_route.is_empty() || !of_route.iter().all(|other| other.is_open()) {
            return;
        }
        let Host { failing_since, last_failure_at, declared_down_at, failure_score, failed, .. } =
            *of_route[0];
        if let Some(host) = self.hosts.get_mut(&id) {
            (host.health, host.cold_tokens, host.refilled_at) = (Health::Open, tokens, now);
            (host.failing_since, host.last_failure_at, host.declared_down_at) =
                (failing_since, last_failure_at, declared_down_at);
            (host.failure_score, host.failed) = (failure_score, failed);
        }
    }

    fn count_hosts(&mut self, destination: DestinationId) {
        let Some(ids) = self.index.get_mut(&destination) else { return };
        ids.retain(|id| self.hosts.contains_key(id));
        let routes = self.routes.range_mut((destination, None)..);
        for (id, route) in routes.take_while(|(id, _)| id.0 == destination) {
            let of_route = ids.iter().filter(|host| self.hosts[*host].route == *id);
            route.hosts = of_route.count() as f64;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Kind, ValueDecay};

    fn settings() -> Settings {
        Settings {
            me: 0,
            senders: 1,
            classes: Vec::new(),
            kinds: vec![Kind { limit_per_host: true, max_bundle: 1 }],
            tenants: Vec::new(),
            over_quota_value: 1.0,
            value_decay: ValueDecay::Linear,
            slots: 8,
            max_held: 50,
            max_attempts: 3,
            may_message_peers: false,
            max_retry_after: 0,
            idle_close: 1,
            connect_timeout: 1,
            ends_by_notice: false,
            weight_meaning: WeightMeaning::Ignored,
            polls_registry: false,
            max_poll_pause: 0,
            drain_grace: 0,
            cold_share: 1.0,
            cold_time: 1,
            overload_factor: 1.0,
            overload_window: 1,
            order_cooldown: 0,
        }
    }

    #[test]
    fn nothing_is_kept_of_hosts_that_are_gone() {
        let (mut state, settings) = (State::default(), settings());
        let listed = |host, lifecycle| ListedHost {
            host: HostId(host),
            zone: 0,
            kind: 0,
            destination: host as DestinationId % 3,
            lifecycle,
            weight: 1.0,
        };
        for number in 0..300 {
            let (first, whole) = (listed(number, Lifecycle::Ready), number % 2 == 0);
            let gone = listed(number.saturating_sub(1), Lifecycle::Gone);
            let entries = if whole || number == 0 { vec![first] } else { vec![gone, first] };
            state.apply_listing(&entries, whole, &settings, |_| Route::default(), number);
            state.idle.insert(HostId(number));
        }
        assert_eq!((state.hosts.len(), state.routes.len(), state.idle.len()), (1, 1, 1));
        assert_eq!(state.index.values().map(BTreeSet::len).sum::<usize>(), 1);
    }
}
