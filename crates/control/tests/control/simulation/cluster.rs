//! The simulated cluster: nodes, links and time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_control::{Control, ControlMessage, ControlSettings, Effect, OperatorRequest, Outcome, Token};
use pewterseam_wire::identity::{DiskId, Life, NodeInfo, NodeName, Role};
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::random::Random;

use super::checks::Checks;
use super::disk::Disk;
use super::repeats::Repeats;

pub const MS: u64 = 1_000;

/// The interval at which simulated membership checks the links.
const MEMBERSHIP_INTERVAL: u64 = 100 * MS;
/// The delay before a write that a faulty disk did not sync is tried again.
const RETRY_SYNC: u64 = 100 * MS;
/// The number of bytes to which [`Cluster::loss_percent`] applies once.
pub(super) const LOSS_UNIT: usize = 32 * 1024;
/// How long a store takes to copy its messages.
const COPY_DURATION: u64 = 400 * MS;

/// The fault of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// The disk syncs nothing. Writes survive only if the process ends without a loss of power.
    Stalled,
    /// Each sync takes this much longer.
    Slow(u64),
    /// The disk accepts no data: each write fails and is retried, and is lost when the process ends.
    Full,
}

/// A clock that was correct until `since`, and has run slower from then on.
#[derive(Clone, Copy)]
pub struct SlowClock {
    pub(super) since: u64,
    pub(super) slower: u64,
}

impl SlowClock {
    fn reading(&self, now: u64) -> u64 {
        self.since + (now - self.since) / self.slower
    }

    fn real_time(&self, clock_time: u64) -> u64 {
        self.since + clock_time.saturating_sub(self.since).saturating_mul(self.slower)
    }
}

/// Bugs injected into the simulated program, to show that the checks find them.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    Nothing,
    /// A candidate believes that all members have promised, whatever their state.
    NoMajorityRead,
    /// The disk reports syncs that it did not do.
    LyingDisk,
    /// A replaced disk keeps its identity, so that its member still votes without knowing what it accepted before.
    EmptyDiskVotes,
}

#[derive(Clone)]
pub(super) enum Event {
    /// For one process of the receiver, or for whichever process runs if `life` is none.
    Message {
        from: usize,
        to: usize,
        life: Option<u64>,
        message: ControlMessage,
    },
    Wake {
        node: usize,
        life: u64,
    },
    Synced {
        node: usize,
        life: u64,
        sequence: u64,
    },
    Start {
        node: usize,
    },
    Resume {
        node: usize,
    },
    Copied {
        node: usize,
        life: u64,
        epoch: u64,
    },
    MembershipCheck,
}

#[derive(Clone)]
pub struct Node {
    pub info: NodeInfo,
    pub control: Option<Control>,
    pub disk: Disk,
    pub life: u64,
    pub frozen: bool,
    /// Whether the node never starts again.
    pub is_removed: bool,
    pub(super) deferred_events: Vec<Event>,
    pub wakes: u64,
    /// This node's membership view of each other node: the live process (0 if dead), and since when the links
    /// contradict that.
    pub view: BTreeMap<usize, (u64, Option<u64>)>,
    wake: u64,
    pub reported_index: BTreeMap<usize, u64>,
}

