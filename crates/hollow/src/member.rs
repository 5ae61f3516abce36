//! One hollow relay: the machines of a relay without traffic, as `crates/system` wires them.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use pewterseam_config::CompiledConfig;
use pewterseam_control::{
    Control, ControlError, ControlSettings, Effect as ControlEffect, OperatorRequest, Token,
};
use pewterseam_delivery::{Delivery, DeliverySettings, Effect as DeliveryEffect, Input as DeliveryInput};
use pewterseam_delivery::{Instance, ServiceConfig};
use pewterseam_discovery::{Discovery, DiscoverySettings, Effect as ListEffect, Input as ListInput, Page};
use pewterseam_membership::{Effect as MemberEffect, MemberChange, Membership, MembershipSettings};
use pewterseam_system::message::PeerMessage;
use pewterseam_wire::Micros;
use pewterseam_wire::control::ControlState;
use pewterseam_wire::frame;
use pewterseam_wire::identity::NodeName;

use crate::site;
use crate::usage::{Plane, Usage};

const SECOND: Micros = 1_000_000;
const CORE_LEASE: Micros = 3 * SECOND;
const SLOTS: usize = 1_000;
const LIST_CALLS_A_SECOND: f64 = 10.0;
const ORIGIN_WINDOW: Micros = 5 * SECOND;
const ORIGIN_OVERSHOOT: f64 = 1.1;

/// What comes to a member over the network, from its disk or from the platform.
#[derive(Clone, Debug)]
pub enum Arrival {
    Datagram { from: SocketAddr, bytes: Vec<u8> },
    Frame(BytesMut),
    Persisted { sequence: u64 },
    Paged { call: pewterseam_discovery::CallId, page: Page },
}

/// A hollow relay.
pub struct Member {
    index: usize,
    pub membership: Membership,
    pub control: Control,
    discovery: Discovery,
    discovery_wake: Micros,
    delivery: Delivery,
    delivery_wake: Micros,
    delivery_inputs: Vec<DeliveryInput>,
    members_changed: bool,
    /// The version of the configuration in force.
    pub version: u64,
    pub usage: Usage,
    pub inbox: Vec<Arrival>,
    pub outbox: Vec<(usize, Arrival)>,
    page: Arc<Page>,
    now: Micros,
}

impl Member {
    /// Starts a member. `bootstrap` is true at the first start of the whole system.
    pub fn start(
        now: Micros, index: usize, life: u64, bootstrap: bool, page: Arc<Page>,
    ) -> Result<Self, ControlError> {
        let info = site::info(index, life);
        let seeds: Vec<SocketAddr> = (0..site::CORE).map(site::address).collect();
        let seed = (index as u64) << 20 | life;
        let control_settings = ControlSettings { bootstrap, seeds: seeds.clone(), ..Default::default() };
        let control = Control::new(now, &info, control_settings, (None, Vec::new()), seed)?;
        let discovery =
            DiscoverySettings { me: info.name.clone(), life, seed, rate_per_s: LIST_CALLS_A_SECOND };
        let delivery = DeliverySettings {
            me: info.name.clone(),
            life,
            seed,
            slots: SLOTS,
            connect_timeout: SECOND,
            idle_close: 4 * SECOND,
            origin_window: ORIGIN_WINDOW,
            origin_overshoot: ORIGIN_OVERSHOOT,
            bootstrap,
            core_lease: CORE_LEASE,
            homes_are_agreed: false,
        };
        Ok(Member {
            index,
            membership: Membership::new(now, info, seeds, MembershipSettings::default(), seed),
            control,
            discovery: Discovery::new(discovery),
            discovery_wake: 0,
            delivery: Delivery::new(delivery),
            delivery_wake: 0,
            delivery_inputs: vec![DeliveryInput::CoreLease { until: Micros::MAX }],
            members_changed: true,
            version: 0,
            usage: Usage::default(),
            inbox: Vec::new(),
            outbox: Vec::new(),
            page,
            now,
        })
    }

