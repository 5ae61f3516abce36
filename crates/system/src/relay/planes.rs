//! The state machines of a relay beside its node.

use std::collections::HashMap;
use std::sync::Arc;

use pewterseam_config::settings::Settings;
use pewterseam_delivery::{AttemptId, Delivery, DeliverySettings};
use pewterseam_discovery::{Discovery, DiscoverySettings};
use pewterseam_outbound::{ListEvent, Outbound, OutboundEvent, OutboundSettings, PlatformList};
use pewterseam_queue::{Queue, QueueSettings};
use pewterseam_wire::Micros;
use pewterseam_wire::placement::hash;
use tokio::sync::mpsc::UnboundedSender;

use super::attempt_log::{AttemptLog, SentAttempt};
use super::delivery::UnsentAttempt;
use crate::clock;
use crate::node::Node;

/// Part of the memory that bodies may take.
const BODY_PART: f64 = 0.3;
const BYTES_A_MEGABYTE: f64 = 1024.0 * 1024.0;
/// Memory that a held message takes beside its body.
const MESSAGE_BYTES: f64 = 4096.0;
/// Part of the memory that held messages may take.
const MESSAGE_PART: f64 = 0.2;
/// Part of the descriptors that calls to hosts may take.
const CALL_FILES_PART: f64 = 0.3;
const CONNECT_TIMEOUT: Micros = 1_000_000;
const IDLE_CLOSE: Micros = 4_000_000;
const DEFAULT_LIST_RATE: f64 = 10.0;

/// The state machines and what carries out their effects.
pub struct Planes {
    pub queue: Queue,
    pub delivery: Delivery,
    pub delivery_wake: Micros,
    pub hosts: Outbound,
    /// Attempts that are out.
    pub attempts: HashMap<AttemptId, SentAttempt>,
    pub attempt_log: AttemptLog,
    /// Attempts that wait for their permit to send.
    pub unsent: HashMap<AttemptId, UnsentAttempt>,
    pub discovery: Discovery,
    pub discovery_wake: Micros,
    pub platform: Option<PlatformList>,
    pub list_events: UnboundedSender<ListEvent>,
}

impl Planes {
    pub fn new(
        node: &Node, settings: &Settings, hosts: UnboundedSender<OutboundEvent>,
        list_events: UnboundedSender<ListEvent>,
    ) -> Self {
        let platform = platform(settings, &list_events);
        Planes {
            queue: Queue::new(queue_settings(node, settings), node.now()),
            delivery: Delivery::new(delivery_settings(node, settings)),
            delivery_wake: 0,
            hosts: Outbound::new(OutboundSettings::default(), hosts),
            attempts: HashMap::new(),
            attempt_log: AttemptLog::default(),
            unsent: HashMap::new(),
            discovery: Discovery::new(discovery_settings(node, settings)),
            discovery_wake: 0,
            platform,
            list_events,
        }
    }
}

/// The caller of the platform's list, where the settings name one.
pub fn platform(settings: &Settings, events: &UnboundedSender<ListEvent>) -> Option<PlatformList> {
    settings.cloud_api.map(|api| PlatformList::new(api.address, events.clone()))
}

fn queue_settings(node: &Node, settings: &Settings) -> QueueSettings {
    let memory = settings.limits.memory_mb * BYTES_A_MEGABYTE;
    QueueSettings {
        owner: node.owner(),
        zone: Arc::from(settings.zone.as_str()),
        max_body_bytes: (memory * BODY_PART) as usize,
        max_clock_error: settings.bounds.max_skew().as_micros() as Micros,
        max_messages: (memory * MESSAGE_PART / MESSAGE_BYTES) as usize,
    }
}

/// How long the core's word holds. It is renewed four times in this span, and outlasts a change of the core's leader.
pub fn core_lease(settings: &Settings) -> Micros {
    settings.bounds.contact().as_micros() as Micros
}

/// A number that differs between processes.
fn seed(node: &Node) -> u64 {
    hash(node.info().name.0.as_bytes(), clock::wall())
}

fn delivery_settings(node: &Node, settings: &Settings) -> DeliverySettings {
    DeliverySettings {
        me: node.info().name.clone(),
        life: node.info().life.0,
        seed: seed(node),
        slots: (settings.limits.max_files as f64 * CALL_FILES_PART) as usize,
        connect_timeout: CONNECT_TIMEOUT,
        idle_close: IDLE_CLOSE,
        origin_window: settings.bounds.origin_window().as_micros() as Micros,
        origin_overshoot: settings.bounds.origin_overshoot(),
        bootstrap: settings.bootstrap,
        core_lease: core_lease(settings),
        homes_are_agreed: true,
    }
}

fn discovery_settings(node: &Node, settings: &Settings) -> DiscoverySettings {
    DiscoverySettings {
        me: node.info().name.clone(),
        life: node.info().life.0,
        seed: seed(node),
        rate_per_s: settings.cloud_api.map_or(DEFAULT_LIST_RATE, |api| api.rate_per_s),
    }
}
