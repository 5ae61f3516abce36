//! The operator, who moves a route between two services, again and again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use pewterseam_wire::random::Random;

use crate::cluster::Cluster;
use crate::http;
use crate::judge::Judge;
use crate::plan::Service;

const PATIENCE: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(100);
const LEAST_PAUSE_MS: usize = 200;
/// Now and then a change lasts for longer than `configApplyMs`.
const MORE_PAUSE_MS: usize = 5_000;
pub const LEAST_TIMEOUT_MS: usize = 600;
const MORE_TIMEOUT_MS: usize = 600;
pub const HOSTNAME: &str = "soak.example";
/// The path of messages whose route moves.
pub const MOVED: &str = "/moved/";
/// The path of messages with an ordering key.
pub const ORDERED: &str = "/ordered/";
/// The path of messages to the limited service.
pub const LIMITED: &str = "/limited/";
/// Requests a second that the limited service takes.
pub const LIMITED_RATE: f64 = 100.0;

fn route(name: &str, path: &str, service: Service, fifo: bool, timeout_ms: usize) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"{HOSTNAME}","pathPrefix":"{path}","type":"async","timeoutMs":{timeout_ms},"targetLatencyMs":100,"priority":1,"backend":"{}","maxAttempts":12,"fifo":{fifo},"retentionS":300.0,"callbackUrl":false,"scheduleTargetMs":500}}"#,
        service.name()
    )
}

fn backend(service: Service, limited_host: SocketAddr) -> String {
    let (rate, host) = match service {
        Service::Limited => (LIMITED_RATE, format!("\"{limited_host}\"")),
        Service::Left | Service::Right => (0.0, "null".to_owned()),
    };
    format!(
        r#"{{"name":"{}","healthPath":"/health","maxConns":200,"protocol":"h1","tls":false,"ratePerS":{rate:.1},"idempotent":false,"pullMode":false,"static":{host}}}"#,
        service.name()
    )
}

fn document(version: u64, service: Service, limited_host: SocketAddr) -> String {
    let routes = [
        route("moved", MOVED, service, false, LEAST_TIMEOUT_MS),
        route("ordered", ORDERED, Service::Right, true, LEAST_TIMEOUT_MS),
        route("limited", LIMITED, Service::Limited, false, LEAST_TIMEOUT_MS),
    ];
    let backends = Service::ALL.map(|service| backend(service, limited_host)).join(",");
    format!(
        r#"{{"version":{version},"routes":[{}],"backends":[{backends}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}

fn patch(version: u64, service: Service, timeout_ms: usize) -> String {
    let route = route("moved", MOVED, service, false, timeout_ms);
    format!(r#"{{"version":{version},"upsert":{{"routes":[{route}]}}}}"#)
}

/// A change that is sent until it has a clear answer.
struct Order<'a> {
    method: &'a str,
    body: String,
    if_match: u64,
    version: u64,
    service: Service,
}

/// Sends an order to one relay after the other. True once it is acknowledged, false where it is refused.
fn send(cluster: &Cluster, judge: &Judge, random: &mut Random, order: &Order<'_>) -> bool {
    judge.change_sent(order.version, order.service);
    let if_match = order.if_match.to_string();
    let headers =
        [("Host", "control"), ("If-Match", if_match.as_str()), ("Content-Type", "application/json")];
    loop {
        let relays = cluster.relays();
        let relay = &relays[random.below(relays.len())];
        let answer = http::call(relay.control(), order.method, "/-/config", &headers, &order.body, PATIENCE);
        match answer.map(|answer| answer.status) {
            Some(200) => {
                judge.change_acknowledged(order.version);
                return true;
            }
            Some(status @ (400 | 409 | 412 | 422)) => {
                judge.change_refused(order.version);
                judge.breach(format!("CONFIG: version {} is refused with {status}", order.version));
                return false;
            }
            _ => thread::sleep(PAUSE),
        }
    }
}

/// Puts the first configuration.
pub fn configure(cluster: &Cluster, judge: &Judge, random: &mut Random, limited_host: SocketAddr) {
    let service = Service::Left;
    let order =
        Order { method: "PUT", body: document(1, service, limited_host), if_match: 0, version: 1, service };
    send(cluster, judge, random, &order);
}

/// Makes changes until told to end.
pub fn operate(cluster: &Cluster, judge: &Judge, random: &mut Random, is_over: &AtomicBool) {
    let mut version = 1;
    while !is_over.load(Ordering::Relaxed) {
        let next = version + 1 + random.below(3) as u64;
        let service = Service::of(random);
        let timeout_ms = LEAST_TIMEOUT_MS + random.below(MORE_TIMEOUT_MS);
        let body = patch(next, service, timeout_ms);
        let order = Order { method: "PATCH", body, if_match: version, version: next, service };
        if !send(cluster, judge, random, &order) {
            return;
        }
        version = next;
        thread::sleep(Duration::from_millis((LEAST_PAUSE_MS + random.below(MORE_PAUSE_MS)) as u64));
    }
}
