//! Failure detection: probes, indirect probes and suspicions.

use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::{NodeInfo, NodeName, Owner};

use crate::change::Effect;
use crate::machine::Membership;
use crate::message::{Body, Rumor};
use crate::table::Status;

/// Expected number of members that probe a suspect themselves when they learn of the suspicion.
const SUSPECT_CHECKS: usize = 4;

/// Maximum number of pending probes on behalf of other members.
const MAX_RELAYED_PROBES: usize = 256;

/// A pending probe.
struct Probe {
    number: u32,
    target: Arc<NodeInfo>,
    /// When other members are asked to probe the target; `None` once they were asked.
    ask_others_at: Option<Micros>,
    /// When the target is suspected.
    deadline: Micros,
}

/// A pending probe on behalf of another member.
struct RelayedProbe {
    number: u32,
    for_address: SocketAddr,
    for_number: u32,
    deadline: Micros,
}

/// State of the probes that this process sends.
pub(crate) struct Probing {
    next_number: u32,
    next_period: Micros,
    /// Live members in random order, probed one after the other.
    order: Vec<NodeName>,
    open: Vec<Probe>,
    relayed: Vec<RelayedProbe>,
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

    pub(crate) fn postpone_deadlines(&mut self, by: Micros) {
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
    /// Probes a member at once, because something suggests that it is gone, such as a reset connection.
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

    /// The port of a member refused a connection, so its process has probably ended: suspects the member with a
    /// short deadline, within which it can refute.
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

    /// Starts the probes of each period, and handles the probes that were not answered.
    pub(crate) fn probe(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.check_open_probes(now, effects);
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

    /// Pings a member. If the member is suspected or considered dead here, the ping contains that rumor, so that the
    /// member can refute it.
    fn send_ping(&mut self, number: u32, target: &NodeName, to: SocketAddr, effects: &mut Vec<Effect>) {
        let member = self.table.get(target).filter(|member| member.status != Status::Alive);
        let refutable = member.map(|member| member.rumor().write()).into_iter().collect();
        self.send_rumors(to, Body::Ping { number, target: target.clone() }, refutable, effects);
    }

    /// Asks other members to probe the target after the timeout, and suspects the target at the deadline.
    fn check_open_probes(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let open = std::mem::take(&mut self.probing.open);
        for mut probe in open {
            if now >= probe.deadline {
                self.suspect(now, &probe.target, effects);
                continue;
            }
            if probe.ask_others_at.is_some_and(|at| now >= at) {
                probe.ask_others_at = None;
                self.request_indirect_probes(&probe, effects);
            }
            self.probing.open.push(probe);
        }
    }

    fn request_indirect_probes(&mut self, probe: &Probe, effects: &mut Vec<Effect>) {
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
            self.merge_rumor(now, rumor, true, effects);
        }
    }

    /// Probes a suspect with a probability such that about `SUSPECT_CHECKS` of all members probe it.
    pub(crate) fn check_suspect(&mut self, now: Micros, info: &Arc<NodeInfo>, effects: &mut Vec<Effect>) {
        if self.random.below(self.table.live_count()) < SUSPECT_CHECKS {
            self.start_probe(now, info.clone(), effects);
        }
    }

    /// Declares the suspects dead that did not refute in time.
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
            self.merge_rumor(now, rumor, true, effects);
        }
    }

    pub(crate) fn ping(
        &mut self, from: SocketAddr, number: u32, target: &NodeName, effects: &mut Vec<Effect>,
    ) {
        if *target == self.own.info.name && self.own.status == Status::Alive {
            self.send(from, Body::Ack { number }, effects);
        }
    }

    /// Pings a target on behalf of another member.
    pub(crate) fn ping_request(
        &mut self, now: Micros, requester: (SocketAddr, u32), target: NodeName, address: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        if self.probing.relayed.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let number = self.probing.number();
        let deadline = now + 2 * self.settings.probe_period;
        self.probing.relayed.push(RelayedProbe {
            number,
            for_address: requester.0,
            for_number: requester.1,
            deadline,
        });
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
