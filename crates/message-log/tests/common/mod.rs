//! Test stores with their logs on simulated files and a simulated clock, and the delivery of requests between them.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_message_log::{CurrentTime, Effect, Input, Members, Store, StoreRecovery, StoreSettings};
use pewterseam_storage::{Log, LogOptions, RecoveredFrom, SimulatedFiles, StorageError};
use pewterseam_wire::identity::{DiskId, Life, NodeInfo, NodeName, Owner, Role};
use pewterseam_wire::placement::{Partition, Placement, PlacementEpoch, StoreEntry, StoreId};
use pewterseam_wire::record::{End, Fact, MessageName, Record, RouteKey};
use pewterseam_wire::store::{OrphanMessage, Status, StoreNotice, StoreRequest, StoreResponse};

pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
pub const STATUS_TTL: u64 = 120 * SECOND;
/// A `retentionS` so short that ends are remembered for no longer than `statusTtlS`.
pub const SHORT_RETENTION_MS: u64 = 60_000;

/// The time of day when the steady clock is zero.
pub const WALL_START: u64 = 1_700_000_000 * SECOND;

pub fn store_id(name: &str) -> StoreId {
    StoreId { name: NodeName::new(name), disk: DiskId(7) }
}

pub fn settings(name: &str) -> StoreSettings {
    StoreSettings::new(store_id(name), STATUS_TTL, 64 * 1024 * 1024)
}

pub fn set(names: &[&str]) -> Vec<StoreEntry> {
    names.iter().map(|name| StoreEntry { id: store_id(name), zone: Arc::from(*name) }).collect()
}

pub fn placement(epoch: u64, sets: &[&[&str]]) -> Arc<Placement> {
    let sets = sets.iter().map(|names| set(names)).collect();
    Arc::new(Placement { epoch: PlacementEpoch(epoch), tolerated: 1, sets, ..Placement::default() })
}

pub fn owner(name: &str, life: u64) -> Owner {
    Owner { name: NodeName::new(name), life: Life(life) }
}

pub fn relay(name: &str, life: u64) -> NodeInfo {
    NodeInfo {
        name: NodeName::new(name),
        life: Life(life),
        role: Role::Relay,
        peer_address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Arc::from("zone"),
        region: Arc::from("region"),
        disk: None,
        counts_for_quorum: true,
        ready: true,
    }
}

pub fn store_node(name: &str) -> NodeInfo {
    NodeInfo { role: Role::Store, disk: Some(DiskId(7)), ..relay(name, 1) }
}

pub fn members(live: &[NodeInfo], ended: &[Owner]) -> Members {
    Members { live: live.to_vec(), ended: ended.to_vec() }
}

/// A record without an ordering key, owned by the first life of relay `a`.
pub fn record(id: &str) -> Record {
    let partition = Partition::of(id);
    Record {
        name: MessageName::new(id, partition),
        partition,
        ordering_key: None,
        predecessors: Vec::new(),
        owner: owner("a", 1),
        accepted_at: WALL_START,
        delay_ms: 0,
        retention_ms: 90_000,
        config_version: 1,
        route: Arc::from("route"),
        host: Arc::from("host"),
        method: Arc::from("POST"),
        target: Arc::from("/path"),
        headers: vec![(Arc::from("X-Request-Id"), Arc::from(id))],
        body: Bytes::from(format!("body of {id}")),
        route_key: Some(RouteKey { hostname: Arc::from("host"), path_prefix: Arc::from("/") }),
    }
}

/// A record with an ordering key, which determines its partition.
pub fn keyed(id: &str, key: &str, predecessors: &[&MessageName]) -> Record {
    let partition = Partition::of(key);
    Record {
        name: MessageName::new(id, partition),
        partition,
        ordering_key: Some(Arc::from(key)),
        predecessors: predecessors.iter().map(|name| (*name).clone()).collect(),
        ..record(id)
    }
}

pub fn completed(signature: &str) -> End {
    End::Completed { signature: Arc::from(signature) }
}

pub fn ended(name: &MessageName, end: End) -> StoreRequest {
    StoreRequest::Settle { facts: vec![Fact::Ended { name: name.clone(), end }] }
}