#[derive(Clone)]
pub struct Cluster {
    pub now: u64,
    pub random: Random,
    pub nodes: Vec<Node>,
    /// Links that are cut, by direction.
    pub cuts: BTreeSet<(usize, usize)>,
    /// The additional delay of links, by direction.
    pub slow: BTreeMap<(usize, usize), u64>,
    pub drop_percent: usize,
    /// The percentage of messages that are delivered a second time at any later moment, possibly after a change of
    /// leader or a restart.
    pub late_percent: usize,
    /// Clocks that run slower than the simulated time.
    pub clocks: BTreeMap<usize, SlowClock>,
    /// The bytes that a node may send per second on all its links together. None: unlimited.
    pub rate: Option<u64>,
    /// The same limit for single nodes, which takes precedence.
    pub rates: BTreeMap<usize, u64>,
    /// The percentage of messages of [`LOSS_UNIT`] bytes that are lost; larger messages are lost with a
    /// correspondingly higher probability. Applies only with a rate.
    pub loss_percent: usize,
    /// How long a node's disk takes for a write, if not the usual time.
    pub disk_delays: BTreeMap<usize, u64>,
    pub answers: Vec<(usize, Token, Outcome)>,
    pub checks: Checks,
    pub injected_bug: InjectedBug,
    /// Disks with a fault.
    pub disks: BTreeMap<usize, DiskFault>,
    /// How many requests for promises each node has sent.
    pub promise_requests: BTreeMap<usize, usize>,
    pub bootstrap: bool,
    pub messages: u64,
    /// Whether the bytes of messages are counted, which costs time.
    pub counts_bytes: bool,
    pub bytes: usize,
    /// The bytes that were sent to each node.
    pub received: BTreeMap<usize, usize>,
    /// The part of these bytes that a node was sent before. Counted only with a rate.
    pub repeats: Repeats,
    /// How much longer than usual a store takes to copy.
    pub copy_delays: BTreeMap<usize, u64>,
    /// The stores that have copied, with the epoch of the placement for which they have.
    pub copies: BTreeSet<(NodeName, u64)>,
    /// Whether all `Accept` messages are dropped.
    pub drops_accepts: bool,
    /// Whether the core agrees on the list of relays that may grant permits.
    pub agrees_on_homes: bool,
    /// The number of proposals of core memberships that were sent.
    pub core_proposals: usize,
    /// The processes of stores, with the epochs of the placements for which they have begun to copy.
    copying: BTreeSet<(usize, u64, u64)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    pub(super) links: BTreeMap<(usize, usize), u64>,
    /// Until when a node's queue of outgoing messages keeps it busy.
    pub(super) sending: BTreeMap<usize, u64>,
    order: u64,
    pub(super) next_disk: u64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 7240))
}

impl Cluster {
    /// A cluster of `core` relays with a disk, `relays` without, and `stores`. The seeds are the first two relays and
    /// the first relay without a disk, or the third node if there is none.
    pub fn new(seed: u64, core: usize, relays: usize, stores: usize) -> Self {
        let mut cluster = Cluster {
            now: 1_000_000,
            random: Random::new(seed),
            nodes: Vec::new(),
            cuts: BTreeSet::new(),
            slow: BTreeMap::new(),
            drop_percent: 0,
            late_percent: 0,
            clocks: BTreeMap::new(),
            rate: None,
            rates: BTreeMap::new(),
            loss_percent: 0,
            disk_delays: BTreeMap::new(),
            answers: Vec::new(),
            checks: Checks::default(),
            injected_bug: InjectedBug::Nothing,
            disks: BTreeMap::new(),
            promise_requests: BTreeMap::new(),
            bootstrap: true,
            messages: 0,
            counts_bytes: false,
            bytes: 0,
            received: BTreeMap::new(),
            repeats: Repeats::default(),
            copy_delays: BTreeMap::new(),
            copies: BTreeSet::new(),
            drops_accepts: false,
            agrees_on_homes: false,
            core_proposals: 0,
            copying: BTreeSet::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            links: BTreeMap::new(),
            sending: BTreeMap::new(),
            order: 0,
            next_disk: 100,
        };
        for index in 0..core + relays + stores {
            let (role, disk) = match index {
                index if index < core => (Role::Relay, true),
                index if index < core + relays => (Role::Relay, false),
                _ => (Role::Store, true),
            };
            cluster.add(role, disk);
        }
        for index in 0..cluster.nodes.len() {
            let delay = cluster.random.below(300) as u64 * MS;
            cluster.schedule(delay, Event::Start { node: index });
        }
        cluster.schedule(MEMBERSHIP_INTERVAL, Event::MembershipCheck);
        cluster
    }

    /// Adds a machine that is not running yet.
    pub fn add(&mut self, role: Role, disk: bool) -> usize {
        let index = self.nodes.len();
        self.next_disk += 1;
        let info = NodeInfo {
            name: NodeName::new(&format!("node-{index}")),
            life: Life(0),
            role,
            peer_address: address(index),
            zone: Arc::from(format!("zone-{}", index % 3)),
            region: Arc::from("region"),
            disk: disk.then_some(DiskId(self.next_disk)),
            counts_for_quorum: disk,
            ready: true,
        };
        self.nodes.push(Node {
            info,
            control: None,
            disk: Disk::default(),
            life: 0,
            frozen: false,
            is_removed: false,
            deferred_events: Vec::new(),
            wakes: 0,
            view: BTreeMap::new(),
            wake: 0,
            reported_index: BTreeMap::new(),
        });
        index
    }

