//! What every process of the system has: membership, control, and connections to the others.

mod control_log;
mod member_cache;
mod owners;
mod report;

use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_config::CompiledConfig;
use pewterseam_config::settings::Settings;
use pewterseam_control::{
    Contact, Control, ControlError, ControlMessage, Effect as ControlEffect, OperatorRequest, Outcome, Token,
};
use pewterseam_membership::{Effect as MemberEffect, MemberChange, Membership, MembershipSettings, Status};
use pewterseam_storage::WriterEvent;
use pewterseam_transport::{Transport, TransportEvent};
use pewterseam_wire::Micros;
use pewterseam_wire::control::ControlState;
use pewterseam_wire::identity::{DiskId, Life, NodeInfo, NodeName, Owner, Role};
use pewterseam_wire::placement::{PlacementEpoch, StoreId};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::clock::{self, SteadyClock};
use crate::error::SystemError;
use crate::message::PeerMessage;
use control_log::{ControlLog, control_settings};
use member_cache::MemberCache;
use owners::EndedLives;

/// What a process learns from its node.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// Somebody came, changed or went.
    Members,
    /// Agreed state, newer than all before.
    InForce(Arc<ControlState>),
    /// An operator's call is decided.
    Answered { token: Token, outcome: Outcome },
    /// The system knew a later life of this node.
    Restarted(Life),
}

/// What a process waits for on behalf of its node.
pub struct NodeInputs {
    pub datagrams: Arc<UdpSocket>,
    pub transport: mpsc::UnboundedReceiver<TransportEvent<PeerMessage>>,
    pub control_log: mpsc::UnboundedReceiver<WriterEvent>,
}

/// The part of a process that keeps it in touch with the others.
pub struct Node {
    pub clock: SteadyClock,
    membership: Membership,
    control: Control,
    control_log: ControlLog,
    member_cache: Option<MemberCache>,
    datagrams: Arc<UdpSocket>,
    pub transport: Transport<PeerMessage>,
    ended: EndedLives,
    members_changed: bool,
    events: Vec<NodeEvent>,
}

impl Node {
    /// Starts to talk to the others. `disk` is the identity of the data folder, where there is one.
    pub fn start(
        settings: &Settings, role: Role, disk: Option<DiskId>,
    ) -> Result<(Node, NodeInputs), SystemError> {
        let clock = SteadyClock::start();
        let now = clock.now();
        let seed = clock::wall() ^ u64::from(std::process::id()) << 40;
        let info = node_info(settings, role, disk);
        let address = info.peer_address;
        let seeds = peer_seeds(settings);
        let datagrams = pewterseam_transport::bind_udp(address);
        let datagrams = Arc::new(datagrams.map_err(|error| SystemError::Bind { address, error })?);
        let (transport, transport_events) = Transport::new();
        let is_core = role == Role::Relay && disk.is_some();
        let (control_log, recovered, log_events) = ControlLog::open(settings, is_core)?;
        let control = Control::new(now, &info, control_settings(settings, &seeds), recovered, seed)?;
        let mut membership = Membership::new(now, info, seeds, MembershipSettings::default(), seed);
        let cached = settings.data_dir.as_ref().and_then(|path| MemberCache::open(path, now));
        let member_cache = cached.map(|(cache, addresses)| {
            membership.remember(addresses);
            cache
        });
        let node = Node {
            clock,
            membership,
            control,
            control_log,
            member_cache,
            datagrams: datagrams.clone(),
            transport: transport.clone(),
            ended: EndedLives::default(),
            members_changed: false,
            events: Vec::new(),
        };
        tokio::task::spawn_local(async move {
            if let Err(error) = transport.listen(address).await {
                log::error!("{error}");
            }
        });
        Ok((node, NodeInputs { datagrams, transport: transport_events, control_log: log_events }))
    }

    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    pub fn info(&self) -> &Arc<NodeInfo> {
        self.membership.own()
    }

