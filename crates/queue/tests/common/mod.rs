//! Test harness: a queue with in-memory stores and no network. Tests decide when each request is answered.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_queue::{
    Answer, AttemptNumber, CallId, ClientToken, Effect, MessageKey, NewMessage, Queue, QueueSettings,
    RoutePolicy, RouteTable, RunResult, SendPermit, Submission,
};
use pewterseam_wire::Micros;
use pewterseam_wire::identity::{DiskId, Life, NodeName, Owner};
use pewterseam_wire::placement::{Partition, Placement, PlacementEpoch, StoreEntry, StoreId};
use pewterseam_wire::record::{End, Fact, MessageName, Record, RouteKey};
use pewterseam_wire::store::{Decline, OrphanMessage, Status, StoreNotice, StoreRequest, StoreResponse};

pub const MILLISECOND: Micros = 1_000;

/// An in-memory store.
#[derive(Default)]
pub struct FakeStore {
    pub records: BTreeMap<MessageName, Record>,
    pub ends: BTreeMap<MessageName, End>,
    pub owners: BTreeMap<MessageName, (Owner, u32)>,
    pub failures: BTreeMap<MessageName, u32>,
    pub released: BTreeSet<MessageName>,
}

/// A queue, its stores, and the effects seen so far.
pub struct World {
    pub now: Micros,
    pub queue: Queue,
    pub stores: BTreeMap<StoreId, FakeStore>,
    /// Stores that answer no request.
    pub silent: BTreeSet<StoreId>,
    /// Stores that lose records sent to them and do not respond to these; they answer all other requests.
    pub silent_to_records: BTreeSet<StoreId>,
    /// Requests to silent stores, not answered yet.
    pub unanswered: Vec<(StoreId, CallId, StoreRequest)>,
    pub answers: HashMap<ClientToken, Answer>,
    pub submitted: Vec<MessageKey>,
    /// The service that each submitted message goes to, in the order of `submitted`.
    pub services: Vec<Arc<str>>,
    /// The due time of each submitted message, in the order of `submitted`.
    pub due: Vec<Micros>,
    pub withdrawn: Vec<MessageKey>,
    pub revised: Vec<(MessageKey, Submission)>,
    pub permits: Vec<SendPermit>,
    pub refused: Vec<AttemptNumber>,
    /// Messages with a run result that had no effect.
    pub dropped_results: Vec<MessageKey>,
    /// Holds claims back until [`World::answer_claims`].
    pub hold_claims: bool,
    held_claims: Vec<(StoreId, CallId, StoreRequest)>,
    /// Number of requests to stores so far.
    pub asked: usize,
    next_token: u64,
}

pub fn owner(name: &str) -> Owner {
    Owner { name: NodeName::new(name), life: Life(1) }
}

fn entry(number: u64) -> StoreEntry {
    let id = StoreId { name: NodeName::new(&format!("store-{number}")), disk: DiskId(number) };
    StoreEntry { id, zone: Arc::from(format!("zone-{number}")) }
}

fn policy() -> RoutePolicy {
    RoutePolicy {
        service: Arc::from("service"),
        priority: 1,
        timeout_ms: 500,
        schedule_target_ms: 500,
        max_attempts: 2,
        retention_ms: 90_000,
    }
}

/// The key of a route whose path prefix is its name.
pub fn route_key(name: &str) -> RouteKey {
    RouteKey { hostname: Arc::from("host.example"), path_prefix: Arc::from(format!("/{name}/")) }
}

pub fn routes(version: u64, names: &[&str]) -> Arc<RouteTable> {
    let routes = names.iter().map(|name| (route_key(name), policy())).collect();
    Arc::new(RouteTable { version, routes })
}

impl World {
    /// Four stores in four zones. The placement tolerates the loss of one store.
    pub fn new() -> Self {
        let settings = QueueSettings {
            owner: owner("relay-1"),
            zone: Arc::from("zone-0"),
            max_body_bytes: 1 << 20,
            max_messages: 1_000,
            max_clock_error: 20_000 * MILLISECOND,
        };
        let entries: Vec<StoreEntry> = (0..4).map(entry).collect();
        let stores: BTreeMap<StoreId, FakeStore> =
            entries.iter().map(|entry| (entry.id.clone(), FakeStore::default())).collect();
        let mut queue = Queue::new(settings, MILLISECOND);
        queue.set_live_stores(stores.keys().cloned().collect());
        let placement =
            Placement { epoch: PlacementEpoch(1), tolerated: 1, sets: vec![entries], ..Placement::default() };
        assert!(queue.set_placement(MILLISECOND, Arc::new(placement)).is_empty());
        assert!(queue.set_routes(MILLISECOND, routes(1, &["plain", "ordered"])).is_empty());
        World {
            now: MILLISECOND,
            queue,
            stores,
            silent: BTreeSet::new(),
            silent_to_records: BTreeSet::new(),
            unanswered: Vec::new(),
            answers: HashMap::new(),
            submitted: Vec::new(),
            services: Vec::new(),
            due: Vec::new(),
            withdrawn: Vec::new(),
            revised: Vec::new(),
            permits: Vec::new(),
            refused: Vec::new(),
            dropped_results: Vec::new(),
            hold_claims: false,
            held_claims: Vec::new(),
            asked: 0,
            next_token: 0,
        }
    }

