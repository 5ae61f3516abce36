//! Simulated hosts: what they run, and how they answer.

use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_delivery::{Answer, AttemptResult, Instance, Target};
use pewterseam_wire::Micros;
use pewterseam_wire::placement::hash;
use pewterseam_wire::random::Random;

use crate::calls::CallKey;
use crate::configuration::{LIMITED, ORDERED, PLAIN, RATE_PER_S, TIMEOUT_MS, limited_address};
use crate::plan::{MILLISECOND, SECOND};

/// The answer to a request for another instance.
const OTHER_INSTANCE: u16 = 421;
const SLOTS: u32 = 6;
const QUEUED: usize = 2;
const HOSTS_OF_A_SERVICE: u16 = 3;
/// Ports are few, so that those of hosts that are gone are used again.
const FIRST_PORT: u16 = 9_000;
const PORTS: usize = 8;
/// Out of a thousand messages.
const ALWAYS_REFUSED: u64 = 30;
const ALWAYS_FAILING: u64 = 60;

/// A message that a host works on.
pub struct Run {
    pub host: usize,
    pub call: CallKey,
    pub request_id: Arc<str>,
    pub status: u16,
    pub is_answer_lost: bool,
}

/// One host in one incarnation.
pub struct Host {
    pub address: SocketAddr,
    /// None for a static endpoint.
    pub instance: Option<Arc<str>>,
    pub service: &'static str,
    pub is_ready: bool,
    /// Since when the list shows it as draining.
    pub draining_since: Option<Micros>,
    pub is_up: bool,
    /// It turns away, resets and loses much until then.
    pub troubled_until: Micros,
    pub running: usize,
    arrivals: Vec<Micros>,
}

impl Host {
    fn drain(&mut self, now: Micros) {
        self.is_ready = false;
        self.draining_since.get_or_insert(now);
    }
}

/// What a host does with a request.
pub enum Reaction {
    Answers { status: u16, not_executed: bool },
    Resets,
    Runs { status: u16, took: Micros, is_answer_lost: bool },
}

/// The hosts of all services.
pub struct Hosts {
    pub all: Vec<Host>,
    random: Random,
    last_instance: u64,
}

impl Hosts {
    pub fn new(seed: u64) -> Self {
        let mut hosts = Hosts { all: Vec::new(), random: Random::new(seed), last_instance: 0 };
        for _ in 0..HOSTS_OF_A_SERVICE {
            hosts.begin(PLAIN);
            hosts.begin(ORDERED);
        }
        hosts.all.push(Host {
            address: limited_address(),
            instance: None,
            service: LIMITED,
            is_ready: true,
            draining_since: None,
            is_up: true,
            troubled_until: 0,
            running: 0,
            arrivals: Vec::new(),
        });
        hosts
    }

    /// A new incarnation begins, perhaps at the address of a former one.
    fn begin(&mut self, service: &'static str) {
        let ports: Vec<u16> = (0..PORTS as u16).map(|port| FIRST_PORT + port).collect();
        let in_use = |port: &u16| self.all.iter().any(|host| host.is_up && host.address.port() == *port);
        let free: Vec<u16> = ports.into_iter().filter(|port| !in_use(port)).collect();
        let Some(port) = free.get(self.random.below(free.len())) else { return };
        self.last_instance += 1;
        self.all.push(Host {
            address: SocketAddr::from(([127, 0, 0, 2], *port)),
            instance: Some(Arc::from(format!("i-{}", self.last_instance))),
            service,
            is_ready: true,
            draining_since: None,
            is_up: true,
            troubled_until: 0,
            running: 0,
            arrivals: Vec::new(),
        });
    }

    /// All hosts of a service that stand on the list end.
    pub fn end_all(&mut self, service: &str) {
        let listed = self.all.iter_mut().filter(|host| host.instance.is_some() && host.service == service);
        listed.for_each(|host| host.is_up = false);
    }

    /// New hosts of a service begin, as many as at first.
    pub fn begin_all(&mut self, service: &'static str) {
        (0..HOSTS_OF_A_SERVICE).for_each(|_| self.begin(service));
    }