    /// Takes in what has arrived and does what is due.
    pub fn run(&mut self, now: Micros) {
        self.now = now;
        for arrival in std::mem::take(&mut self.inbox) {
            self.arrived(arrival);
        }
        if now >= self.membership.next_wake() {
            let effects = self.usage.time(Plane::Membership, || self.membership.tick(now));
            self.member_effects(effects);
        }
        if now >= self.control.next_wake() {
            let effects = self.usage.time(Plane::Control, || self.control.tick(now));
            self.control_effects(effects);
        }
        if std::mem::take(&mut self.members_changed) {
            self.tell_members();
        }
        if now >= self.discovery_wake {
            self.discover(ListInput::Tick);
        }
        if now >= self.delivery_wake || !self.delivery_inputs.is_empty() {
            self.step_delivery();
        }
    }

    /// An operator's call.
    pub fn operator(&mut self, now: Micros, token: u64, request: OperatorRequest) {
        let effects = self.usage.time(Plane::Control, || self.control.operator(now, Token(token), request));
        self.control_effects(effects);
    }

    /// Tells the others that this member goes.
    pub fn leave(&mut self) {
        let effects = self.usage.time(Plane::Membership, || self.membership.leave());
        self.member_effects(effects);
    }

    fn arrived(&mut self, arrival: Arrival) {
        let now = self.now;
        match arrival {
            Arrival::Datagram { from, bytes } => {
                let effects =
                    self.usage.time(Plane::Membership, || self.membership.datagram(now, from, &bytes));
                self.member_effects(effects.unwrap_or_default());
            }
            Arrival::Frame(mut bytes) => {
                if let Ok(Some(message)) = frame::read_frame::<PeerMessage>(&mut bytes) {
                    self.received(message);
                }
            }
            Arrival::Persisted { sequence } => {
                let effects = self.usage.time(Plane::Control, || self.control.persisted(now, sequence));
                self.control_effects(effects);
            }
            Arrival::Paged { call, page } => self.discover(ListInput::PageReceived { call, page }),
        }
    }

    fn received(&mut self, message: PeerMessage) {
        let now = self.now;
        match message {
            PeerMessage::Control { from, message } => {
                let effects = self.usage.time(Plane::Control, || self.control.message(now, &from, *message));
                self.control_effects(effects);
            }
            PeerMessage::Delivery { from, bytes } => {
                self.delivery_inputs.push(DeliveryInput::Peer { from, bytes });
            }
            PeerMessage::List { from, bytes } => self.discover(ListInput::Peer { from, bytes }),
            _ => {}
        }
    }

