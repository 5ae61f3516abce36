//! Failure detection: probes, indirect probes and suspicions.

use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::{NodeInfo, NodeName, Owner};

use crate::change::Effect;
use crate::machine::Membership;
use crate::message::{Body, Rumor};
use crate::table::Status;

/// Of all that hear of a suspicion, about so many probe the suspect themselves.
const SUSPECT_CHECKS: usize = 4;

/// The most probes for others that are remembered.
const MOST_RELAYED: usize = 256;

/// A probe that was not answered yet.
struct Probe {
    number: u32,
    target: Arc<NodeInfo>,
    /// When others are asked to probe; none once they were.
    ask_others_at: Option<Micros>,
    /// When the target becomes a suspect.
    deadline: Micros,
}

/// A probe on behalf of another member.
struct Relayed {
    number: u32,
    for_address: SocketAddr,
    for_number: u32,
    deadline: Micros,
}

/// Probes of this process.
pub(crate) struct Probing {
    next_number: u32,
    next_period: Micros,
    /// The live members in a random order, probed one after the other.
    order: Vec<NodeName>,
    open: Vec<Probe>,
    relayed: Vec<Relayed>,
}

impl Probing {
    pub(crate) fn new(first: Micros) -> Self {
        Probing {
            next_number: 0,
            next_period: first,
            order: Vec::new(),
            open: Vec::new(),
            relayed: Vec::new(),
        }
    }

    pub(crate) fn postpone(&mut self, by: Micros) {
        for probe in &mut self.open {
            probe.ask_others_at = probe.ask_others_at.map(|at| at + by);
            probe.deadline += by;
        }
    }

    pub(crate) fn next_wake(&self) -> Micros {
        let probes = self.open.iter().map(|probe| probe.ask_others_at.unwrap_or(probe.deadline));
        probes.min().unwrap_or(Micros::MAX).min(self.next_period)
    }

    fn number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }
}

impl Membership {
    /// Something suggests that a member is gone, such as a reset connection: it is probed at once.
    pub fn probe_now(&mut self, now: Micros, name: &NodeName) -> Vec<Effect> {
        let mut effects = Vec::new();
        let target =
            self.table.get(name).filter(|member| member.status.is_live()).map(|member| member.info.clone());
        if let Some(target) = target {
            self.start_probe(now, target, &mut effects);
            self.schedule_from(now, &mut effects);
        }
        effects
    }