    /// This process as an owner of messages.
    pub fn owner(&self) -> Owner {
        let info = self.membership.own();
        Owner { name: info.name.clone(), life: info.life }
    }

    /// All live members, this one included.
    pub fn live(&self) -> impl Iterator<Item = &Arc<NodeInfo>> {
        self.membership.live().chain(std::iter::once(self.membership.own()))
    }

    pub fn ended_lives(&self) -> Vec<Owner> {
        self.ended.all()
    }

    /// When the last question was sent that a majority of the core has confirmed since.
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.control.confirmed_at()
    }

    /// Whether this process is in touch with a majority of the core at this moment. A process that stood still finds out
    /// here that it is not, before it answers anything.
    pub fn contact(&self) -> Contact {
        self.control.contact(self.now())
    }

    /// Whether this process has met others.
    pub fn has_joined(&self) -> bool {
        self.membership.has_joined()
    }

    pub fn state(&self) -> &Arc<ControlState> {
        self.control.state()
    }

    /// The newest agreed configuration, compiled.
    pub fn config(&self) -> Result<Arc<CompiledConfig>, ControlError> {
        self.control.config()
    }

    /// Where a live node is reached.
    pub fn address_of(&self, name: &NodeName) -> Option<SocketAddr> {
        self.live().find(|info| info.name == *name).map(|info| info.peer_address)
    }

    /// Where a store with this disk is reached, if it lives.
    pub fn address_of_store(&self, id: &StoreId) -> Option<SocketAddr> {
        let (info, status) = self.membership.get(&id.name)?;
        let is_live = matches!(status, Status::Alive | Status::Suspect);
        (is_live && info.disk == Some(id.disk)).then_some(info.peer_address)
    }

    /// Sends a message to a node, if it is known to live.
    pub fn send(&self, to: &NodeName, message: &PeerMessage) {
        if let Some(address) = self.address_of(to) {
            self.send_to(address, message);
        }
    }

    pub fn send_to(&self, address: SocketAddr, message: &PeerMessage) {
        if let Err(error) = self.transport.send(address, message) {
            log::warn!("a message to {address} is dropped: {error}");
        }
    }

    /// When [`Node::tick`] is due.
    pub fn next_wake(&self) -> Micros {
        let cache = self.member_cache.as_ref().map_or(Micros::MAX, MemberCache::next_wake);
        self.membership.next_wake().min(self.control.next_wake()).min(self.control_log.next_wake()).min(cache)
    }

    /// Does what is due, and tells what has happened since the last call.
    pub fn tick(&mut self) -> Vec<NodeEvent> {
        let now = self.now();
        self.control_log.retry(now);
        if let Some(cache) = &mut self.member_cache {
            cache.write(now, self.membership.live().map(|info| info.peer_address));
        }
        if now >= self.membership.next_wake() {
            let effects = self.membership.tick(now);
            self.member_effects(effects);
        }
        if now >= self.control.next_wake() {
            let effects = self.control.tick(now);
            self.control_effects(effects);
        }
        if std::mem::take(&mut self.members_changed) {
            self.events.push(NodeEvent::Members);
        }
        std::mem::take(&mut self.events)
    }

    pub fn datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        match self.membership.datagram(self.now(), from, bytes) {
            Ok(effects) => self.member_effects(effects),
            Err(error) => log::debug!("a datagram of {from} is passed over: {error}"),
        }
    }

    /// A message of control arrived.
    pub fn control_message(&mut self, from: &NodeName, message: ControlMessage) {
        let effects = self.control.message(self.now(), from, message);
        self.control_effects(effects);
    }

    /// The control log has done something.
    pub fn control_log_event(&mut self, event: WriterEvent) {
        if let Some(sequence) = self.control_log.event(self.now(), event) {
            let effects = self.control.persisted(self.now(), sequence);
            self.control_effects(effects);
        }
    }

    pub fn operator(&mut self, token: Token, request: OperatorRequest) {
        let effects = self.control.operator(self.now(), token, request);
        self.control_effects(effects);
    }

    /// The store of this process holds what the placement of this epoch asks for.
    pub fn copied(&mut self, store: StoreId, epoch: PlacementEpoch) {
        let effects = self.control.copied(self.now(), store, epoch);
        self.control_effects(effects);
    }

    /// Tells the others whether this process takes new work.
    pub fn set_ready(&mut self, ready: bool) {
        let effects = self.membership.set_ready(self.now(), ready);
        self.member_effects(effects);
    }

    /// The settings file names other seeds.
    pub fn set_seeds(&mut self, settings: &Settings) {
        let effects = self.membership.set_seeds(self.now(), peer_seeds(settings));
        self.member_effects(effects);
    }

    /// Tells the others that this process goes.
    pub fn leave(&mut self) {
        let effects = self.membership.leave();
        self.member_effects(effects);
    }

    fn member_effects(&mut self, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::Send { to, datagram } => {
                    // Danger: none. A datagram that is not sent counts as lost.
                    let _ = self.datagrams.try_send_to(&datagram, to);
                }
                MemberEffect::Changed(change) => self.member_changed(&change),
                MemberEffect::PeerDigest { name, digest } => {
                    let effects = self.control.peer_digest(self.now(), &name, digest);
                    self.control_effects(effects);
                }
                MemberEffect::Restarted { life } => self.events.push(NodeEvent::Restarted(life)),
                MemberEffect::Wake(_) => {}
            }
        }
    }

    fn member_changed(&mut self, change: &MemberChange) {
        self.members_changed = true;
        if let Some(cache) = &mut self.member_cache {
            cache.change();
        }
        match change {
            MemberChange::Down { info, left } => {
                log::info!(
                    "{} in life {} is {}",
                    info.name,
                    info.life.0,
                    if *left { "gone" } else { "dead" }
                );
                self.ended.add(Owner { name: info.name.clone(), life: info.life });
                self.transport.hang_up(info.peer_address);
            }
            MemberChange::Up(info) => {
                log::info!("{} is there in life {}", info.name, info.life.0);
                self.ended.remove(&Owner { name: info.name.clone(), life: info.life });
            }
            MemberChange::Updated(_) => {}
        }
        let effects = self.control.member(self.now(), change);
        self.control_effects(effects);
    }

    fn control_effects(&mut self, effects: Vec<ControlEffect>) {
        for effect in effects {
            match effect {
                ControlEffect::Send { to, message } => {
                    let from = self.membership.own().name.clone();
                    self.send(&to, &PeerMessage::Control { from, message: Box::new(message) });
                }
                ControlEffect::Persist { records, sequence } => self.control_log.append(records, sequence),
                ControlEffect::Snapshot { snapshot, sequence } => {
                    self.control_log.snapshot(snapshot, sequence);
                }
                ControlEffect::InForce(state) => {
                    self.membership.set_digest(state.index);
                    self.events.push(NodeEvent::InForce(state));
                }
                ControlEffect::Answer { token, outcome } => {
                    self.events.push(NodeEvent::Answered { token, outcome });
                }
                ControlEffect::Contact(_) | ControlEffect::Wake(_) => {}
            }
        }
    }
}

/// Seeds are named by the addresses of their operator's API; the others' port is the same on all machines.
fn peer_seeds(settings: &Settings) -> Vec<SocketAddr> {
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), settings.port_range.0)).collect()
}

fn node_info(settings: &Settings, role: Role, disk: Option<DiskId>) -> NodeInfo {
    NodeInfo {
        name: NodeName::new(&settings.node_name),
        life: Life(clock::wall() / clock::MICROS_A_MILLISECOND),
        role,
        peer_address: SocketAddr::new(settings.ip, settings.port_range.0),
        zone: Arc::from(settings.zone.as_str()),
        region: Arc::from(settings.region.as_str()),
        disk,
        counts_for_quorum: settings.counts_for_quorum,
        ready: false,
    }
}
