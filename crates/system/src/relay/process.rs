//! A relay at work: inputs go to the state machines, their effects to sockets and to each other.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use pewterseam_config::CompiledConfig;
use pewterseam_config::settings::Settings;
use pewterseam_control::Serving;
use pewterseam_delivery::Input as DeliveryInput;
use pewterseam_ingress::{Front, Stopper};
use pewterseam_queue::{Answer, CallId, ClientToken, Effect as QueueEffect};
use pewterseam_transport::{Origin, TransportEvent};
use pewterseam_wire::Micros;
use tokio::sync::{oneshot, watch};

use super::front::HeldMessage;
use super::operators::OperatorCalls;
use super::planes::{Planes, core_lease};
use super::readiness::Readiness;
use super::reads::Reads;
use super::start::DoorFailure;
use super::stopping::Stopping;
use crate::message::PeerMessage;
use crate::node::{Node, NodeEvent};
use crate::settings_file::SettingsFile;
use crate::signals::Notice;

/// How often the settings file is looked at, and counters and idle connections are tended.
const TEND_PERIOD: Micros = 2_000_000;

/// A relay at work.
pub struct RelayProcess {
    pub node: Node,
    pub(super) planes: Planes,
    pub(super) settings: Settings,
    pub(super) file: SettingsFile,
    pub(super) config: Arc<ArcSwap<CompiledConfig>>,
    /// Tells the door once a configuration is known.
    pub(super) configured: watch::Sender<bool>,
    pub(super) door: Front,
    pub(super) stopper: Stopper,
    pub(super) readiness: Readiness,
    pub(super) was_ready: bool,
    /// This process was ready before.
    pub(super) has_been_ready: bool,
    pub(super) serving: Serving,
    failure: DoorFailure,
    /// Clients that wait for the answer to a message.
    pub(super) clients: HashMap<ClientToken, oneshot::Sender<Answer>>,
    pub(super) last_client: u64,
    /// Clients' messages that cannot be taken yet, as this relay has just started.
    pub(super) held: Vec<HeldMessage>,
    pub(super) reads: Reads,
    pub(super) operators: OperatorCalls,
    /// Requests of the queue that are out, by the address that they went to.
    pub(super) calls: HashMap<SocketAddr, HashSet<CallId>>,
    pub(super) queue_effects: VecDeque<QueueEffect>,
    pub(super) delivery_inputs: Vec<DeliveryInput>,
    /// Until when delivery may act on the word of the core.
    core_lease_until: Micros,
    pub(super) stopping: Option<Stopping>,
    tend_at: Micros,
}

impl RelayProcess {
    #[expect(clippy::too_many_arguments, reason = "the parts are assembled in one place")]
    pub fn new(
        node: Node, planes: Planes, settings: Settings, file: SettingsFile,
        config: Arc<ArcSwap<CompiledConfig>>, configured: watch::Sender<bool>, door: Front, stopper: Stopper,
        readiness: Readiness, failure: DoorFailure,
    ) -> Self {
        RelayProcess {
            node,
            planes,
            settings,
            file,
            config,
            configured,
            door,
            stopper,
            readiness,
            was_ready: false,
            has_been_ready: false,
            serving: Serving::default(),
            failure,
            clients: HashMap::new(),
            last_client: 0,
            held: Vec::new(),
            reads: Reads::default(),
            operators: OperatorCalls::default(),
            calls: HashMap::new(),
            queue_effects: VecDeque::new(),
            delivery_inputs: Vec::new(),
            core_lease_until: 0,
            stopping: None,
            tend_at: 0,
        }
    }

    /// Whether the process has nothing left to do and may end.
    pub fn is_done(&self) -> bool {
        self.failure.borrow().is_some() || self.has_stopped()
    }

    /// When [`RelayProcess::work`] is wanted at the latest.
    pub fn next_wake(&self) -> Micros {
        let planes = &self.planes;
        let queue = planes.queue.wake_at().unwrap_or(Micros::MAX);
        let stopping = self.stopping.as_ref().map_or(Micros::MAX, Stopping::next_wake);
        [self.node.next_wake(), queue, planes.delivery_wake, planes.discovery_wake, stopping, self.tend_at]
            .into_iter()
            .chain(self.reads.next_deadline())
            .chain(self.held.iter().map(|held| held.until))
            .fold(Micros::MAX, Micros::min)
    }

