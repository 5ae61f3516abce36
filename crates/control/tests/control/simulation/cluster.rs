//! The cluster: nodes, links, time.

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

/// Membership looks at links this often.
const LOOK: u64 = 100 * MS;
/// A write that a disk did not sync is looked at again after this.
const RETRY_SYNC: u64 = 100 * MS;
/// Bytes to which [`Cluster::loss_percent`] applies once.
pub(super) const LOSS_UNIT: usize = 32 * 1024;
/// A store has copied what it must after so long.
const COPY: u64 = 400 * MS;

/// What is wrong with a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskTrouble {
    /// It syncs nothing. What was written is there if only the process ends.
    Stalled,
    /// Each sync takes so much longer.
    Slow(u64),
    /// It takes nothing in: each write fails and is tried again, and is gone with the process.
    Full,
}

/// A clock that has told the time so far, and runs slower from a moment on.
#[derive(Clone, Copy)]
pub struct SlowClock {
    pub(super) since: u64,
    pub(super) slower: u64,
}

impl SlowClock {
    fn tells(&self, now: u64) -> u64 {
        self.since + (now - self.since) / self.slower
    }

    fn moment(&self, told: u64) -> u64 {
        self.since + told.saturating_sub(self.since).saturating_mul(self.slower)
    }
}

/// Faults of the simulated program, to show that the checks find them.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Planted {
    Nothing,
    /// A candidate takes itself for promised by everybody, whatever they hold.
    NoMajorityRead,
    /// The disk says that it synced, and did not.
    LyingDisk,
    /// A disk that was emptied keeps its identity, so that its member votes on with an empty memory.
    EmptiedDiskVotes,
}

#[derive(Clone)]
pub(super) enum Event {
    /// For one life of the receiver, or for whichever runs where there is none.
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
    Thaw {
        node: usize,
    },
    Copied {
        node: usize,
        life: u64,
        epoch: u64,
    },
    Look,
}

#[derive(Clone)]
pub struct Node {
    pub info: NodeInfo,
    pub control: Option<Control>,
    pub disk: Disk,
    pub life: u64,
    pub frozen: bool,
    /// It never starts again.
    pub is_removed: bool,
    pub(super) held: Vec<Event>,
    pub wakes: u64,
    /// What this node's membership holds of each other: whether it is live, and since when links say otherwise.
    pub view: BTreeMap<usize, (u64, Option<u64>)>,
    wake: u64,
    pub told_digest: BTreeMap<usize, u64>,
}

#[derive(Clone)]
pub struct Cluster {
    pub now: u64,
    pub random: Random,
    pub nodes: Vec<Node>,
    /// Links that carry nothing, by direction.
    pub cuts: BTreeSet<(usize, usize)>,
    /// What links take longer, by direction.
    pub slow: BTreeMap<(usize, usize), u64>,
    pub drop_percent: usize,
    /// Of a hundred messages so many come a second time, at any later moment: after changes of leaders and restarts.
    pub late_percent: usize,
    /// Clocks that run slower than time.
    pub clocks: BTreeMap<usize, SlowClock>,
    /// Bytes that a node may send in a second, all links together. None: without bound.
    pub rate: Option<u64>,
    /// The same for single nodes, where it is less.
    pub rates: BTreeMap<usize, u64>,
    /// Of a hundred messages of [`LOSS_UNIT`] bytes so many are lost, and of longer ones accordingly more. Only with a
    /// rate.
    pub loss_percent: usize,
    /// How long a node's disk takes for a write, where that is not the usual time.
    pub disk_delays: BTreeMap<usize, u64>,
    pub answers: Vec<(usize, Token, Outcome)>,
    pub checks: Checks,
    pub planted: Planted,
    /// Disks that do not do what they should.
    pub disks: BTreeMap<usize, DiskTrouble>,
    /// How often each node asked for promises.
    pub stood: BTreeMap<usize, usize>,
    pub bootstrap: bool,
    pub messages: u64,
    /// Whether the bytes of messages are counted, which takes time.
    pub counts_bytes: bool,
    pub bytes: usize,
    /// Bytes that were sent to each node.
    pub received: BTreeMap<usize, usize>,
    /// What of it nodes were sent before. Only with a rate.
    pub repeats: Repeats,
    /// How much longer a store takes to copy.
    pub copy_delays: BTreeMap<usize, u64>,
    /// Stores that have copied, and the epoch of the placement under which they have.
    pub copies: BTreeSet<(NodeName, u64)>,
    /// No entry reaches a member.
    pub holds_entries: bool,
    /// The core agrees on the relays that may hand out permits.
    pub agrees_on_homes: bool,
    /// Proposals of core memberships that were sent.
    pub core_proposals: usize,
    /// Stores in one of their lives, and the epochs of the placements that they have begun to copy for.
    copying: BTreeSet<(usize, u64, u64)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    pub(super) links: BTreeMap<(usize, usize), u64>,
    /// Until when a node is busy with sending.
    pub(super) sending: BTreeMap<usize, u64>,
    order: u64,
    pub(super) next_disk: u64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 7240))
}

