//! The configurations that operators send, and what relays make of them.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_config::{CompiledConfig, Route};
use pewterseam_wire::Micros;
use pewterseam_wire::record::RouteKey;

use crate::plan::{SECOND, Scenario};

/// Arrivals a second that the limited service allows.
pub const RATE_PER_S: u32 = 8;
/// Answers of 500 after which a message has ended.
pub const MOST_ATTEMPTS: u32 = 4;
/// Time of one attempt.
pub const TIMEOUT_MS: u64 = 600;
/// `retentionS`.
const RETENTION: Micros = 90 * SECOND;
/// The same on days that outlast it.
const SHORT_RETENTION: Micros = 8 * SECOND;
const LEAST_TARGET_MS: u64 = 400;
const MORE_TARGET_MS: u64 = 400;

/// Routes of the configurations, each with its service.
pub const PLAIN: &str = "plain";
pub const ORDERED: &str = "ordered";
pub const LIMITED: &str = "limited";
/// Routes that changes drop and add.
pub const PASSING: [&str; 2] = ["passing-a", "passing-b"];
/// A route that nobody uses; its number tells changes from each other.
pub const MARK: &str = "mark";

/// The host of all routes.
pub const HOST: &str = "h.example";

/// What makes a route the same one in each configuration.
pub fn route_key(route: &str) -> RouteKey {
    RouteKey { hostname: Arc::from(HOST), path_prefix: Arc::from(format!("/{route}/")) }
}

/// `retentionS` of all routes.
pub fn retention(scenario: Scenario) -> Micros {
    if scenario == Scenario::LongDays { SHORT_RETENTION } else { RETENTION }
}

/// The endpoint of the limited service.
pub fn limited_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 3], 8_000))
}

/// The service that runs the messages of a passing route, by the mark of the change.
pub fn passing_service(route: &str, mark: u64) -> &'static str {
    let place = PASSING.iter().position(|name| *name == route).unwrap_or(0);
    if mark >> place & 1 == 0 { PLAIN } else { ORDERED }
}

/// What routes are called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Naming {
    /// Each by its prefix, in every configuration.
    ByPrefix,
    /// By their places in a configuration, so that a route that is dropped or added gives its name to the next one.
    Numbered,
}

impl Naming {
    fn name(self, route: &str, place: usize) -> String {
        match self {
            Naming::ByPrefix => route.to_owned(),
            Naming::Numbered => format!("route-{place}"),
        }
    }
}

fn route(name: &str, called: &str, mark: u64, retention: Micros) -> String {
    let (fifo, retention_s) = (name == ORDERED, retention / SECOND);
    let service = match name {
        PLAIN | ORDERED | LIMITED => name,
        name if PASSING.contains(&name) => passing_service(name, mark),
        _ => PLAIN,
    };
    // Only that of the mark tells the change.
    let schedule_target_ms = if name == MARK { mark } else { LEAST_TARGET_MS + mark % MORE_TARGET_MS };
    format!(
        r#"{{"name":"{called}","hostname":"{HOST}","pathPrefix":"/{name}/","type":"async","timeoutMs":{TIMEOUT_MS},"targetLatencyMs":80,"priority":1,"backend":"{service}","maxAttempts":{MOST_ATTEMPTS},"fifo":{fifo},"retentionS":{retention_s}.0,"callbackUrl":false,"scheduleTargetMs":{schedule_target_ms}}}"#
    )
}

fn service(name: &str) -> String {
    let (rate, address) = match name {
        LIMITED => (RATE_PER_S, format!("\"{}\"", limited_address())),
        _ => (0, "null".to_owned()),
    };
    format!(
        r#"{{"name":"{name}","healthPath":"/health","maxConns":60,"protocol":"h1","tls":false,"ratePerS":{rate}.0,"idempotent":false,"pullMode":false,"static":{address}}}"#
    )
}

/// Routes of a configuration of this mark.
fn routes(names: &[&str], mark: u64, retention: Micros, naming: Naming) -> String {
    let places = names.iter().chain(&[MARK]).enumerate();
    let all = places.map(|(place, name)| route(name, &naming.name(name, place), mark, retention));
    all.collect::<Vec<String>>().join(",")
}

/// The route of a configuration that has this prefix.
fn has_prefix(route: &Route, name: &str) -> bool {
    route.path_prefix.trim_matches('/') == name
}

/// A whole configuration, told from others by its mark, with these routes beside the usual ones, and with so many
/// that nobody uses.
pub fn document(
    version: u64, mark: u64, passing: &[&str], unused: usize, retention: Micros, naming: Naming,
) -> Bytes {
    let names = [PLAIN, ORDERED, LIMITED];
    let unused: Vec<String> = (0..unused).map(|number| format!("unused-{number}")).collect();
    let unused: Vec<&str> = unused.iter().map(String::as_str).collect();
    let routes = routes(&[passing, &names, &unused].concat(), mark, retention, naming);
    let services = names.map(service).join(",");
    Bytes::from(format!(
        r#"{{"version":{version},"routes":[{routes}],"backends":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    ))
}

/// A change to one, that adds some of the passing routes and drops the others.
pub fn patch(version: u64, mark: u64, passing: &[&str], retention: Micros) -> Bytes {
    let routes = routes(&[&[PLAIN], passing].concat(), mark, retention, Naming::ByPrefix);
    let dropped = PASSING.iter().filter(|name| !passing.contains(name));
    let dropped: Vec<String> = dropped.map(|name| format!("\"{name}\"")).collect();
    let dropped = dropped.join(",");
    Bytes::from(format!(
        r#"{{"version":{version},"upsert":{{"routes":[{routes}]}},"delete":{{"routes":[{dropped}]}}}}"#
    ))
}

/// The passing routes that a configuration has.
pub fn passing_routes(text: &[u8]) -> Vec<&'static str> {
    let Ok(compiled) = CompiledConfig::compile(text) else { return Vec::new() };
    let has = |name: &&'static str| compiled.routes().any(|route| has_prefix(route, name));
    PASSING.into_iter().filter(has).collect()
}

/// The mark of the change that led to a configuration; 0 before the first.
pub fn mark(text: &[u8]) -> Option<u64> {
    let compiled = CompiledConfig::compile(text).ok()?;
    let marked = compiled.routes().find(|route| has_prefix(route, MARK));
    Some(marked.map_or(0, |route| route.schedule_target_ms as u64))
}