    pub fn message(&mut self, id: &str, key: Option<&str>) -> NewMessage {
        self.next_token += 1;
        let route = if key.is_some() { "ordered" } else { "plain" };
        NewMessage {
            token: ClientToken(self.next_token),
            request_id: Arc::from(id),
            route: Arc::from(route),
            route_key: route_key(route),
            host: Arc::from("host.example"),
            method: Arc::from("POST"),
            target: Arc::from(format!("/{route}/path")),
            headers: Vec::new(),
            body: Bytes::from_static(b"body"),
            ordering_key: key.map(Arc::from),
            delay_ms: 0,
            client_timeout_ms: 500,
        }
    }

    pub fn accept(&mut self, new: NewMessage) -> ClientToken {
        let token = new.token;
        let effects = self.queue.accept(self.now, 0, new);
        self.carry_out(effects);
        token
    }

    pub fn ran(&mut self, key: MessageKey, result: RunResult) {
        let effects = self.queue.run_finished(self.now, key, result);
        self.carry_out(effects);
    }

    /// Requests a permit to send a message.
    pub fn request_send(&mut self, key: MessageKey) -> AttemptNumber {
        self.next_token += 1;
        let attempt = AttemptNumber(self.next_token);
        let effects = self.queue.request_send(self.now, key, attempt);
        self.carry_out(effects);
        attempt
    }

