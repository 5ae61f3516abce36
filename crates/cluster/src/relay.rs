//! A relay at work, driven as `pewterseam_system::relay` does it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_config::CompiledConfig;
use pewterseam_control::Serving;
use pewterseam_delivery::{
    AttemptId, Delivery, DeliverySettings, Effect, Input as DeliveryInput, Outcome,
    Submission as DeliverySubmission,
};
use pewterseam_queue::{
    Answer, AttemptNumber, CallId, ClientToken, Effect as QueueEffect, MessageKey, NewMessage, Queue,
    QueueSettings, RunResult, Submission,
};
use pewterseam_wire::Micros;
use pewterseam_wire::identity::{NodeName, Owner, Role};
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::store::{StoreRequest, StoreResponse};

use crate::disk::LogName;
use crate::event::{Input, Origin, Output};
use crate::message::PeerMessage;
use crate::node::{Node, NodeEvent};
use crate::plan::{MILLISECOND, Planted, SECOND};
use crate::planted::HeldBack;
use crate::reads::{FIRST_READ_CALL, Reads};
use crate::sends::UnsentAttempt;
use crate::stopping::Stopping;

const MOST_BODY_BYTES: usize = 8 * 1024 * 1024;
/// `maxSkewMs`.
pub(crate) const CLOCK_ERROR: Micros = 20 * SECOND;
const MOST_MESSAGES: usize = 4_000;
const CALL_SLOTS: usize = 300;
const CONNECT_TIMEOUT: Micros = SECOND;
const IDLE_CLOSE: Micros = 4 * SECOND;
/// `contactMs`.
const CORE_LEASE: Micros = 4 * SECOND;

/// A relay at work.
pub struct RelayProcess {
    pub node: Node,
    pub(crate) queue: Queue,
    delivery: Delivery,
    delivery_wake: Micros,
    pub(crate) attempts: BTreeMap<AttemptId, u64>,
    pub(crate) unsent: BTreeMap<AttemptId, UnsentAttempt>,
    pub(crate) config: Arc<CompiledConfig>,
    pub(crate) held_back: HeldBack,
    pub(crate) clients: BTreeSet<u64>,
    pub(crate) reads: Reads,
    calls: BTreeMap<SocketAddr, BTreeSet<CallId>>,
    pub(crate) queue_effects: VecDeque<QueueEffect>,
    pub(crate) delivery_inputs: Vec<DeliveryInput>,
    core_lease_until: Micros,
    pub(crate) stopping: Option<Stopping>,
    is_ready: bool,
    serving: Serving,
    pub(crate) planted: Option<Planted>,
}

impl RelayProcess {
    pub fn new(node: Node, bootstrap: bool, seed: u64, planted: Option<Planted>) -> Self {
        let queue_settings = QueueSettings {
            owner: node.owner(),
            zone: node.info().zone.clone(),
            max_body_bytes: MOST_BODY_BYTES,
            max_messages: MOST_MESSAGES,
            max_clock_error: CLOCK_ERROR,
        };
        let delivery_settings = DeliverySettings {
            me: node.info().name.clone(),
            life: node.info().life.0,
            seed,
            slots: CALL_SLOTS,
            connect_timeout: CONNECT_TIMEOUT,
            idle_close: IDLE_CLOSE,
            origin_window: 5 * SECOND,
            origin_overshoot: 1.1,
            bootstrap,
            core_lease: CORE_LEASE,
            homes_are_agreed: node.as_deployed,
        };
        RelayProcess {
            queue: Queue::new(queue_settings, node.now),
            delivery: Delivery::new(delivery_settings),
            delivery_wake: 0,
            attempts: BTreeMap::new(),
            unsent: BTreeMap::new(),
            config: Arc::new(CompiledConfig::default()),
            held_back: HeldBack::default(),
            clients: BTreeSet::new(),
            reads: Reads::default(),
            calls: BTreeMap::new(),
            queue_effects: VecDeque::new(),
            delivery_inputs: Vec::new(),
            core_lease_until: 0,
            stopping: None,
            is_ready: false,
            serving: Serving::default(),
            planted,
            node,
        }
    }

