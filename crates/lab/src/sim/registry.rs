//! Discovery: the list of hosts by version, and what each relay's agent has of it.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use pewterseam::interface::Micros;
use pewterseam_node::list::{List, State, Target};

use crate::story::HostNumber;

use super::deployment::KIND;

/// The port at which hosts would listen.
const PORT: u16 = 8081;

/// A host's address, from which its number can be read back.
pub(super) fn address(host: HostNumber) -> SocketAddr {
    let [_, a, b, c] = host.to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a, b, c)), PORT)
}

pub(super) fn host_at(address: SocketAddr) -> Option<HostNumber> {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, a, b, c] = ip.octets();
            Some(u32::from_be_bytes([0, a, b, c]))
        }
        IpAddr::V6(_) => None,
    }
}

/// A host's name in the list.
pub(super) fn name(host: HostNumber) -> String {
    format!("s-{host:08x}")
}

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    /// Each state that it was in, and the version that brought it.
    states: Vec<(u64, State)>,
}

impl Entry {
    /// What an agent of that version has of it.
    fn at(&self, rev: u64) -> Option<(u64, State)> {
        self.states.iter().rev().find(|(since, _)| *since <= rev).copied()
    }
}

#[derive(Debug, Default)]
pub(super) struct Registry {
    pub(super) rev: u64,
    entries: BTreeMap<HostNumber, Entry>,
    /// Faults by which it keeps silent, or turns questions away, by place.
    pub(super) silent: Vec<usize>,
    pub(super) turning_away: Vec<usize>,
}

impl Registry {
    pub(super) fn is_down(&self) -> bool {
        !self.silent.is_empty() || !self.turning_away.is_empty()
    }

    pub(super) fn add(&mut self, host: HostNumber, zone: &str, destination: u32, hint: f64) {
        self.rev += 1;
        let target = Target {
            uid: name(host),
            endpoint: address(host),
            az: zone.to_owned(),
            model: KIND.to_owned(),
            pod_group: destination,
            state: State::Ready,
            capacity_hint: hint,
        };
        self.entries.insert(host, Entry { target, states: vec![(self.rev, State::Ready)] });
    }

    pub(super) fn change(&mut self, host: HostNumber, state: State) {
        if let Some(entry) = self.entries.get_mut(&host) {
            self.rev += 1;
            entry.states.push((self.rev, state));
        }
    }

    /// Hosts whose state changed after `rev` and up to `to`.
    pub(super) fn changed(&self, rev: u64, to: u64) -> Vec<(HostNumber, State)> {
        let states = self.entries.iter().filter_map(|(host, entry)| Some((*host, entry.at(to)?)));
        states.filter(|(_, (since, _))| *since > rev).map(|(host, (_, state))| (host, state)).collect()
    }

    /// What an agent that has version `has` answers to who knows `known`: the changes, or the whole list to
    /// who knows none.
    pub(super) fn list(&self, has: u64, known: Option<u64>) -> List {
        let states = self.entries.values().filter_map(|entry| Some((entry, entry.at(has)?)));
        let wanted = |since: u64, state: State| match known {
            Some(rev) => since > rev,
            None => state != State::Gone,
        };
        let wanted = states.filter(|(_, (since, state))| wanted(*since, *state));
        let targets = wanted.map(|(entry, (_, state))| Target { state, ..entry.target.clone() }).collect();
        List { rev: has, all: known.is_none(), targets }
    }
}

/// A relay's way of following the list.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Follow {
    /// The question that is out, by its number.
    pub(super) asked: u64,
    pub(super) open: bool,
    pub(super) known: Option<u64>,
    /// How long its answers may take beyond a wait that was asked for.
    pub(super) patience: Micros,
    /// It was asked for once before.
    pub(super) again: bool,
    /// When the question fell silent that is out, and when its wait is over.
    pub(super) silent_since: Option<Micros>,
    pub(super) waits_until: Micros,
    /// The last question was turned away then.
    pub(super) turned_away_at: Option<Micros>,
}