    pub fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendRequest { store, call, request } => self.ask(store, call, *request),
                Effect::Answer { token, answer } => {
                    assert!(self.answers.insert(token, answer).is_none(), "a client is answered once");
                }
                Effect::Submit { key, submission } => {
                    self.submitted.push(key);
                    self.services.push(submission.service);
                    self.due.push(submission.due_at);
                }
                Effect::Revise { key, submission } => self.revised.push((key, submission)),
                Effect::Withdraw { key } => self.withdrawn.push(key),
                Effect::Send { permit } => self.permits.push(permit),
                Effect::RefuseSend { attempt } => self.refused.push(attempt),
                Effect::ResultDropped { key, .. } => self.dropped_results.push(key),
            }
        }
    }

    fn ask(&mut self, store: StoreId, call: CallId, request: StoreRequest) {
        self.asked += 1;
        if self.hold_claims && matches!(request, StoreRequest::Claim { .. }) {
            self.held_claims.push((store, call, request));
            return;
        }
        let is_record = matches!(request, StoreRequest::Append { .. });
        let is_lost = is_record && self.silent_to_records.contains(&store);
        if is_lost || self.silent.contains(&store) {
            self.unanswered.push((store, call, request));
            return;
        }
        self.deliver(store, call, request);
    }

    /// Delivers the claims that were held back.
    pub fn answer_claims(&mut self) {
        self.hold_claims = false;
        for (store, call, request) in std::mem::take(&mut self.held_claims) {
            self.deliver(store, call, request);
        }
    }

    /// The store processes the request, and the queue receives the response.
    pub fn deliver(&mut self, store: StoreId, call: CallId, request: StoreRequest) {
        let response = self.process(&store, request);
        let effects = self.queue.store_answered(self.now, call, response);
        self.carry_out(effects);
    }

    pub fn process(&mut self, id: &StoreId, request: StoreRequest) -> StoreResponse {
        let store = self.stores.get_mut(id).expect("a known store");
        let acknowledged = StoreResponse::Done { store: id.clone() };
        match request {
            StoreRequest::Append { record, .. } => {
                let status = store.status(&record.name);
                if matches!(&status, Status::Open { claim, .. } if *claim > 0) {
                    return StoreResponse::Statuses { store: id.clone(), statuses: vec![status] };
                }
                store.owners.entry(record.name.clone()).or_insert((record.owner.clone(), 0));
                store.records.insert(record.name.clone(), record);
                acknowledged
            }
            StoreRequest::ListOpen { ordering_key, .. } => {
                let open = |record: &&Record| {
                    record.ordering_key.as_ref() == Some(&ordering_key)
                        && !store.ends.contains_key(&record.name)
                };
                let names = store.records.values().filter(open).map(|record| record.name.clone()).collect();
                StoreResponse::OpenMessages { store: id.clone(), names }
            }
            StoreRequest::Settle { facts } => {
                for fact in facts {
                    match fact {
                        Fact::Ended { name, end } => drop(store.ends.insert(name, end)),
                        Fact::Attempted { name, failures } => drop(store.failures.insert(name, failures)),
                    }
                }
                acknowledged
            }
            StoreRequest::Look { names } | StoreRequest::Confirm { names, .. } => {
                let statuses = names.iter().map(|name| store.status(name)).collect();
                StoreResponse::Statuses { store: id.clone(), statuses }
            }
            StoreRequest::Claim { names, owner, claim } => {
                let mut granted = true;
                for name in names {
                    let known = store.owners.get(&name).map_or(0, |(_, claim)| *claim);
                    if claim > known && !store.ends.contains_key(&name) {
                        store.owners.insert(name, (owner.clone(), claim));
                    } else {
                        granted = false;
                    }
                }
                let reason = Decline::AlreadyClaimed;
                if granted { acknowledged } else { StoreResponse::Declined { store: id.clone(), reason } }
            }
            StoreRequest::Release { names, .. } => {
                store.released.extend(names);
                acknowledged
            }
            StoreRequest::Fetch { name } => {
                StoreResponse::Found { store: id.clone(), record: store.records.get(&name).cloned() }
            }
            StoreRequest::Pull { .. } => acknowledged,
        }
    }

    /// Advances the time, timer by timer.
    pub fn run_for(&mut self, duration: Micros) {
        let until = self.now + duration;
        while let Some(at) = self.queue.wake_at().filter(|at| *at <= until) {
            self.now = at.max(self.now);
            let effects = self.queue.tick(self.now);
            self.carry_out(effects);
        }
        self.now = until;
    }

    /// The placement of all test worlds.
    pub fn placement(&self) -> Arc<Placement> {
        let entries: Vec<StoreEntry> = (0..4).map(entry).collect();
        Arc::new(Placement {
            epoch: PlacementEpoch(1),
            tolerated: 1,
            sets: vec![entries],
            ..Placement::default()
        })
    }

    pub fn group(&self, name: &MessageName) -> Vec<StoreId> {
        self.placement().groups(name.partition().expect("a partition"))[0].stores.clone()
    }

    /// Number of stores that hold a record.
    pub fn holders(&self, name: &MessageName) -> usize {
        self.stores.values().filter(|store| store.records.contains_key(name)).count()
    }

    pub fn holders_of(&self, name: &MessageName) -> Vec<StoreId> {
        let holds = |(_, store): &(&StoreId, &FakeStore)| store.records.contains_key(name);
        self.stores.iter().filter(holds).map(|(id, _)| id.clone()).collect()
    }

    /// Number of stores that know an end.
    pub fn ends(&self, name: &MessageName) -> usize {
        self.stores.values().filter(|store| store.ends.contains_key(name)).count()
    }
}

impl FakeStore {
    fn status(&self, name: &MessageName) -> Status {
        if let Some(end) = self.ends.get(name) {
            return Status::Ended(end.clone());
        }
        match self.owners.get(name) {
            Some((owner, claim)) => Status::Open {
                owner: owner.clone(),
                claim: *claim,
                failures: self.failures.get(name).copied().unwrap_or(0),
                released: self.released.contains(name),
            },
            None => Status::Unknown,
        }
    }
}

/// A world whose stores hold one message of a relay that is gone.
pub fn with_orphan() -> (World, MessageName, OrphanMessage) {
    let mut previous = World::new();
    let name = MessageName::new("a", Partition::of("a"));
    let new = previous.message("a", None);
    previous.accept(new);
    let mut world = World::new();
    world.stores = previous.stores;
    let mut record = None;
    for store in world.stores.values_mut() {
        if let Some(stored) = store.records.get_mut(&name) {
            stored.owner = owner("gone");
            store.owners.insert(name.clone(), (owner("gone"), 0));
            record = Some(stored.clone());
        }
    }
    let orphan = OrphanMessage {
        record: record.expect("a record"),
        owner: owner("gone"),
        claim: 0,
        failures: 1,
        age_ms: 10,
        away_ms: 0,
    };
    (world, name, orphan)
}

pub fn offer(world: &mut World, orphan: &OrphanMessage) {
    let notice = StoreNotice::TakeOver { messages: vec![orphan.clone()] };
    let effects = world.queue.notice(world.now, notice);
    world.carry_out(effects);
}
