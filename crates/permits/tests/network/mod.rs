//! Relays with the real permits on a simulated network with loss, delay, duplication, partitions, stalls, crashes and joins.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;
use std::sync::Arc;

use pewterseam_permits::ranking::Ranking;
use pewterseam_permits::{Permit, PermitEffect, PermitMessage, Permits, Settings};
use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// Time step of the simulation.
const STEP: Micros = 10 * MILLISECOND;
/// Relays learn of changes in the live relays within `VIEW_LAG`. `CORE_LEASE` is the default duration of a core lease.
pub const VIEW_LAG: Micros = SECOND;
pub const CORE_LEASE: Micros = 2 * SECOND;
const SERVICE: &str = "limited";

/// Pseudo-random numbers from a seed (splitmix64).
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (value ^ (value >> 31)) % bound.max(1)
    }

    pub fn chance(&mut self, part: f64) -> bool {
        (self.below(1_000_000) as f64) < part * 1e6
    }
}

/// Faults, as probabilities per relay and second, or per message.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub lost: f64,
    pub duplicated: f64,
    pub partitioned: f64,
    pub stalled: f64,
    pub killed: f64,
    /// Shut down cleanly: the relay hands over its grants before it ends.
    pub stopped: f64,
    /// Duration of a core lease.
    pub core_lease: Micros,
    /// New homes wait for this fraction of the time for which a partitioned relay may hold its core lease. Less than one
    /// is a planted fault.
    pub lease_wait_factor: f64,
    /// The core agrees on the relays that may be homes: all of them, from the start.
    pub homes_are_agreed: bool,
    /// The agreed list of each relay contains only itself: a planted fault.
    pub omits_others_from_list: bool,
    /// Probability per second that all relays lose power at the same time.
    pub power_loss: f64,
    /// Probability per second of an outage of all hosts, during which permits are granted but cannot be used.
    pub host_outage: f64,
    /// A partitioned relay continues to send without permits: a planted fault.
    pub keeps_sending: bool,
}

pub const NO_FAULTS: Faults = Faults {
    lost: 0.0,
    duplicated: 0.0,
    partitioned: 0.0,
    stalled: 0.0,
    killed: 0.0,
    stopped: 0.0,
    core_lease: CORE_LEASE,
    lease_wait_factor: 1.0,
    homes_are_agreed: false,
    omits_others_from_list: false,
    power_loss: 0.0,
    host_outage: 0.0,
    keeps_sending: false,
};

struct Relay {
    name: NodeName,
    permits: Permits,
    /// Number of waiting messages.
    waiting: u32,
    in_use: VecDeque<(Permit, Micros)>,
    inbox: VecDeque<(NodeName, PermitMessage)>,
    partitioned_until: Micros,
    /// The relay reaches no host until this time.
    no_hosts_until: Micros,
    stalled_until: Micros,
    /// The time at which the relay starts again.
    up_at: Micros,
    viewed_at: Micros,
    is_up: bool,
    life: u64,
    /// Times of the latest requests.
    sent: VecDeque<Micros>,
}

pub struct Network {
    pub now: Micros,
    random: Random,
    relays: Vec<Relay>,
    in_transit: BTreeMap<(Micros, u64), (usize, usize, PermitMessage)>,
    last_message: u64,
    pub rate: f64,
    pub window: Micros,
    pub overshoot: f64,
    /// Times of all requests sent, in order.
    pub sent: Vec<Micros>,
    /// Total waiting time of all messages.
    pub waited: Micros,
    arrivals_per_s: f64,
    faults: Faults,
    /// Additional messages per second that arrive at the first relay only.
    pub greedy_per_s: f64,
}

fn permits(name: &NodeName, life: u64, bounds: (Micros, f64), bootstrap: bool, faults: &Faults) -> Permits {
    let (me, (window, overshoot)) = (name.clone(), bounds);
    let core_lease = (faults.core_lease as f64 * faults.lease_wait_factor) as Micros;
    Permits::new(Settings {
        me,
        life,
        window,
        overshoot,
        bootstrap,
        core_lease,
        homes_are_agreed: faults.homes_are_agreed,
    })
}

impl Network {
    pub fn new(seed: u64, count: usize, rate: f64, arrivals_per_s: f64, faults: Faults) -> Self {
        let (window, overshoot) = (5 * SECOND, 1.1);
        let names: Vec<_> = (0..count).map(|number| NodeName::new(&format!("relay-{number}"))).collect();
        let relay = |name: &NodeName| Relay {
            name: name.clone(),
            permits: permits(name, 1, (window, overshoot), true, &faults),
            waiting: 0,
            in_use: VecDeque::new(),
            inbox: VecDeque::new(),
            partitioned_until: 0,
            no_hosts_until: 0,
            stalled_until: 0,
            up_at: 0,
            viewed_at: 0,
            is_up: true,
            life: 1,
            sent: VecDeque::new(),
        };
        let relays = names.iter().map(relay).collect();
        let mut network = Network {
            now: SECOND,
            random: Random(seed),
            relays,
            in_transit: BTreeMap::new(),
            last_message: 0,
            rate,
            window,
            overshoot,
            sent: Vec::new(),
            waited: 0,
            arrivals_per_s,
            faults,
            greedy_per_s: 0.0,
        };
        for index in 0..count {
            network.relays[index].permits.set_relays(SECOND, &names);
            network.configure(index);
        }
        network
    }

