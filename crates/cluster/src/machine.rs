//! A machine: its name, its disks, and the process that runs on it.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_message_log::{CurrentTime, StoreRecovery};
use pewterseam_storage::RecoveredFrom;
use pewterseam_wire::identity::{DiskId, Life as NodeLife, NodeInfo, NodeName, Role};
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::random::Random;
use pewterseam_wire::{Micros, WallMicros};

use crate::disk::{Disk, Ending, LogName};
use crate::node::{FIRST_MOMENT, Node, NodeStart};
use crate::plan::Plan;
use crate::process::{Machines, Process};
use crate::relay::RelayProcess;
use crate::store::{StoreProcess, store_settings};

const PEER_PORT: u16 = 7_000;
/// The time of day at which simulated time begins.
const FIRST_WALL: WallMicros = 1_700_000_000_000_000;
const MICROS_A_MILLISECOND: u64 = 1_000;

/// A machine of the cluster.
pub struct Machine {
    pub name: NodeName,
    pub address: SocketAddr,
    pub role: Role,
    zone: Arc<str>,
    /// None for one without a disk.
    disk: Option<DiskId>,
    pub control_log: Disk,
    pub message_log: Disk,
    pub process: Option<Process>,
    /// It belongs to the cluster: it was added, and not taken away.
    pub is_present: bool,
    /// Its store is being emptied.
    pub retires: bool,
    /// The number of its present or last life.
    pub life: u64,
    /// How far its time of day is from the true one.
    pub clock_error: i64,
    pub frozen_until: Micros,
    /// Syncs take longer until then.
    pub slow_until: Micros,
    /// No sync ends before then.
    pub stalled_until: Micros,
    /// The disk has no room left until then.
    pub full_until: Micros,
    /// Nothing goes between it and the hosts until then.
    pub cut_from_hosts_until: Micros,
    /// The earliest wake that is on the agenda.
    pub wake_at: Micros,
}

impl Machine {
    pub fn new(index: usize, name: &str, role: Role, has_disk: bool) -> Self {
        let address = SocketAddr::from(([127, 0, 1, index as u8 + 1], PEER_PORT));
        Machine {
            name: NodeName::new(name),
            address,
            role,
            zone: Arc::from(format!("zone-{}", index % 3)),
            disk: has_disk.then_some(DiskId(100 + index as u64)),
            control_log: Disk::default(),
            message_log: Disk::default(),
            process: None,
            is_present: true,
            retires: false,
            life: 0,
            clock_error: 0,
            frozen_until: 0,
            slow_until: 0,
            stalled_until: 0,
            full_until: 0,
            cut_from_hosts_until: 0,
            wake_at: Micros::MAX,
        }
    }

    pub fn wall(&self, now: Micros) -> WallMicros {
        (FIRST_WALL + now).saturating_add_signed(self.clock_error)
    }

    pub fn log(&mut self, name: LogName) -> &mut Disk {
        match name {
            LogName::Control => &mut self.control_log,
            LogName::Messages => &mut self.message_log,
        }
    }

    pub fn has_disk(&self) -> bool {
        self.disk.is_some()
    }

    pub fn relay(&self) -> Option<&RelayProcess> {
        match &self.process.as_ref()?.machines {
            Machines::Relay(relay) => Some(relay),
            Machines::Store(_) => None,
        }
    }

    /// It stands where another stood.
    pub fn stand_in_for(&mut self, zone: Arc<str>) {
        self.zone = zone;
    }

    pub fn zone(&self) -> Arc<str> {
        self.zone.clone()
    }

    /// Whether its process leads the core, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.relay().is_some_and(|relay| relay.node.is_leader())
    }

    /// Whether the platform passes new connections to it.
    pub fn is_ready(&self) -> bool {
        self.relay().is_some_and(RelayProcess::is_ready)
    }

    /// Starts the process.
    pub fn start(&mut self, now: Micros, seeds: &[SocketAddr], bootstrap: bool, seed: u64, plan: &Plan) {
        self.life += 1;
        self.wake_at = Micros::MAX;
        let wall = self.wall(now);
        let (mut snapshot, mut records, mut last_record) = (None, Vec::new(), 0);
        if self.role == Role::Relay && self.has_disk() {
            let opened = self.control_log.open(&mut |found| match found.from {
                RecoveredFrom::Snapshot { .. } => snapshot = Some(Bytes::copy_from_slice(found.payload)),
                RecoveredFrom::Segment { .. } => records.push(Bytes::copy_from_slice(found.payload)),
            });
            last_record = opened.unwrap_or_else(|error| panic!("{}: {error}", self.name));
        }
        let info = NodeInfo {
            name: self.name.clone(),
            life: NodeLife(wall / MICROS_A_MILLISECOND),
            role: self.role,
            peer_address: self.address,
            zone: self.zone.clone(),
            region: Arc::from("region"),
            disk: self.disk,
            counts_for_quorum: true,
            ready: false,
        };
        let recovered = (snapshot, records);
        let (as_deployed, planted) = (plan.as_deployed, plan.planted);
        let seeds = seeds.to_vec();
        let start = NodeStart { info, seeds, bootstrap, recovered, last_record, seed, as_deployed };
        let node = Node::start(start, wall);
        let machines = match self.role {
            Role::Relay => Machines::Relay(Box::new(RelayProcess::new(node, bootstrap, seed, planted))),
            Role::Store => Machines::Store(Box::new(self.store(node, wall, plan))),
        };
        self.process = Some(Process::new(machines, now));
    }

    fn store(&mut self, node: Node, wall: WallMicros, plan: &Plan) -> StoreProcess {
        let id = StoreId { name: self.name.clone(), disk: self.disk.unwrap_or(DiskId(0)) };
        let now = CurrentTime { steady: FIRST_MOMENT, wall };
        let mut recovery = StoreRecovery::new(store_settings(id, plan.scenario), now);
        let opened = self.message_log.open(&mut |found| {
            if let RecoveredFrom::Segment { position, .. } = found.from {
                recovery.entry(position, found.payload);
            }
        });
        if let Err(error) = opened {
            panic!("{}: {error}", self.name);
        }
        let store = recovery.finish().unwrap_or_else(|error| panic!("{}: {error}", self.name));
        StoreProcess::new(node, store, plan.planted)
    }

    /// The process ends.
    pub fn end(&mut self, ending: Ending, random: &mut Random) {
        self.process = None;
        self.frozen_until = 0;
        self.control_log.end(ending, random);
        self.message_log.end(ending, random);
    }

    /// The disk has no room left, or room again.
    pub fn limit_disk(&mut self, is_full: bool) {
        self.control_log.limit(is_full);
        self.message_log.limit(is_full);
    }

    /// The disk is replaced by an empty one. Only while no process runs.
    pub fn lose_disk(&mut self) {
        if let Some(DiskId(disk)) = self.disk {
            self.disk = Some(DiskId(disk + 1_000));
        }
        self.control_log.empty();
        self.message_log.empty();
    }
}