pub fn append(epoch: u64, record: &Record) -> StoreRequest {
    StoreRequest::Append { epoch: PlacementEpoch(epoch), record: record.clone(), renews_lease: true }
}

pub fn list_open(epoch: u64, key: &str) -> StoreRequest {
    StoreRequest::ListOpen {
        epoch: PlacementEpoch(epoch),
        partition: Partition::of(key),
        ordering_key: Arc::from(key),
    }
}

/// A store, its environment, and the effects that it returned.
pub struct Node {
    pub settings: StoreSettings,
    pub files: SimulatedFiles,
    pub options: LogOptions,
    pub now: u64,
    /// The time of day when the steady clock shows 0.
    pub wall_start: u64,
    /// Whether writes are synced immediately.
    pub syncs_at_once: bool,
    pub answers: BTreeMap<u64, StoreResponse>,
    pub notices: Vec<(NodeName, StoreNotice)>,
    /// The requests to other stores that are not delivered yet.
    pub pulls: VecDeque<(StoreId, u64, StoreRequest)>,
    pub copied: Vec<PlacementEpoch>,
    pub wake_at: Option<u64>,
    /// The writes that wait for a sync.
    pub unsynced: VecDeque<(u64, Vec<Bytes>)>,
    store: Store,
    log: Log<SimulatedFiles>,
    last_token: u64,
}

impl Node {
    /// A store that has received the first placement, whose only set has three stores.
    pub fn in_first_placement(name: &str) -> Self {
        let mut node = Node::new(settings(name));
        node.input(Input::Placement(placement(1, &[&["s1", "s2", "s3"]])));
        node
    }

    pub fn new(settings: StoreSettings) -> Self {
        Node::on(settings, SimulatedFiles::new(), LogOptions::default(), 0)
    }

    pub fn on(settings: StoreSettings, files: SimulatedFiles, options: LogOptions, now: u64) -> Self {
        let (store, log) =
            recover(&settings, &files, options, CurrentTime { steady: now, wall: WALL_START + now });
        Node {
            settings,
            files,
            options,
            now,
            wall_start: WALL_START,
            syncs_at_once: true,
            answers: BTreeMap::new(),
            notices: Vec::new(),
            pulls: VecDeque::new(),
            copied: Vec::new(),
            wake_at: None,
            unsynced: VecDeque::new(),
            store,
            log,
            last_token: 0,
        }
    }

    /// Restarts the process from the data on the disk. All outstanding work is dropped.
    pub fn restart(&mut self) {
        let (store, log) = recover(&self.settings, &self.files, self.options, self.time());
        (self.store, self.log) = (store, log);
        self.unsynced.clear();
        self.pulls.clear();
        self.notices.clear();
        self.copied.clear();
        self.wake_at = None;
    }