    /// Does what is due and carries out everything that follows.
    pub fn work(&mut self) {
        for event in self.node.tick() {
            self.node_event(event);
        }
        self.renew_core_lease();
        let now = self.node.now();
        if self.planes.queue.wake_at().is_some_and(|at| at <= now) {
            let effects = self.planes.queue.tick(now);
            self.queue_effects.extend(effects);
        }
        if self.planes.delivery_wake <= now {
            self.delivery_inputs.push(DeliveryInput::Tick);
        }
        if self.planes.discovery_wake <= now {
            self.planes.discovery_wake = Micros::MAX;
            self.discover(pewterseam_discovery::Input::Tick);
        }
        self.expire_reads(now);
        self.take_held(now);
        // Danger: an end that has arrived and is not booked makes a message that has run look as if it had not.
        self.settle();
        self.go_on_stopping(now);
        if self.tend_at <= now {
            self.tend_at = now + TEND_PERIOD;
            self.tend();
        }
        self.settle();
        self.update_readiness();
    }

    /// Tells delivery of each confirmation by a majority of the core.
    ///
    /// Danger: a relay that was cut off may find another one granting permits for a service that it was the home of.
    fn renew_core_lease(&mut self) {
        let length = core_lease(&self.settings);
        let until = self.node.confirmed_at().map_or(0, |confirmed| confirmed + length);
        if until > self.core_lease_until {
            self.core_lease_until = until;
            self.delivery_inputs.push(DeliveryInput::CoreLease { until });
        }
    }

    /// Has the queue and the delivery plane exchange what they owe each other until nothing is left.
    pub(super) fn settle(&mut self) {
        loop {
            while let Some(effect) = self.queue_effects.pop_front() {
                self.carry_out_queue(effect);
            }
            if self.delivery_inputs.is_empty() {
                return;
            }
            self.step_delivery();
        }
    }

    fn node_event(&mut self, event: NodeEvent) {
        match event {
            NodeEvent::Members => self.members_changed(),
            NodeEvent::InForce(state) => self.in_force(&state),
            NodeEvent::Answered { token, outcome } => self.operators.answer(token, outcome),
            NodeEvent::Restarted(_) => self.planes.queue.set_owner(self.node.owner()),
        }
    }

    /// Something happened on a connection.
    pub fn transport(&mut self, event: TransportEvent<PeerMessage>) {
        match event {
            TransportEvent::Received { from, message } => self.received(from, message),
            TransportEvent::Lost(Origin::Dialed(address)) => self.store_lost(address),
            TransportEvent::Lost(Origin::Accepted(_)) => {}
        }
    }

    fn received(&mut self, origin: Origin, message: PeerMessage) {
        match message {
            PeerMessage::StoreResponse { call, response } => self.store_answered(origin, call, *response),
            PeerMessage::Notice(notice) => self.store_notice(notice),
            PeerMessage::Control { from, message } => self.node.control_message(&from, *message),
            PeerMessage::Delivery { from, bytes } => {
                self.delivery_inputs.push(DeliveryInput::Peer { from, bytes });
            }
            PeerMessage::List { from, bytes } => {
                self.discover(pewterseam_discovery::Input::Peer { from, bytes });
            }
            PeerMessage::StoreRequest { .. } => {}
        }
    }

    /// The platform signals.
    pub fn signal(&mut self, notice: Notice) {
        match notice {
            Notice::Stop => self.begin_stopping(),
            Notice::Reload => {
                let read = self.file.read();
                self.reload(read);
            }
        }
    }

    /// Hands what was sent last to the sockets before the process ends.
    pub async fn flush(&mut self) {
        const TRIES: u32 = 20;
        const PAUSE: std::time::Duration = std::time::Duration::from_millis(10);
        for _ in 0..TRIES {
            tokio::time::sleep(PAUSE).await;
            if self.node.transport.is_flushed() {
                return;
            }
        }
    }
}
