//! Measures parts of a relay: `cargo run --release -p pewterseam-hollow --example relay`. Held messages in the queue,
//! homes of limited services when the relays change, rounds of delivery with few of many services in use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use pewterseam_delivery::{
    Delivery, DeliverySettings, Input as DeliveryInput, Instance, ServiceConfig, Submission,
};
use pewterseam_hollow::memory::resident_bytes;
use pewterseam_hollow::site;
use pewterseam_permits::{Permits, Settings as PermitSettings};
use pewterseam_queue::{
    ClientToken, Effect, NewMessage, Queue, QueueSettings, RoutePolicy, RouteTable, RunResult,
};
use pewterseam_wire::identity::{DiskId, Life, NodeName, Owner};
use pewterseam_wire::placement::{Placement, PlacementEpoch, StoreEntry, StoreId};
use pewterseam_wire::record::RouteKey;
use pewterseam_wire::store::StoreResponse;

const SECOND: u64 = 1_000_000;
const BODY_BYTES: usize = 1_000;
const ZONES: usize = 19;

fn micros(start: Instant, count: usize) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn store(number: usize) -> StoreEntry {
    let id = StoreId { name: NodeName::new(&format!("store-{number:05}")), disk: DiskId(number as u64) };
    StoreEntry { id, zone: Arc::from(format!("zone-{}", number % ZONES)) }
}

fn route_key() -> RouteKey {
    RouteKey { hostname: Arc::from("host17.example"), path_prefix: Arc::from("/p17/") }
}

fn new_message(number: usize, body: &Bytes) -> NewMessage {
    NewMessage {
        token: ClientToken(number as u64),
        request_id: Arc::from(format!("request-{number:012}")),
        route: Arc::from("route"),
        route_key: route_key(),
        host: Arc::from("host17.example"),
        method: Arc::from("POST"),
        target: Arc::from("/p17/order"),
        headers: vec![(Arc::from("content-type"), Arc::from("application/json"))],
        body: body.clone(),
        ordering_key: None,
        delay_ms: 0,
        client_timeout_ms: 500,
    }
}

fn queue_of(stores: usize) -> Queue {
    let settings = QueueSettings {
        owner: Owner { name: site::name(1), life: Life(1) },
        zone: Arc::from("zone-1"),
        max_body_bytes: 1 << 33,
        max_messages: 10_000_000,
        max_clock_error: 0,
    };
    let mut queue = Queue::new(settings, 1_000);
    let set: Vec<StoreEntry> = (0..stores).map(store).collect();
    queue.set_live_stores(set.iter().map(|entry| entry.id.clone()).collect());
    let placement =
        Placement { epoch: PlacementEpoch(1), tolerated: 1, sets: vec![set], ..Placement::default() };
    queue.set_placement(1_000, Arc::new(placement));
    let policy = RoutePolicy {
        service: Arc::from("service"),
        priority: 1,
        timeout_ms: 500,
        schedule_target_ms: 500,
        max_attempts: 2,
        retention_ms: 90_000,
    };
    let routes = [(route_key(), policy)].into_iter().collect();
    queue.set_routes(1_000, Arc::new(RouteTable { version: 1, routes }));
    queue
}

/// Accepts messages, which two stores acknowledge, and ends them.
fn queue(stores: usize, count: usize) {
    let (mut queue, body) = (queue_of(stores), Bytes::from_static(&[b'x'; BODY_BYTES]));
    let (mut accept, mut answer, mut submitted) = (0.0, 0.0, Vec::with_capacity(count));
    let memory = resident_bytes();
    for number in 0..count {
        let now = 1_000 + number as u64;
        let start = Instant::now();
        let effects = queue.accept(now, SECOND, new_message(number, &body));
        accept += micros(start, count);
        for effect in effects {
            let Effect::SendRequest { store, call, .. } = effect else { continue };
            let start = Instant::now();
            let effects = queue.store_answered(now, call, StoreResponse::Done { store });
            answer += micros(start, count);
            submitted.extend(effects.into_iter().filter_map(|effect| match effect {
                Effect::Submit { key, .. } => Some(key),
                _ => None,
            }));
        }
    }
    let held = queue.len();
    let each = (resident_bytes() - memory) as f64 / held.max(1) as f64;
    let start = Instant::now();
    let now = SECOND;
    let run = submitted.len();
    for key in submitted {
        let signature = Arc::from("0123456789abcdef0123456789abcdef");
        queue.run_finished(now, key, RunResult::Completed { signature });
    }
    let ended = micros(start, run.max(1));
    println!("| {stores} | {count} | {held} | {accept:.2} | {answer:.2} | {ended:.2} | {each:.0} |");
}