    /// Whether the platform passes new connections to this relay.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    pub fn next_wake(&self) -> Micros {
        let queue = self.queue.wake_at().unwrap_or(Micros::MAX);
        let stopping = self.stopping.as_ref().map_or(Micros::MAX, Stopping::next_wake);
        [self.node.next_wake(), queue, self.delivery_wake, stopping]
            .into_iter()
            .chain(self.reads.next_deadline())
            .fold(Micros::MAX, Micros::min)
    }

    /// Does what is due and carries out everything that follows.
    pub fn work(&mut self) {
        for event in self.node.tick() {
            self.node_event(event);
        }
        self.use_held_back();
        self.renew_core_lease();
        let now = self.node.now;
        if self.queue.wake_at().is_some_and(|at| at <= now) {
            let effects = self.queue.tick(now);
            self.queue_effects.extend(effects);
        }
        if self.delivery_wake <= now {
            self.delivery_inputs.push(DeliveryInput::Tick);
        }
        self.expire_reads();
        self.settle();
        self.go_on_stopping(now);
        self.settle();
        self.update_readiness();
    }

    fn renew_core_lease(&mut self) {
        let until = self.node.confirmed_at().map_or(0, |confirmed| confirmed + CORE_LEASE);
        if until > self.core_lease_until {
            self.core_lease_until = until;
            self.delivery_inputs.push(DeliveryInput::CoreLease { until });
        }
    }

    pub(crate) fn settle(&mut self) {
        loop {
            while let Some(effect) = self.queue_effects.pop_front() {
                self.carry_out_queue(effect);
            }
            if self.delivery_inputs.is_empty() {
                return;
            }
            let inputs = std::mem::take(&mut self.delivery_inputs);
            for effect in self.delivery.step(self.node.now, inputs) {
                self.carry_out_delivery(effect);
            }
        }
    }

    fn node_event(&mut self, event: NodeEvent) {
        match event {
            NodeEvent::Members => self.members_changed(),
            NodeEvent::InForce(state) => self.in_force(&state),
            NodeEvent::Answered { token, outcome } => {
                self.node.out.push(Output::Operator { token, outcome });
            }
            NodeEvent::Restarted => self.queue.set_owner(self.node.owner()),
        }
    }

    pub fn input(&mut self, input: Input) {
        match input {
            Input::Wake | Input::Datagram { .. } => {}
            Input::Message { origin, message } => self.received(origin, message),
            Input::Lost(Origin::Dialed(address)) => self.store_lost(address),
            Input::Lost(Origin::Accepted(_)) => {}
            Input::Disk(LogName::Control, event) => self.node.control_log_event(event),
            Input::Disk(LogName::Messages, _) => {}
            Input::Client(new) => self.client(*new),
            Input::ReadStatus { read, name } => self.read_status(read, &name),
            Input::ReadBody { read, name } => self.read_body(read, &name),
            Input::Operator { token, request } => self.operator(token, request),
            Input::Host(input) => {
                if let DeliveryInput::Ended { attempt, .. } = &input {
                    self.attempts.remove(attempt);
                }
                let input = self.believed(input);
                self.delivery_inputs.push(input);
            }
            Input::Stop => self.begin_stopping(),
        }
    }

    /// A client hands in a message; the door and the front of the real process in one.
    fn client(&mut self, new: NewMessage) {
        let is_closed = self.stopping.as_ref().is_some_and(|stopping| stopping.is_closed);
        let has_stores = !self.node.state().placement.sets.is_empty();
        if is_closed || self.config.version == 0 || !has_stores {
            let answer = Answer::Declined { retry_after_ms: 0 };
            self.node.out.push(Output::Answer { token: new.token.0, answer });
            return;
        }
        if self.config.route(&new.host, &new.target).is_none() {
            self.node.out.push(Output::NoRoute { token: new.token.0 });
        }
        self.clients.insert(new.token.0);
        let effects = self.queue.accept(self.node.now, self.node.wall, new);
        self.queue_effects.extend(effects);
    }

    fn received(&mut self, origin: Origin, message: PeerMessage) {
        match message {
            PeerMessage::StoreResponse { call, response } => self.store_answered(origin, call, *response),
            PeerMessage::Notice(notice) => {
                let effects = self.queue.notice(self.node.now, notice);
                self.queue_effects.extend(effects);
            }
            PeerMessage::Control { from, message } => self.node.control_message(&from, *message),
            PeerMessage::Delivery { from, bytes } => {
                self.delivery_inputs.push(DeliveryInput::Peer { from, bytes });
            }
            PeerMessage::StoreRequest { .. } => {}
        }
    }

    fn store_answered(&mut self, origin: Origin, call: u64, response: StoreResponse) {
        if call >= FIRST_READ_CALL {
            self.read_answered(call, response);
            return;
        }
        let call = CallId(call);
        if let Origin::Dialed(address) = origin
            && let Some(calls) = self.calls.get_mut(&address)
        {
            calls.remove(&call);
        }
        let effects = self.queue.store_answered(self.node.now, call, response);
        self.queue_effects.extend(effects);
    }

    fn store_lost(&mut self, address: SocketAddr) {
        for call in self.calls.remove(&address).unwrap_or_default() {
            let effects = self.queue.store_failed(self.node.now, call);
            self.queue_effects.extend(effects);
        }
    }

    fn members_changed(&mut self) {
        let (mut stores, mut relays) = (BTreeSet::new(), Vec::<NodeName>::new());
        let mut owners = BTreeSet::new();
        for info in self.node.live() {
            match (info.role, info.disk) {
                (Role::Store, Some(disk)) => drop(stores.insert(StoreId { name: info.name.clone(), disk })),
                (Role::Store, None) => {}
                (Role::Relay, _) => {
                    relays.push(info.name.clone());
                    owners.insert(Owner { name: info.name.clone(), life: info.life });
                }
            }
        }
        self.queue.set_live_stores(stores);
        self.queue.set_live_relays(owners);
        self.delivery_inputs.push(DeliveryInput::Relays(relays));
    }

    fn carry_out_queue(&mut self, effect: QueueEffect) {
        match effect {
            QueueEffect::SendRequest { store, call, request } => self.ask_store(&store, call, request),
            QueueEffect::Answer { token: ClientToken(token), answer } => {
                if self.clients.remove(&token) {
                    self.node.out.push(Output::Answer { token, answer });
                }
            }
            QueueEffect::Submit { key, submission } => self.submit(key, submission),
            QueueEffect::Revise { key, submission } => {
                let submission = self.delivery_submission(key, submission);
                self.delivery_inputs.push(DeliveryInput::Update(submission));
            }
            QueueEffect::Withdraw { key } => {
                self.delivery_inputs.push(DeliveryInput::Withdraw { key: key.0 });
            }
            QueueEffect::Send { permit } => self.send(&permit),
            QueueEffect::RefuseSend { attempt } => self.refuse_send(attempt),
            QueueEffect::ResultDropped { .. } => {}
        }
    }

    fn submit(&mut self, key: MessageKey, submission: Submission) {
        if self.forgets(key) {
            return;
        }
        let submission = self.delivery_submission(key, submission);
        self.delivery_inputs.push(DeliveryInput::Submit(submission));
    }

    fn delivery_submission(&self, key: MessageKey, submission: Submission) -> DeliverySubmission {
        DeliverySubmission {
            key: key.0,
            service: submission.service,
            priority: submission.priority,
            timeout: submission.timeout_ms * MILLISECOND,
            due_at: submission.due_at,
            schedule_target: submission.schedule_target_ms * MILLISECOND,
            failures: submission.failures,
        }
    }

    fn ask_store(&mut self, store: &StoreId, call: CallId, request: Box<StoreRequest>) {
        if let Some(response) = self.forged(store, &request) {
            let effects = self.queue.store_answered(self.node.now, call, response);
            self.queue_effects.extend(effects);
            return;
        }
        let Some(to) = self.node.address_of_store(store) else {
            let effects = self.queue.store_failed(self.node.now, call);
            self.queue_effects.extend(effects);
            return;
        };
        self.calls.entry(to).or_default().insert(call);
        let message = PeerMessage::StoreRequest { call: call.0, request };
        self.node.out.push(Output::Send { to, message });
    }

    fn carry_out_delivery(&mut self, effect: Effect) {
        match effect {
            Effect::Start { attempt, key, target, timeout, confirm, .. } => {
                self.request_send(attempt, MessageKey(key), UnsentAttempt { target, timeout, confirm });
            }
            Effect::Abort { attempt } if self.unsent.contains_key(&attempt) => {
                self.refuse_send(AttemptNumber(attempt.0));
            }
            Effect::Finished { key, outcome } => {
                let result = match outcome {
                    Outcome::Completed { signature } => RunResult::Completed { signature },
                    Outcome::Failed if self.has(Planted::ForgottenFailures) => RunResult::NotRun,
                    Outcome::Failed => RunResult::Failed,
                    Outcome::Refused => RunResult::Refused,
                };
                let effects = self.queue.run_finished(self.node.now, MessageKey(key), result);
                self.queue_effects.extend(effects);
            }
            Effect::SendToRelay { to, bytes } => {
                let from = self.node.info().name.clone();
                self.node.send(&to, PeerMessage::Delivery { from, bytes });
            }
            Effect::Wake(at) => self.delivery_wake = at,
            Effect::Dropped { .. } | Effect::ReportHome { .. } => {}
            Effect::Withhold { attempt } => {
                self.attempts.remove(&attempt);
                self.node.out.push(Output::Withhold(attempt));
            }
            Effect::Write { attempt } => {
                let times = if self.has(Planted::DoubledWrites) { 2 } else { 1 };
                self.node.out.extend((0..times).map(|_| Output::Write(attempt)));
            }
            Effect::Abort { attempt } => self.node.out.push(Output::Abort(attempt)),
            Effect::Probe { host, target, .. } => self.node.out.push(Output::Probe { host, target }),
            Effect::CloseIdle { address } => self.node.out.push(Output::CloseIdle { address }),
        }
    }

    fn update_readiness(&mut self) {
        let serves = self.can_serve();
        let ready = self.stopping.is_none() && serves;
        if self.is_ready != ready {
            self.is_ready = ready;
            self.node.set_ready(ready);
        }
    }

    fn can_serve(&mut self) -> bool {
        let others = self.node.live().count() - 1;
        let serves = self.serving.until(self.node.now, self.node.contact(), others, SECOND).is_some();
        serves && self.node.has_joined() && self.config.version > 0 && self.has_stores()
    }

    fn has_stores(&self) -> bool {
        let placement = &self.node.state().placement;
        let Some(set) = placement.sets.last() else { return false };
        let is_live = |id: &StoreId| {
            let fits = |info: &pewterseam_wire::identity::NodeInfo| {
                info.role == Role::Store && info.name == id.name && info.disk == Some(id.disk)
            };
            self.node.live().any(|info| fits(info))
        };
        let live = set.iter().filter(|entry| is_live(&entry.id)).count();
        live > usize::from(placement.tolerated).min(set.len().saturating_sub(1))
    }
}
