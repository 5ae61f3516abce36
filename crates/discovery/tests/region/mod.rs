//! The relays of a region with the real machine, and a simulated platform.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_discovery::{
    CallFailure, CallId, Discovery, DiscoverySettings, Effect, Input, ListedInstance, Page,
};
use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// Between relays, and to the platform.
const WAY: Micros = 5 * MILLISECOND;

pub struct Platform {
    pub instances: Vec<ListedInstance>,
    pub page_size: usize,
    pub rate_per_s: usize,
    /// It says nothing.
    pub is_down: bool,
    /// Changes the list between two pages of a read, this often.
    pub changes_between_pages: bool,
    pub calls: Vec<Micros>,
    pub refused: usize,
}

pub struct Relay {
    pub name: NodeName,
    pub machine: Discovery,
    pub is_up: bool,
    /// No word goes to it or comes from it; the platform is in reach.
    pub is_cut: bool,
    pub changes: usize,
    /// When it first saw this entry in this state.
    pub seen: BTreeMap<(Arc<str>, bool), Micros>,
    wake_at: Micros,
}

enum Happening {
    Input(usize, Input),
    Wake(usize),
}

pub struct Region {
    pub now: Micros,
    pub relays: Vec<Relay>,
    pub platform: Platform,
    /// Each message is lost with this chance, in percent.
    pub lost: u64,
    pub told: usize,
    pub told_bytes: usize,
    agenda: BTreeMap<(Micros, u64), Happening>,
    last: u64,
    random: u64,
}

pub fn listed(number: usize, ready: bool) -> ListedInstance {
    ListedInstance {
        id: Arc::from(format!("i-{number}")),
        service: Arc::from("mail"),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + number as u16)),
        zone: Arc::from("a"),
        slots: 4,
        ready,
        cold_remaining_ms: 0,
    }
}

impl Region {
    pub fn new(count: usize, seed: u64, instances: usize, page_size: usize) -> Self {
        let names: Vec<_> = (0..count).map(|number| NodeName::new(&format!("relay-{number}"))).collect();
        let relay = |(number, name): (usize, &NodeName)| Relay {
            name: name.clone(),
            machine: Discovery::new(DiscoverySettings {
                me: name.clone(),
                life: 1,
                seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
                    ^ (number as u64 + 1).wrapping_mul(0xbf58_476d_1ce4_e5b9),
                rate_per_s: 47.0,
            }),
            is_up: true,
            is_cut: false,
            changes: 0,
            seen: BTreeMap::new(),
            wake_at: 0,
        };
        let platform = Platform {
            instances: (0..instances).map(|number| listed(number, true)).collect(),
            page_size,
            rate_per_s: 47,
            is_down: false,
            changes_between_pages: false,
            calls: Vec::new(),
            refused: 0,
        };
        let relays = names.iter().enumerate().map(relay).collect();
        let mut region = Region {
            now: SECOND,
            relays,
            platform,
            lost: 0,
            told: 0,
            told_bytes: 0,
            agenda: BTreeMap::new(),
            last: 0,
            random: seed | 1,
        };
        region.tell_relays();
        region
    }

    /// Tells every relay which are up.
    pub fn tell_relays(&mut self) {
        let up: Vec<_> =
            self.relays.iter().filter(|relay| relay.is_up).map(|relay| relay.name.clone()).collect();
        for relay in 0..self.relays.len() {
            self.input(relay, Input::Relays(up.clone()));
        }
    }

    fn at(&mut self, at: Micros, happening: Happening) {
        self.last += 1;
        self.agenda.insert((at, self.last), happening);
    }

    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(entry) = self.agenda.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), happening) = entry.remove_entry();
            self.now = at;
            match happening {
                Happening::Input(relay, input) => self.input(relay, input),
                Happening::Wake(relay) if self.relays[relay].wake_at == at => self.input(relay, Input::Tick),
                Happening::Wake(_) => {}
            }
        }
        self.now = until;
    }

    fn input(&mut self, relay: usize, input: Input) {
        let of = &mut self.relays[relay];
        if !of.is_up || (of.is_cut && matches!(input, Input::Peer { .. })) {
            return;
        }
        for effect in of.machine.step(self.now, input) {
            self.carry_out(relay, effect);
        }
    }

    fn carry_out(&mut self, relay: usize, effect: Effect) {
        match effect {
            Effect::RequestPage { call, page_token } => self.ask(relay, call, page_token.as_deref()),
            Effect::SendToRelay { to, bytes } => {
                self.told += 1;
                self.told_bytes += bytes.len();
                self.random ^= self.random << 13;
                self.random ^= self.random >> 7;
                self.random ^= self.random << 17;
                let is_lost = self.random % 100 < self.lost || self.relays[relay].is_cut;
                let from = self.relays[relay].name.clone();
                let to = self.relays.iter().position(|relay| relay.name == to).filter(|_| !is_lost);
                if let Some(to) = to {
                    self.at(self.now + WAY, Happening::Input(to, Input::Peer { from, bytes }));
                }
            }
            Effect::Changed(list) => {
                let of = &mut self.relays[relay];
                of.changes += 1;
                for instance in list.instances() {
                    of.seen.entry((instance.id.clone(), instance.ready)).or_insert(self.now);
                }
            }
            Effect::Wake(at) => {
                assert!(at > self.now, "a wake in the past");
                self.relays[relay].wake_at = at;
                self.at(at, Happening::Wake(relay));
            }
        }
    }

    fn ask(&mut self, relay: usize, call: CallId, token: Option<&str>) {
        let platform = &mut self.platform;
        platform.calls.push(self.now);
        if platform.is_down {
            return;
        }
        let last_second = platform.calls.iter().rev().take_while(|at| **at + SECOND > self.now).count();
        let answer = if last_second > platform.rate_per_s {
            platform.refused += 1;
            Input::CallFailed { call, failure: CallFailure::Refused }
        } else {
            let first: usize = token.and_then(|token| token.parse().ok()).unwrap_or(0);
            if first > 0 && platform.changes_between_pages {
                platform.instances.rotate_left(1);
            }
            let end = (first + platform.page_size).min(platform.instances.len());
            let instances = platform.instances[first.min(end)..end].to_vec();
            let is_last = end >= platform.instances.len();
            let next_token = (!is_last).then(|| Arc::from(end.to_string()));
            Input::PageReceived { call, page: Page { instances, next_token } }
        };
        self.at(self.now + 2 * WAY, Happening::Input(relay, answer));
    }

    /// The most calls in any second.
    pub fn most_calls(&self) -> usize {
        let (mut recent, mut most) = (VecDeque::new(), 0);
        for at in &self.platform.calls {
            recent.push_back(*at);
            while recent.front().is_some_and(|first| *first + SECOND <= *at) {
                recent.pop_front();
            }
            most = most.max(recent.len());
        }
        most
    }

    /// How many entries each relay has, for those that are up.
    pub fn sizes(&self) -> BTreeSet<Option<usize>> {
        let up = self.relays.iter().filter(|relay| relay.is_up);
        up.map(|relay| relay.machine.list().map(|list| list.len())).collect()
    }

    /// The relay that made calls while all was calm.
    pub fn reader(&self) -> usize {
        let reads = |relay: &Relay| relay.machine.is_reader();
        self.relays.iter().position(reads).unwrap_or(0)
    }
}