    /// Kills all relays at the same time. They start again within 200 ms of one another.
    pub fn kill_all(&mut self, down_for: Micros) {
        for index in 0..self.relays.len() {
            let late = self.random.below(200 * MILLISECOND);
            self.kill(index, self.now + down_for + late);
        }
    }

    fn configure(&mut self, index: usize) {
        let services = [(Arc::from(SERVICE), self.rate)];
        let is_listed = |other: &usize| *other == index || !self.faults.omits_others_from_list;
        let listed = (0..self.relays.len()).filter(is_listed);
        let names: Vec<_> = listed.map(|other| self.relays[other].name.clone()).collect();
        self.relays[index].permits.set_agreed_homes(self.now, &names);
        self.relays[index].permits.set_services(self.now, services);
        self.relays[index].permits.set_core_lease(self.now, self.now + self.faults.core_lease);
    }

    /// Runs for a span of time.
    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            self.inject_faults();
            self.deliver();
            self.add_arrivals();
            self.add_greedy_arrivals();
            for index in 0..self.relays.len() {
                self.update_view(index);
                self.act(index);
            }
        }
    }

    fn inject_faults(&mut self) {
        let part = STEP as f64 / SECOND as f64;
        let Faults { partitioned, stalled, killed, stopped, .. } = self.faults;
        if self.faults.power_loss > 0.0 && self.random.chance(self.faults.power_loss * part) {
            self.kill_all(SECOND);
        }
        if self.faults.host_outage > 0.0 && self.random.chance(self.faults.host_outage * part) {
            let span = SECOND + self.random.below(8 * SECOND);
            self.block_hosts(0..self.relays.len(), self.now + span);
        }
        for index in 0..self.relays.len() {
            let span = 200 * MILLISECOND + self.random.below(6 * SECOND);
            let relay = &mut self.relays[index];
            if self.random.chance(partitioned * part) {
                relay.partitioned_until = self.now + span;
            }
            if self.random.chance(stalled * part) {
                relay.stalled_until = self.now + span;
            }
            if relay.is_up && self.random.chance(killed * part) {
                self.kill(index, self.now + span / 4);
            }
            if stopped > 0.0 && self.relays[index].is_up && self.random.chance(stopped * part) {
                self.stop(index, self.now + span / 4);
            }
            let relay = &mut self.relays[index];
            if !relay.is_up && relay.up_at <= self.now {
                (relay.is_up, relay.viewed_at) = (true, 0);
                let bounds = (self.window, self.overshoot);
                relay.permits = permits(&relay.name, relay.life, bounds, false, &self.faults);
                self.configure(index);
            }
        }
    }

    /// Prevents these relays from reaching any host until a later time.
    pub fn block_hosts(&mut self, relays: Range<usize>, until: Micros) {
        for relay in &mut self.relays[relays] {
            relay.no_hosts_until = relay.no_hosts_until.max(until);
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_partitioned = |index: usize| self.relays[index].partitioned_until > self.now;
        from == to || !(is_partitioned(from) || is_partitioned(to))
    }

    /// Updates a relay's list of live relays, which lags by up to [`VIEW_LAG`], and renews its core lease at the same time.
    fn update_view(&mut self, index: usize) {
        let relay = &self.relays[index];
        if !relay.is_up || relay.stalled_until > self.now {
            return;
        }
        if self.random.chance(STEP as f64 / VIEW_LAG as f64 * 4.0) || relay.viewed_at + VIEW_LAG <= self.now {
            let alive = |other: &usize| {
                let other_relay = &self.relays[*other];
                *other == index
                    || (other_relay.is_up
                        && other_relay.stalled_until <= self.now
                        && self.reaches(index, *other))
            };
            let names: Vec<_> =
                (0..self.relays.len()).filter(alive).map(|other| self.relays[other].name.clone()).collect();
            let has_core = names.len() * 2 > self.relays.len();
            let now = self.now;
            let relay = &mut self.relays[index];
            relay.viewed_at = now;
            relay.permits.set_relays(now, &names);
            if has_core {
                relay.permits.set_core_lease(now, now + self.faults.core_lease);
            }
        }
    }

    fn add_arrivals(&mut self) {
        let each = self.arrivals_per_s * STEP as f64 / SECOND as f64;
        let count = each as u64 + u64::from(self.random.chance(each.fract()));
        for _ in 0..count {
            let index = self.random.below(self.relays.len() as u64) as usize;
            self.relays[index].waiting += u32::from(self.relays[index].is_up);
        }
    }

    fn add_greedy_arrivals(&mut self) {
        let each = self.greedy_per_s * STEP as f64 / SECOND as f64;
        self.relays[0].waiting += each as u32 + u32::from(self.random.chance(each.fract()));
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_transit.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (from, to, message) = entry.remove();
            if self.reaches(from, to) && self.relays[to].is_up {
                let name = self.relays[from].name.clone();
                self.relays[to].inbox.push_back((name, message));
            }
        }
    }

    fn act(&mut self, index: usize) {
        let now = self.now;
        let relay = &mut self.relays[index];
        if !relay.is_up || relay.stalled_until > now {
            return;
        }
        while let Some((from, message)) = relay.inbox.pop_front() {
            relay.permits.receive(now, &from, message);
        }
        relay.permits.set_demand(SERVICE, relay.waiting as usize);
        let effects = relay.permits.step(now);
        self.waited += STEP * u64::from(relay.waiting);
        while relay.waiting > 0
            && now >= relay.no_hosts_until
            && let Some(permit) = relay.permits.take(now, SERVICE)
        {
            relay.waiting -= 1;
            // A new connection may have to be opened first.
            let opens_at =
                now + [0, 0, 0, 300 * MILLISECOND, 1_200 * MILLISECOND][self.random.below(5) as usize];
            relay.in_use.push_back((permit, opens_at));
        }
        for _ in 0..relay.in_use.len() {
            let Some((permit, opens_at)) = relay.in_use.pop_front() else { break };
            if opens_at > now {
                relay.in_use.push_back((permit, opens_at));
            } else if now < permit.expires_at {
                relay.permits.record_sent(now, SERVICE, permit);
                relay.sent.push_back(now);
                self.sent.push(now);
            } else {
                relay.permits.return_permit(SERVICE, permit);
                relay.waiting += 1;
            }
        }
        relay.sent.retain(|at| *at + 2 * SECOND > now);
        let is_partitioned = relay.partitioned_until > now;
        if self.faults.keeps_sending && is_partitioned && relay.waiting > 0 {
            relay.waiting -= 1;
            self.sent.push(now);
        }
        for PermitEffect::Send { to, message } in effects {
            self.send(index, &to, message);
        }
    }

    fn send(&mut self, from: usize, to: &NodeName, message: PermitMessage) {
        let Some(to) = self.relays.iter().position(|relay| relay.name == *to) else { return };
        let copies = if self.random.chance(self.faults.lost) {
            0
        } else {
            1 + u32::from(self.random.chance(self.faults.duplicated))
        };
        for _ in 0..copies {
            let slow = if self.random.chance(self.faults.lost) { SECOND } else { 30 * MILLISECOND };
            let at = self.now + MILLISECOND + self.random.below(slow);
            self.last_message += 1;
            self.in_transit.insert((at, self.last_message), (from, to, message.clone()));
        }
    }

    /// Kills a relay's process, which starts again at a later time.
    pub fn kill(&mut self, index: usize, until: Micros) {
        let relay = &mut self.relays[index];
        (relay.is_up, relay.up_at, relay.waiting, relay.life) = (false, until, 0, relay.life + 1);
        relay.in_use.clear();
        relay.inbox.clear();
    }

    /// Shuts a relay's process down cleanly. It starts again at a later time.
    pub fn stop(&mut self, index: usize, until: Micros) {
        let now = self.now;
        if self.relays[index].stalled_until <= now {
            self.relays[index].permits.hand_over(now);
            for PermitEffect::Send { to, message } in self.relays[index].permits.step(now) {
                self.send(index, &to, message);
            }
        }
        self.kill(index, until);
    }

    /// The relay that is the home while all relays are live.
    pub fn home(&self) -> usize {
        let name = Ranking::of(SERVICE).first(self.relays.iter().map(|relay| &relay.name)).expect("a relay");
        self.relays.iter().position(|relay| relay.name == *name).expect("it is one of them")
    }

    /// The longest time without a request since `since`.
    pub fn longest_gap(&self, since: Micros) -> Micros {
        let times = self.sent.iter().copied().filter(|at| *at >= since);
        let times: Vec<_> = [since].into_iter().chain(times).chain([self.now]).collect();
        times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0)
    }

    /// The maximum number of requests in any window, and the allowed number.
    pub fn worst_window(&self) -> (usize, f64) {
        let allowed = self.rate * self.window as f64 / 1e6 * self.overshoot + 5.0;
        let mut first = 0;
        let mut max_requests = 0;
        for (last, at) in self.sent.iter().enumerate() {
            while self.sent[first] + self.window < *at {
                first += 1;
            }
            max_requests = max_requests.max(last + 1 - first);
        }
        (max_requests, allowed)
    }

    /// Messages waiting at all relays except the first.
    pub fn waiting_at_others(&self) -> u32 {
        self.relays[1..].iter().map(|relay| relay.waiting).sum()
    }

    pub fn waiting(&self) -> u32 {
        self.relays.iter().map(|relay| relay.waiting).sum()
    }
}