/// Relays change where some services are limited.
fn permits(relays: usize, limited: usize) {
    let names: Vec<NodeName> = (0..relays).map(site::name).collect();
    let settings = PermitSettings {
        me: names[0].clone(),
        life: 1,
        window: 5 * SECOND,
        overshoot: 1.1,
        bootstrap: false,
        core_lease: 3 * SECOND,
        homes_are_agreed: false,
    };
    let mut permits = Permits::new(settings);
    permits.set_core_lease(SECOND, u64::MAX);
    let memory = resident_bytes();
    let services = (0..limited).map(|number| (Arc::from(format!("service-{number:06}")), 39.0));
    permits.set_services(SECOND, services);
    let start = Instant::now();
    permits.set_relays(SECOND, &names);
    let first = micros(start, 1) / 1e3;
    let start = Instant::now();
    permits.set_relays(2 * SECOND, &names[..relays - 1]);
    let change = micros(start, 1) / 1e3;
    let start = Instant::now();
    drop(permits.step(3 * SECOND));
    let step = micros(start, 1) / 1e3;
    let start = Instant::now();
    drop(permits.step(4 * SECOND));
    let again = micros(start, 1) / 1e3;
    let bytes = (resident_bytes() - memory) / limited as u64;
    println!("| {relays} | {limited} | {first:.2} | {change:.2} | {step:.3} | {again:.3} | {bytes} |");
}

fn service(number: usize, rate_per_s: f64) -> ServiceConfig {
    ServiceConfig {
        name: Arc::from(format!("service-{number:06}")),
        rate_per_s,
        max_connections: 0,
        static_address: None,
        idempotent: true,
        health_path: Arc::from("/health"),
    }
}

fn instance(number: usize) -> Instance {
    Instance {
        id: Arc::from(format!("instance-{number:07}")),
        service: Arc::from(format!("service-{number:06}")),
        address: SocketAddr::from(([10, 200 + (number >> 16) as u8, (number >> 8) as u8, number as u8], 80)),
        zone: Arc::from("zone-1"),
        slots: 8,
        ready: true,
        cold_remaining_ms: 0,
    }
}

/// Rounds of delivery of a relay that knows many services and uses few.
fn delivery(services: usize, used: usize, rate_per_s: f64) {
    const RELAYS: usize = 100;
    const MESSAGES: usize = 2_000;
    let settings = DeliverySettings {
        me: site::name(0),
        life: 1,
        seed: 17,
        slots: 10_000,
        connect_timeout: SECOND,
        idle_close: 4 * SECOND,
        origin_window: 5 * SECOND,
        origin_overshoot: 1.1,
        bootstrap: false,
        core_lease: 3 * SECOND,
        homes_are_agreed: false,
    };
    let memory = resident_bytes();
    let mut machine = Delivery::new(settings);
    let relays = (0..RELAYS).map(site::name).collect();
    let start = Instant::now();
    let configuration = (0..services).map(|number| service(number, rate_per_s)).collect();
    machine
        .step(SECOND, [DeliveryInput::CoreLease { until: u64::MAX }, DeliveryInput::Services(configuration)]);
    let configured = micros(start, 1) / 1e3;
    let start = Instant::now();
    machine.step(SECOND + 1, [DeliveryInput::Relays(relays)]);
    let told = micros(start, 1) / 1e3;
    let start = Instant::now();
    machine.step(SECOND + 2, [DeliveryInput::Hosts((0..services).map(instance).collect())]);
    let listed = micros(start, 1) / 1e3;
    let bytes = (resident_bytes() - memory) / services as u64;
    let mut now = 2 * SECOND;
    let start = Instant::now();
    let mut effects = 0;
    for number in 0..MESSAGES {
        now += 1_000;
        let submission = Submission {
            key: number as u64 + 1,
            service: Arc::from(format!("service-{:06}", number % used)),
            priority: 1,
            timeout: SECOND,
            due_at: now,
            schedule_target: SECOND,
            failures: 0,
        };
        effects += machine.step(now, [DeliveryInput::Submit(submission)]).len();
    }
    let step = micros(start, MESSAGES);
    println!(
        "| {services} | {used} | {rate_per_s} | {configured:.2} | {told:.2} | {listed:.2} | {step:.1} | {bytes} | {effects} |"
    );
}

fn main() {
    println!("| stores | messages | held | accept, us | answers, us | end, us | bytes a held message |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (stores, count) in [(4, 10_000), (4, 100_000), (17, 50_000), (200, 20_000), (2_000, 2_000)] {
        queue(stores, count);
    }
    println!(
        "\n| relays | limited services | first relays, ms | a change, ms | step, ms | next step, ms | bytes each |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (relays, limited) in
        [(300, 10), (300, 100), (1_000, 100), (3_800, 100), (1_000, 1_000), (300, 10_000)]
    {
        permits(relays, limited);
    }
    println!(
        "\n| services | in use | rate | services, ms | relays, ms | list, ms | submit step, us | bytes each | effects |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (services, used, rate) in [
        (100, 100, 0.0),
        (1_000, 100, 0.0),
        (10_000, 100, 0.0),
        (100, 100, 39.0),
        (1_000, 100, 39.0),
        (5_000, 100, 39.0),
    ] {
        delivery(services, used, rate);
    }
}