    pub fn input(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let now = self.time();
            for effect in self.store.step(now, input) {
                inputs.extend(self.carry_out(effect));
            }
        }
    }

    fn time(&self) -> CurrentTime {
        CurrentTime { steady: self.now, wall: self.wall_start + self.now }
    }

    fn carry_out(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Respond { token, response } => {
                assert!(self.answers.insert(token, response).is_none(), "two answers to {token}");
            }
            Effect::Notify { to, notice } => self.notices.push((to, notice)),
            Effect::Persist { ticket, entries } => {
                self.unsynced.push_back((ticket, entries));
                return self.syncs_at_once.then(|| self.write()).flatten();
            }
            Effect::ReadBack { token, position } => {
                return Some(Input::ReadBack { token, payload: self.log.read(position).ok() });
            }
            Effect::RemoveSegments { before } => {
                // A failing disk may fail here too; the next removal also covers these segments.
                match self.log.remove_before(before) {
                    Ok(()) | Err(StorageError::Io { .. }) => {}
                    Err(error) => panic!("removing segments: {error}"),
                }
            }
            Effect::SendStoreRequest { to, token, request } => self.pulls.push_back((to, token, request)),
            Effect::Copied { epoch } => self.copied.push(epoch),
            Effect::WakeAt(at) => self.wake_at = Some(at),
        }
        None
    }

    /// Writes and syncs all waiting entries as one batch.
    fn write(&mut self) -> Option<Input> {
        let through = self.unsynced.back()?.0;
        let entries: Vec<Bytes> = self.unsynced.drain(..).flat_map(|(_, entries)| entries).collect();
        Some(match self.log.append(&entries) {
            Ok(positions) => Input::Persisted { through, positions },
            Err(_) => Input::PersistFailed { through },
        })
    }

    pub fn sync(&mut self) {
        if let Some(input) = self.write() {
            self.input(input);
        }
    }

    /// Advances the clock, with a tick whenever the store has requested one.
    pub fn advance(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(at) = self.wake_at.take_if(|at| *at <= end) {
            self.now = self.now.max(at);
            self.input(Input::Tick);
        }
        self.now = end;
    }

    /// Sends a request and returns its token.
    pub fn send(&mut self, request: StoreRequest) -> u64 {
        self.last_token += 1;
        let token = self.last_token;
        self.input(Input::Request { token, request });
        token
    }

    /// Sends a request and returns the response, if it came immediately.
    pub fn ask(&mut self, request: StoreRequest) -> Option<StoreResponse> {
        let token = self.send(request);
        self.answers.remove(&token)
    }

    pub fn look(&mut self, name: &MessageName) -> Option<Status> {
        match self.ask(StoreRequest::Look { names: vec![name.clone()] }) {
            Some(StoreResponse::Statuses { statuses, .. }) => statuses.into_iter().next(),
            _ => None,
        }
    }

    pub fn fetch(&mut self, name: &MessageName) -> Option<Record> {
        match self.ask(StoreRequest::Fetch { name: name.clone() }) {
            Some(StoreResponse::Found { record, .. }) => record,
            other => panic!("{other:?}"),
        }
    }

    pub fn open_names(&mut self, epoch: u64, key: &str) -> Vec<MessageName> {
        match self.ask(list_open(epoch, key)) {
            Some(StoreResponse::OpenMessages { names, .. }) => names,
            other => panic!("{other:?}"),
        }
    }

    /// Removes and returns the offers that were sent: the relay and the messages of each.
    pub fn take_offers(&mut self) -> Vec<(NodeName, Vec<OrphanMessage>)> {
        let mut offers = Vec::new();
        self.notices.retain(|(to, notice)| match notice {
            StoreNotice::TakeOver { messages } => {
                offers.push((to.clone(), messages.clone()));
                false
            }
            StoreNotice::PredecessorEnded { .. } => true,
        });
        offers
    }

    pub fn log_bytes(&self) -> u64 {
        self.log.bytes()
    }

    pub fn id(&self) -> StoreId {
        self.settings.id.clone()
    }
}

fn recover(
    settings: &StoreSettings, files: &SimulatedFiles, options: LogOptions, now: CurrentTime,
) -> (Store, Log<SimulatedFiles>) {
    let mut recovery = StoreRecovery::new(settings.clone(), now);
    let log = Log::open(files.clone(), options, &mut |record| {
        if let RecoveredFrom::Segment { position, .. } = record.from {
            recovery.entry(position, record.payload);
        }
    });
    match (recovery.finish(), log) {
        (Ok(store), Ok(log)) => (store, log),
        (Err(error), _) => panic!("recovering: {error}"),
        (_, Err(error)) => panic!("opening the log: {error}"),
    }
}

pub fn is_done(response: &Option<StoreResponse>) -> bool {
    matches!(response, Some(StoreResponse::Done { .. }))
}

/// The status of the first message in a response, if the response contains statuses.
pub fn status_in_response(response: &Option<StoreResponse>) -> Option<Status> {
    match response {
        Some(StoreResponse::Statuses { statuses, .. }) => statuses.first().cloned(),
        _ => None,
    }
}

/// Delivers requests between stores until none is left. Requests to stores that do not exist are lost.
pub fn deliver(nodes: &mut [Node]) {
    loop {
        let Some(from) = nodes.iter().position(|node| !node.pulls.is_empty()) else { return };
        let Some((to, token, request)) = nodes[from].pulls.pop_front() else { return };
        let Some(other) = nodes.iter().position(|node| node.id() == to) else { continue };
        let asked = nodes[other].send(request);
        let response = nodes[other].answers.remove(&asked);
        nodes[from].input(Input::StoreResponded { token, response });
    }
}
