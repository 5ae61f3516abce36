//! Simulates many members in one process, on a simulated clock and network, reproducible from a seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_membership::{Effect, MemberChange, Membership, MembershipSettings};
use pewterseam_wire::identity::{DiskId, Life, NodeInfo, NodeName, Role};
use pewterseam_wire::random::Random;

pub const MS: u64 = 1_000;

/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

enum Event {
    Datagram { from: usize, to: usize, life: u64, bytes: Vec<u8> },
    Wake { node: usize, life: u64 },
    Resume { node: usize },
}

pub struct Node {
    pub machine: Option<Membership>,
    pub life: u64,
    wake: u64,
    stalled: bool,
    held_events: Vec<Event>,
    pub sent_bytes: u64,
}

pub struct Members {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub loss_percent: usize,
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Member changes reported so far: time, reporting node and change.
    pub changes: Vec<(u64, usize, MemberChange)>,
    pub restarted: Vec<(usize, Life)>,
    pub digests: Vec<(usize, NodeName, u64)>,
    pub random: Random,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
}

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (node / 200) as u8, (node % 200) as u8 + 1], 7240))
}

pub fn name(node: usize) -> NodeName {
    NodeName::new(&format!("edge-hall-a-{node}"))
}

impl Members {
    /// Creates members that all start within 300 ms and have the first three as seeds.
    pub fn new(seed: u64, count: usize) -> Self {
        let mut members = Members {
            now: 1_000_000,
            nodes: Vec::new(),
            loss_percent: 0,
            blocked_links: BTreeSet::new(),
            changes: Vec::new(),
            restarted: Vec::new(),
            digests: Vec::new(),
            random: Random::new(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
        };
        for _ in 0..count {
            members.nodes.push(Node {
                machine: None,
                life: 0,
                wake: 0,
                stalled: false,
                held_events: Vec::new(),
                sent_bytes: 0,
            });
        }
        for node in 0..count {
            members.run(300 * MS / count as u64);
            members.start(node, 1_000 + node as u64);
        }
        members
    }

    pub fn start(&mut self, node: usize, life: u64) {
        let info = NodeInfo {
            name: name(node),
            life: Life(life),
            role: Role::Relay,
            peer_address: address(node),
            zone: Arc::from("hall-a"),
            region: Arc::from("north"),
            disk: Some(DiskId(node as u64)),
            counts_for_quorum: true,
            ready: true,
        };
        let seeds = (0..3).map(address).collect();
        let seed = self.random.draw();
        self.nodes[node].life += 1;
        self.nodes[node].machine =
            Some(Membership::new(self.now, info, seeds, MembershipSettings::default(), seed));
        self.step(node, |machine, now| machine.tick(now));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].machine = None;
        self.nodes[node].stalled = false;
        self.nodes[node].held_events.clear();
    }

    pub fn stall(&mut self, node: usize, duration: u64) {
        if self.nodes[node].machine.is_some() && !self.nodes[node].stalled {
            self.nodes[node].stalled = true;
            self.schedule(self.now + duration, Event::Resume { node });
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    pub fn run(&mut self, duration: u64) {
        let end = self.now + duration;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&sequence) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        if let Event::Datagram { to: node, life, .. } | Event::Wake { node, life } = &event {
            let node = &mut self.nodes[*node];
            if node.life != *life || node.machine.is_none() {
                return;
            }
            if node.stalled {
                return node.held_events.push(event);
            }
        }
        match event {
            Event::Datagram { from, to, bytes, .. } => {
                let from = address(from);
                self.step(to, |machine, now| machine.datagram(now, from, &bytes).unwrap_or_default());
            }
            Event::Wake { node, .. } => {
                if self.nodes[node].wake <= self.now {
                    self.step(node, |machine, now| machine.tick(now));
                }
            }
            Event::Resume { node } => self.resume(node),
        }
    }

    /// Resumes a paused node. Its timers fire before the held datagrams are read, which is the worst case.
    fn resume(&mut self, node: usize) {
        if !std::mem::replace(&mut self.nodes[node].stalled, false) {
            return;
        }
        self.step(node, |machine, now| machine.tick(now));
        for event in std::mem::take(&mut self.nodes[node].held_events) {
            self.handle(event);
        }
    }

    pub fn step(&mut self, node: usize, input: impl FnOnce(&mut Membership, u64) -> Vec<Effect>) {
        let now = self.now;
        let Some(machine) = self.nodes[node].machine.as_mut() else { return };
        for effect in input(machine, now) {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Send { to, datagram } => self.send(node, to, datagram),
            Effect::Changed(change) => self.changes.push((self.now, node, change)),
            Effect::PeerDigest { name, digest } => self.digests.push((node, name, digest)),
            Effect::Restarted { life } => self.restarted.push((node, life)),
            Effect::Wake(at) => {
                self.nodes[node].wake = at;
                let life = self.nodes[node].life;
                self.schedule(at.max(self.now), Event::Wake { node, life });
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= pewterseam_membership::MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        self.nodes[from].sent_bytes += bytes.len() as u64 + HEADER_BYTES;
        let SocketAddr::V4(v4) = to else { return };
        let octets = v4.ip().octets();
        let to = usize::from(octets[2]) * 200 + usize::from(octets[3]) - 1;
        if to >= self.nodes.len()
            || self.blocked_links.contains(&(from, to))
            || self.random.below(100) < self.loss_percent
        {
            return;
        }
        let at = self.now + 300 + self.random.below(3_000) as u64;
        let life = self.nodes[to].life;
        self.schedule(at, Event::Datagram { from, to, life, bytes });
    }

    pub fn live_count(&self, node: usize) -> usize {
        self.nodes[node].machine.as_ref().map_or(0, Membership::live_count)
    }

    /// Whether every running member knows all other running members and nobody else.
    pub fn is_complete(&self) -> bool {
        let running = self.nodes.iter().filter(|node| node.machine.is_some()).count();
        (0..self.nodes.len())
            .all(|node| self.nodes[node].machine.is_none() || self.live_count(node) == running - 1)
    }

    pub fn downs(&self) -> impl Iterator<Item = (u64, usize, &NodeName)> {
        self.changes.iter().filter_map(|(at, node, change)| match change {
            MemberChange::Down { info, .. } => Some((*at, *node, &info.name)),
            _ => None,
        })
    }
}