    fn member_effects(&mut self, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::Send { to, datagram } => self.send_datagram(to, datagram),
                MemberEffect::Changed(change) => self.member_changed(&change),
                MemberEffect::PeerDigest { name, digest } => {
                    let now = self.now;
                    let effects =
                        self.usage.time(Plane::Control, || self.control.peer_digest(now, &name, digest));
                    self.control_effects(effects);
                }
                MemberEffect::Restarted { .. } | MemberEffect::Wake(_) => {}
            }
        }
    }

    fn send_datagram(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        self.usage.sent(Plane::Membership, bytes.len());
        if let Some(index) = site::index_of_address(to) {
            self.outbox.push((index, Arrival::Datagram { from: site::address(self.index), bytes }));
        }
    }

    fn member_changed(&mut self, change: &MemberChange) {
        self.members_changed = true;
        let now = self.now;
        let effects = self.usage.time(Plane::Control, || self.control.member(now, change));
        self.control_effects(effects);
    }

    fn control_effects(&mut self, effects: Vec<ControlEffect>) {
        for effect in effects {
            match effect {
                ControlEffect::Send { to, message } => {
                    let from = site::name(self.index);
                    let message = PeerMessage::Control { from, message: Box::new(message) };
                    self.send_frame(Plane::Control, &to, &message);
                }
                ControlEffect::Persist { sequence, .. } | ControlEffect::Snapshot { sequence, .. } => {
                    self.outbox.push((self.index, Arrival::Persisted { sequence }));
                }
                ControlEffect::InForce(state) => self.in_force(&state),
                ControlEffect::Answer { .. } | ControlEffect::Contact(_) | ControlEffect::Wake(_) => {}
            }
        }
    }

    fn in_force(&mut self, state: &ControlState) {
        self.membership.set_digest(state.index);
        if state.config.version == self.version {
            return;
        }
        self.version = state.config.version;
        let compiled = self.usage.time(Plane::Configuration, || CompiledConfig::compile(&state.config.text));
        let Ok(compiled) = compiled else { return };
        let services = compiled.services().map(|service| ServiceConfig {
            name: service.name.clone(),
            rate_per_s: service.rate_per_s,
            max_connections: service.max_conns,
            static_address: None,
            idempotent: service.idempotent,
            health_path: Arc::from("/health"),
        });
        self.delivery_inputs.push(DeliveryInput::Services(services.collect()));
    }

    fn send_frame(&mut self, plane: Plane, to: &NodeName, message: &PeerMessage) {
        let mut buffer = BytesMut::new();
        if frame::write_frame(&mut buffer, message).is_err() {
            return;
        }
        self.usage.sent(plane, buffer.len());
        if let Some(index) = site::index_of_name(to) {
            self.outbox.push((index, Arrival::Frame(buffer)));
        }
    }

    fn tell_members(&mut self) {
        let own = self.membership.own().clone();
        let mut relays = Vec::with_capacity(self.membership.live_count() + 1);
        let mut neighbours = Vec::new();
        for info in self.membership.live().chain(std::iter::once(&own)) {
            relays.push(info.name.clone());
            if info.region == own.region {
                neighbours.push(info.name.clone());
            }
        }
        self.delivery_inputs.push(DeliveryInput::Relays(relays));
        self.discover(ListInput::Relays(neighbours));
    }

    fn discover(&mut self, input: ListInput) {
        let now = self.now;
        let effects = self.usage.time(Plane::Discovery, || self.discovery.step(now, input));
        for effect in effects {
            match effect {
                ListEffect::RequestPage { call, .. } => {
                    let page = Page::clone(&self.page);
                    self.outbox.push((self.index, Arrival::Paged { call, page }));
                }
                ListEffect::SendToRelay { to, bytes } => {
                    let from = site::name(self.index);
                    self.send_frame(Plane::Discovery, &to, &PeerMessage::List { from, bytes });
                }
                ListEffect::Changed(list) => {
                    let hosts = list.instances().map(|listed| instance(listed)).collect();
                    self.delivery_inputs.push(DeliveryInput::Hosts(hosts));
                }
                ListEffect::Wake(at) => self.discovery_wake = at,
            }
        }
    }

    fn step_delivery(&mut self) {
        let (now, inputs) = (self.now, std::mem::take(&mut self.delivery_inputs));
        let effects = self.usage.time(Plane::Delivery, || self.delivery.step(now, inputs));
        for effect in effects {
            match effect {
                DeliveryEffect::SendToRelay { to, bytes } => self.tell_delivery(&to, bytes),
                DeliveryEffect::Wake(at) => self.delivery_wake = at,
                _ => {}
            }
        }
    }

    fn tell_delivery(&mut self, to: &NodeName, bytes: Bytes) {
        let from = site::name(self.index);
        self.send_frame(Plane::Delivery, to, &PeerMessage::Delivery { from, bytes });
    }
}

fn instance(listed: &pewterseam_discovery::ListedInstance) -> Instance {
    Instance {
        id: listed.id.clone(),
        service: listed.service.clone(),
        address: listed.address,
        zone: listed.zone.clone(),
        slots: listed.slots,
        ready: listed.ready,
        cold_remaining_ms: listed.cold_remaining_ms,
    }
}