    /// The port of a member refused a connection: its process has ended. It is dead soon unless it refutes.
    pub fn connection_refused(&mut self, now: Micros, owner: &Owner) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.is_alive(owner) && owner.name != self.own.info.name {
            let info = self.table.get(&owner.name).map(|member| member.info.clone());
            if let Some(info) = info {
                self.suspect(now, &info, &mut effects);
                self.start_probe(now, info, &mut effects);
            }
            let deadline = now + self.settings.refused_suspicion;
            if let Some(member) = self.table.get_mut(&owner.name) {
                member.deadline = member.deadline.min(deadline);
            }
            self.schedule_from(now, &mut effects);
        }
        effects
    }

    /// Starts the probe of each period, and acts on those that were not answered.
    pub(crate) fn probe(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.follow_up(now, effects);
        if now >= self.probing.next_period {
            self.probing.next_period = now + self.settings.probe_period;
            for _ in 0..self.settings.probes_per_period.min(self.table.live_count()) {
                if let Some(target) = self.next_target() {
                    self.start_probe(now, target, effects);
                }
            }
        }
        self.probing.relayed.retain(|relayed| relayed.deadline > now);
    }

    fn next_target(&mut self) -> Option<Arc<NodeInfo>> {
        for _ in 0..2 {
            while let Some(name) = self.probing.order.pop() {
                if let Some(member) = self.table.get(&name).filter(|member| member.status.is_live()) {
                    return Some(member.info.clone());
                }
            }
            let mut order: Vec<NodeName> = self.table.live().map(|member| member.info.name.clone()).collect();
            self.random.shuffle(&mut order);
            self.probing.order = order;
        }
        None
    }

    fn start_probe(&mut self, now: Micros, target: Arc<NodeInfo>, effects: &mut Vec<Effect>) {
        if self.probing.open.iter().any(|probe| probe.target.name == target.name) {
            return;
        }
        let number = self.probing.number();
        self.probing.open.push(Probe {
            number,
            target: target.clone(),
            ask_others_at: Some(now + self.settings.probe_timeout),
            deadline: now + self.settings.probe_period,
        });
        self.send_ping(number, &target.name, target.peer_address, effects);
    }

    /// Pings a member; one that is suspected or held dead is told so, and can refute it.
    fn send_ping(&mut self, number: u32, target: &NodeName, to: SocketAddr, effects: &mut Vec<Effect>) {
        let member = self.table.get(target).filter(|member| member.status != Status::Alive);
        let told = member.map(|member| member.rumor().write()).into_iter().collect();
        self.send_rumors(to, Body::Ping { number, target: target.clone() }, told, effects);
    }

    /// Asks others to probe after the timeout, and suspects at the deadline.
    fn follow_up(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let open = std::mem::take(&mut self.probing.open);
        for mut probe in open {
            if now >= probe.deadline {
                self.suspect(now, &probe.target, effects);
                continue;
            }
            if probe.ask_others_at.is_some_and(|at| now >= at) {
                probe.ask_others_at = None;
                self.ask_others(&probe, effects);
            }
            self.probing.open.push(probe);
        }
    }

    fn ask_others(&mut self, probe: &Probe, effects: &mut Vec<Effect>) {
        let (target, address) = (probe.target.name.clone(), probe.target.peer_address);
        for helper in self.random_members(self.settings.indirect_probes + 1) {
            if helper != address {
                let body = Body::PingRequest { number: probe.number, target: target.clone(), address };
                self.send(helper, body, effects);
            }
        }
        // The first datagram may have been lost.
        self.send_ping(probe.number, &target, address, effects);
    }

    fn suspect(&mut self, now: Micros, target: &NodeInfo, effects: &mut Vec<Effect>) {
        let Some(member) = self.table.get(&target.name) else { return };
        if member.status == Status::Alive && member.info.life == target.life {
            let rumor = Rumor { status: Status::Suspect, ..member.rumor() };
            self.rumor(now, rumor, true, effects);
        }
    }

    /// A few of those that hear of a suspicion look for themselves.
    pub(crate) fn check_suspect(&mut self, now: Micros, info: &Arc<NodeInfo>, effects: &mut Vec<Effect>) {
        if self.random.below(self.table.live_count()) < SUSPECT_CHECKS {
            self.start_probe(now, info.clone(), effects);
        }
    }

    /// Suspects that did not refute in time are dead.
    pub(crate) fn end_suspicions(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let suspects = std::mem::take(&mut self.suspects);
        for name in suspects {
            let Some(member) = self.table.get(&name) else { continue };
            if member.status != Status::Suspect {
                continue;
            }
            if member.deadline > now {
                self.suspects.push(name);
                continue;
            }
            let rumor = Rumor { status: Status::Dead, ..member.rumor() };
            self.rumor(now, rumor, true, effects);
        }
    }

    pub(crate) fn ping(
        &mut self, from: SocketAddr, number: u32, target: &NodeName, effects: &mut Vec<Effect>,
    ) {
        if *target == self.own.info.name && self.own.status == Status::Alive {
            self.send(from, Body::Ack { number }, effects);
        }
    }

    /// Pings the target for another member.
    pub(crate) fn ping_request(
        &mut self, now: Micros, asker: (SocketAddr, u32), target: NodeName, address: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        if self.probing.relayed.len() >= MOST_RELAYED {
            return;
        }
        let number = self.probing.number();
        let deadline = now + 2 * self.settings.probe_period;
        self.probing.relayed.push(Relayed { number, for_address: asker.0, for_number: asker.1, deadline });
        self.send_ping(number, &target, address, effects);
    }

    pub(crate) fn ack(&mut self, number: u32, effects: &mut Vec<Effect>) {
        self.probing.open.retain(|probe| probe.number != number);
        let relayed = self.probing.relayed.iter().position(|relayed| relayed.number == number);
        if let Some(position) = relayed {
            let relayed = self.probing.relayed.swap_remove(position);
            self.send(relayed.for_address, Body::Ack { number: relayed.for_number }, effects);
        }
    }
}