    /// Something changes: a host ends or begins, drains, or is in trouble for a while.
    pub fn change(&mut self, now: Micros) {
        let listed: Vec<usize> =
            (0..self.all.len()).filter(|index| self.all[*index].instance.is_some()).collect();
        let index = listed[self.random.below(listed.len())];
        let service = self.all[index].service;
        let (ready, host) = (self.ready_hosts(service), &mut self.all[index]);
        match self.random.below(4) {
            0 if host.is_up && ready > 1 => host.drain(now),
            1 if host.is_up && (ready > 1 || !host.is_ready) => host.is_up = false,
            2 => self.begin(service),
            _ => {
                let span = self.random.below(2_000) as Micros * MILLISECOND;
                let index = self.random.below(self.all.len());
                self.all[index].troubled_until = now + span;
            }
        }
    }

    fn ready_hosts(&self, service: &str) -> usize {
        self.all.iter().filter(|host| host.service == service && host.is_up && host.is_ready).count()
    }

    /// The platform's list.
    pub fn list(&self) -> Vec<Instance> {
        let listed = self.all.iter().filter(|host| host.is_up);
        let line = |host: &Host| {
            Some(Instance {
                id: host.instance.clone()?,
                service: Arc::from(host.service),
                address: host.address,
                zone: Arc::from("zone-0"),
                slots: SLOTS,
                ready: host.is_ready,
                cold_remaining_ms: 0,
            })
        };
        listed.filter_map(line).collect()
    }

    /// The host that listens at an address.
    pub fn at(&self, address: SocketAddr) -> Option<usize> {
        self.all.iter().position(|host| host.is_up && host.address == address)
    }

    /// Whether a reaction turns a request away as one for another instance.
    pub fn is_for_another(reaction: &Reaction) -> bool {
        matches!(reaction, Reaction::Answers { status: OTHER_INSTANCE, .. })
    }

    pub fn is_healthy(&self, target: &Target) -> bool {
        self.at(target.address)
            .is_some_and(|index| target.instance.is_none() || self.all[index].instance == target.instance)
    }

    /// A request arrives.
    pub fn react(&mut self, now: Micros, index: usize, target: &Target, request_id: &str) -> Reaction {
        let random = &mut self.random;
        let host = &mut self.all[index];
        let turned_away = |status| Reaction::Answers { status, not_executed: true };
        if target.instance.is_some() && target.instance != host.instance {
            return turned_away(OTHER_INSTANCE);
        }
        if host.service == LIMITED {
            host.arrivals.retain(|at| *at + SECOND > now);
            host.arrivals.push(now);
            if host.arrivals.len() > RATE_PER_S as usize {
                return turned_away(429);
            }
        }
        if host.running >= SLOTS as usize + QUEUED {
            return turned_away(503);
        }
        let trouble = if now < host.troubled_until { 10 } else { 1 };
        match random.below(1_000) {
            draw if draw < 15 * trouble => return turned_away(503),
            draw if draw < 25 * trouble => return Reaction::Resets,
            _ => {}
        }
        let fate = hash(request_id.as_bytes(), 1) % 1_000;
        let status = match fate {
            fate if fate < ALWAYS_REFUSED => 422,
            fate if fate < ALWAYS_FAILING => 500,
            _ if random.below(1_000) < 40 * trouble => 500,
            _ => 200,
        };
        let usual = 3 + random.below(120) as Micros;
        let is_long = random.below(40) == 0;
        let took = if is_long { 300 + random.below(500) as Micros } else { usual } * MILLISECOND;
        let is_answer_lost = random.below(1_000) < 20 * trouble || took > TIMEOUT_MS * MILLISECOND;
        Reaction::Runs { status, took, is_answer_lost }
    }

    /// One that works on a message drops it as its connection closes, more often than not.
    pub fn drops_work(&mut self) -> bool {
        self.random.below(3) > 0
    }
}

/// A host's answer as the caller reads it.
pub fn answer(status: u16, not_executed: bool, signature: Option<Arc<str>>) -> AttemptResult {
    AttemptResult::Answered(Answer { status, not_executed, signature, retry_after: None })
}
