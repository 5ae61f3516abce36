//! Hosts in turn, each behind a circuit breaker, and the connections to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pewterseam::interface::Micros;
use pewterseam_durable::record::Zone;
use pewterseam_node::list::{List, State};
use pewterseam_node::names;
use pewterseam_node::pool::ConnectionId;

/// Failures in a row that open a breaker, and for how long.
const OPENS_AT: u32 = 5;
const STAYS_OPEN: Micros = 5_000_000;

#[derive(Clone, Debug)]
struct Host {
    address: SocketAddr,
    destination: u32,
    zone: Zone,
    ready: bool,
    failures: u32,
    open_until: Micros,
}

/// A connection for a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    pub(super) address: SocketAddr,
    pub(super) zone: Zone,
    pub(super) is_idle: bool,
}

#[derive(Debug)]
pub(super) struct Hosts {
    hosts: BTreeMap<u64, Host>,
    /// Of each destination: until when it is to be left alone, and whose turn it is.
    wait_until: BTreeMap<u32, Micros>,
    turns: BTreeMap<u32, usize>,
    /// Whose each connection is, and since when it has been idle, if it is.
    connections: BTreeMap<ConnectionId, (u64, Option<Micros>)>,
    last: u64,
    idle_close: Micros,
}

impl Hosts {
    pub(super) fn new(idle_close: Micros) -> Self {
        Hosts {
            hosts: BTreeMap::new(),
            wait_until: BTreeMap::new(),
            turns: BTreeMap::new(),
            connections: BTreeMap::new(),
            last: 0,
            idle_close,
        }
    }

    pub(super) fn has_list(&self) -> bool {
        !self.hosts.is_empty()
    }

    pub(super) fn list(&mut self, list: &List) {
        if list.all {
            self.hosts.values_mut().for_each(|host| host.ready = false);
        }
        for target in &list.targets {
            let host = self.hosts.entry(names::number(&target.uid)).or_insert_with(|| Host {
                address: target.endpoint,
                destination: target.pod_group,
                zone: names::number(&target.az) as Zone,
                ready: true,
                failures: 0,
                open_until: 0,
            });
            host.ready = target.state == State::Ready;
        }
    }

    /// The next host in turn that takes calls, in that zone where one is named.
    pub(super) fn choose(&mut self, destination: u32, zone: Option<Zone>, now: Micros) -> Option<u64> {
        if self.wait_until.get(&destination).is_some_and(|until| now < *until) {
            return None;
        }
        let fit = |host: &&Host| {
            let right = host.destination == destination && zone.is_none_or(|zone| zone == host.zone);
            right && host.ready && host.open_until <= now
        };
        let fit = self.hosts.iter().filter(|(_, host)| fit(host));
        let fit: Vec<u64> = fit.map(|(number, _)| *number).collect();
        let turn = self.turns.entry(destination).or_default();
        *turn += 1;
        fit.get(*turn % fit.len().max(1)).copied()
    }

    /// The connection to a host that was idle for the shortest time, or a new one.
    pub(super) fn connection(&mut self, number: u64, now: Micros) -> Option<(ConnectionId, Connection)> {
        let host = self.hosts.get(&number)?;
        let idle = self.connections.iter().filter_map(|(id, (of, since))| Some((*id, *of, (*since)?)));
        let usable = idle.filter(|(_, of, since)| *of == number && now < since + self.idle_close / 2);
        let found = usable.max_by_key(|(_, _, since)| *since).map(|(id, ..)| id);
        let id = found.unwrap_or_else(|| {
            self.last += 1;
            ConnectionId(self.last)
        });
        let (address, zone) = (host.address, host.zone);
        self.connections.insert(id, (number, None));
        Some((id, Connection { address, zone, is_idle: found.is_some() }))
    }

    pub(super) fn keep(&mut self, connection: ConnectionId, now: Micros) {
        if let Some((_, since)) = self.connections.get_mut(&connection) {
            *since = Some(now);
        }
    }

    pub(super) fn lost(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
    }

    pub(super) fn served(&mut self, number: u64) {
        if let Some(host) = self.hosts.get_mut(&number) {
            host.failures = 0;
        }
    }

    pub(super) fn failed(&mut self, number: u64, now: Micros) {
        if let Some(host) = self.hosts.get_mut(&number) {
            host.failures += 1;
            if host.failures >= OPENS_AT {
                (host.failures, host.open_until) = (OPENS_AT - 1, now + STAYS_OPEN);
            }
        }
    }

    /// The limit that a refusal is of is the destination's.
    pub(super) fn wait(&mut self, number: u64, until: Micros) {
        if let Some(host) = self.hosts.get(&number) {
            let wait = self.wait_until.entry(host.destination).or_default();
            *wait = until.max(*wait);
        }
    }
}