    pub(super) fn schedule(&mut self, delay: u64, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    pub(super) fn schedule_at(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order)));
        self.events.insert(self.order, event);
    }

    pub fn start_after(&mut self, node: usize, delay: u64) {
        self.schedule(delay, Event::Start { node });
    }

    /// Runs the simulation for this long.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(Reverse((at, order))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            self.checks.now = at;
            if let Some(event) = self.events.remove(&order) {
                self.process_event(event);
            }
        }
        self.now = end;
        self.checks.now = end;
    }

    /// Checks the contact that each running process believes in, also of a process that is frozen.
    fn check_contacts(&mut self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(control) = node.control.as_ref().filter(|_| !self.clocks.contains_key(&index)) else {
                continue;
            };
            self.checks.in_touch(index, control.contact(self.now), control.state().config.version);
        }
    }

    fn is_running(&self, node: usize, life: u64) -> bool {
        self.nodes[node].life == life && self.nodes[node].control.is_some()
    }

    pub(super) fn process_event(&mut self, event: Event) {
        let receiver = match &event {
            Event::Message { to, life, .. } => Some((*to, life.unwrap_or(self.nodes[*to].life))),
            Event::Wake { node, life }
            | Event::Synced { node, life, .. }
            | Event::Copied { node, life, .. } => Some((*node, *life)),
            Event::Start { .. } | Event::Resume { .. } | Event::MembershipCheck => None,
        };
        if let Some((node, life)) = receiver {
            if !self.is_running(node, life) {
                return;
            }
            if self.nodes[node].frozen {
                return self.nodes[node].deferred_events.push(event);
            }
        }
        match event {
            Event::Message { from, to, message, .. } => {
                if self.cuts.contains(&(from, to)) {
                    return;
                }
                let name = self.nodes[from].info.name.clone();
                self.step(to, |control, now| control.message(now, &name, message));
            }
            Event::Wake { node, .. } => {
                if self.nodes[node].wake <= self.now {
                    self.nodes[node].wakes += 1;
                    self.step(node, |control, now| control.tick(now));
                }
            }
            Event::Synced { node, life, sequence } if self.is_disk_stuck(node) => {
                self.schedule(RETRY_SYNC, Event::Synced { node, life, sequence });
            }
            Event::Synced { node, sequence, .. } => {
                if self.injected_bug != InjectedBug::LyingDisk {
                    self.nodes[node].disk.sync(sequence);
                }
                self.step(node, |control, now| control.persisted(now, sequence));
            }
            Event::Start { node } => self.start(node),
            Event::Resume { node } => self.resume(node),
            Event::Copied { node, epoch, .. } => self.copied(node, epoch),
            Event::MembershipCheck => {
                self.update_membership();
                self.check_contacts();
                self.schedule(MEMBERSHIP_INTERVAL, Event::MembershipCheck);
            }
        }
    }

    fn start(&mut self, index: usize) {
        if self.nodes[index].control.is_some() || self.nodes[index].is_removed {
            return;
        }
        let settings = ControlSettings {
            bootstrap: self.bootstrap,
            seeds: (0..3).map(|seed| address(if seed == 2 { self.first_diskless() } else { seed })).collect(),
            agrees_on_homes: self.agrees_on_homes,
            ..ControlSettings::default()
        };
        let seed = self.random.draw();
        let now = self.now;
        let node = &mut self.nodes[index];
        node.life += 1;
        node.view.clear();
        node.reported_index.clear();
        let control = Control::new(now, &node.info, settings, node.disk.log(), seed);
        node.control = Some(control.expect("the log can be read"));
        self.checks.started(index);
        self.step(index, |control, now| control.tick(now));
    }

    /// The first relay without a disk, or the third node.
    fn first_diskless(&self) -> usize {
        let is_diskless = |node: &Node| node.info.role == Role::Relay && node.info.disk.is_none();
        self.nodes.iter().position(is_diskless).unwrap_or(2)
    }

    fn is_disk_stuck(&self, node: usize) -> bool {
        matches!(self.disks.get(&node), Some(DiskFault::Stalled | DiskFault::Full))
    }

    pub fn operator(&mut self, index: usize, token: Token, request: OperatorRequest) -> bool {
        let is_up = self.nodes[index].control.is_some() && !self.nodes[index].frozen;
        if is_up {
            self.step(index, |control, now| control.operator(now, token, request));
        }
        is_up
    }

    fn copied(&mut self, index: usize, epoch: u64) {
        let info = self.nodes[index].info.clone();
        let Some(disk) = info.disk else { return };
        self.copies.insert((info.name.clone(), epoch));
        let store = StoreId { name: info.name, disk };
        let epoch = pewterseam_wire::placement::PlacementEpoch(epoch);
        self.step(index, |control, now| control.copied(now, store, epoch));
    }

    /// Passes one input to a state machine and carries out its effects.
    pub fn step(&mut self, index: usize, input: impl FnOnce(&mut Control, u64) -> Vec<Effect>) {
        let now = self.clocks.get(&index).map_or(self.now, |clock| clock.reading(self.now));
        let Some(control) = self.nodes[index].control.as_mut() else { return };
        let effects = input(control, now);
        for effect in effects {
            self.effect(index, effect);
        }
    }

    fn effect(&mut self, index: usize, effect: Effect) {
        let life = self.nodes[index].life;
        match effect {
            Effect::Send { to, message } => self.send(index, &to, message),
            Effect::Persist { records, sequence } => {
                self.nodes[index].disk.append(sequence, records);
                self.sync_later(index, sequence);
            }
            Effect::Snapshot { snapshot, sequence } => {
                self.nodes[index].disk.replace(sequence, snapshot);
                self.sync_later(index, sequence);
            }
            Effect::InForce(state) => {
                self.checks.in_force(index, &state);
                let is_store = self.nodes[index].info.role == Role::Store;
                let epoch = state.placement.epoch.0;
                let is_moving = state.placement.sets.len() > 1;
                // A store copies once for each placement, even if other parts of the state change.
                if is_store && is_moving && self.copying.insert((index, life, epoch)) {
                    let delay = COPY_DURATION + self.copy_delays.get(&index).copied().unwrap_or(0);
                    self.schedule(delay, Event::Copied { node: index, life, epoch });
                }
            }
            Effect::Contact(contact) => self.checks.contact(index, contact),
            Effect::Answer { token, outcome } => self.answers.push((index, token, outcome)),
            Effect::Wake(at) => {
                let at = self.clocks.get(&index).map_or(at, |clock| clock.real_time(at));
                self.nodes[index].wake = at;
                self.schedule_at(at.max(self.now), Event::Wake { node: index, life });
            }
        }
    }

    fn sync_later(&mut self, index: usize, sequence: u64) {
        let life = self.nodes[index].life;
        let slower = match self.disks.get(&index) {
            Some(DiskFault::Slow(slower)) => *slower,
            _ => 0,
        };
        let usual = 500 + self.random.below(3_000) as u64;
        let delay = slower + self.disk_delays.get(&index).copied().unwrap_or(usual);
        self.schedule(delay, Event::Synced { node: index, life, sequence });
    }

    pub fn control(&self, index: usize) -> Option<&Control> {
        self.nodes[index].control.as_ref()
    }

    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.control.as_ref().is_some_and(Control::is_leader))
    }

    /// Ends all faults: restores all links and starts all processes.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.slow.clear();
        self.drop_percent = 0;
        self.disks.clear();
        self.clocks.clear();
        for index in 0..self.nodes.len() {
            if self.nodes[index].frozen {
                self.resume(index);
            }
            self.start(index);
        }
    }
}

/// A small configuration.
pub fn document(version: u64, note: &str) -> Bytes {
    Bytes::from(format!(
        r#"{{"version":{version},"routes":[{{"name":"r","hostname":"h.example","pathPrefix":"/a/","type":"async","timeoutMs":600,"backend":"b"}}],"backends":[{{"name":"b"}}],"note":"{note}"}}"#
    ))
}

/// A change of a small configuration.
pub fn patch(version: u64, timeout: u64) -> Bytes {
    Bytes::from(format!(
        r#"{{"version":{version},"upsert":{{"routes":[{{"name":"r","hostname":"h.example","pathPrefix":"/a/","type":"async","timeoutMs":{timeout},"backend":"b"}}]}}}}"#
    ))
}