impl Cluster {
    /// A cluster of `core` relays with a disk, `relays` without, and `stores`. The seeds are the first three relays, of
    /// which the last may have no disk.
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
            planted: Planted::Nothing,
            disks: BTreeMap::new(),
            stood: BTreeMap::new(),
            bootstrap: true,
            messages: 0,
            counts_bytes: false,
            bytes: 0,
            received: BTreeMap::new(),
            repeats: Repeats::default(),
            copy_delays: BTreeMap::new(),
            copies: BTreeSet::new(),
            holds_entries: false,
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
        cluster.schedule(LOOK, Event::Look);
        cluster
    }

    /// Adds a machine that does not run yet.
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
            held: Vec::new(),
            wakes: 0,
            view: BTreeMap::new(),
            wake: 0,
            told_digest: BTreeMap::new(),
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

    /// Runs until a time has passed.
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
                self.happen(event);
            }
        }
        self.now = end;
        self.checks.now = end;
    }

    /// What each process that runs takes its contact for must be true, also of one that stands still.
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

    pub(super) fn happen(&mut self, event: Event) {
        let place = match &event {
            Event::Message { to, life, .. } => Some((*to, life.unwrap_or(self.nodes[*to].life))),
            Event::Wake { node, life }
            | Event::Synced { node, life, .. }
            | Event::Copied { node, life, .. } => Some((*node, *life)),
            Event::Start { .. } | Event::Thaw { .. } | Event::Look => None,
        };
        if let Some((node, life)) = place {
            if !self.is_running(node, life) {
                return;
            }
            if self.nodes[node].frozen {
                return self.nodes[node].held.push(event);
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
            Event::Synced { node, life, sequence } if self.is_disk_held(node) => {
                self.schedule(RETRY_SYNC, Event::Synced { node, life, sequence });
            }
            Event::Synced { node, sequence, .. } => {
                if self.planted != Planted::LyingDisk {
                    self.nodes[node].disk.sync(sequence);
                }
                self.step(node, |control, now| control.persisted(now, sequence));
            }
            Event::Start { node } => self.start(node),
            Event::Thaw { node } => self.thaw(node),
            Event::Copied { node, epoch, .. } => self.copied(node, epoch),
            Event::Look => {
                self.look();
                self.check_contacts();
                self.schedule(LOOK, Event::Look);
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
        node.told_digest.clear();
        let control = Control::new(now, &node.info, settings, node.disk.log(), seed);
        node.control = Some(control.expect("the log can be read"));
        self.checks.started(index);
        self.step(index, |control, now| control.tick(now));
    }

    /// A relay without a disk, or the third node.
    fn first_diskless(&self) -> usize {
        let is_diskless = |node: &Node| node.info.role == Role::Relay && node.info.disk.is_none();
        self.nodes.iter().position(is_diskless).unwrap_or(2)
    }

    fn is_disk_held(&self, node: usize) -> bool {
        matches!(self.disks.get(&node), Some(DiskTrouble::Stalled | DiskTrouble::Full))
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

    /// Hands one input to a machine and does what it wants done.
    pub fn step(&mut self, index: usize, input: impl FnOnce(&mut Control, u64) -> Vec<Effect>) {
        let now = self.clocks.get(&index).map_or(self.now, |clock| clock.tells(self.now));
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
                // A store copies once for each placement, also where other parts of the state change.
                if is_store && is_moving && self.copying.insert((index, life, epoch)) {
                    let delay = COPY + self.copy_delays.get(&index).copied().unwrap_or(0);
                    self.schedule(delay, Event::Copied { node: index, life, epoch });
                }
            }
            Effect::Contact(contact) => self.checks.contact(index, contact),
            Effect::Answer { token, outcome } => self.answers.push((index, token, outcome)),
            Effect::Wake(at) => {
                let at = self.clocks.get(&index).map_or(at, |clock| clock.moment(at));
                self.nodes[index].wake = at;
                self.schedule_at(at.max(self.now), Event::Wake { node: index, life });
            }
        }
    }

    fn sync_later(&mut self, index: usize, sequence: u64) {
        let life = self.nodes[index].life;
        let slower = match self.disks.get(&index) {
            Some(DiskTrouble::Slow(slower)) => *slower,
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

    /// All links are whole, all processes run.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.slow.clear();
        self.drop_percent = 0;
        self.disks.clear();
        self.clocks.clear();
        for index in 0..self.nodes.len() {
            if self.nodes[index].frozen {
                self.thaw(index);
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

/// A change to one.
pub fn patch(version: u64, timeout: u64) -> Bytes {
    Bytes::from(format!(
        r#"{{"version":{version},"upsert":{{"routes":[{{"name":"r","hostname":"h.example","pathPrefix":"/a/","type":"async","timeoutMs":{timeout},"backend":"b"}}]}}}}"#
    ))
}
