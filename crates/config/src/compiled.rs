//! A configuration in the form in which it is in force.

use std::collections::HashMap;
use std::sync::Arc;

use pewterseam_wire::record::{RouteKey, without_port};
use serde::Deserialize;

use crate::document::{BACKENDS, Fields, LIMITS, ROUTES, read_raw};
use crate::error::ConfigError;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// A route. Times are milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    pub name: Arc<str>,
    /// In lower case, without a port.
    pub hostname: Arc<str>,
    pub path_prefix: Arc<str>,
    /// The name of the service that runs its messages.
    pub backend: Arc<str>,
    #[serde(default, rename = "type")]
    pub kind: Option<Arc<str>>,
    /// For a single delivery.
    pub timeout_ms: f64,
    /// For the 202.
    #[serde(default)]
    pub target_latency_ms: f64,
    /// For the start of a run.
    #[serde(default)]
    pub schedule_target_ms: f64,
    /// 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Answers of 500 after which a message is given up; 0 means no limit.
    #[serde(default)]
    pub max_attempts: u32,
    #[serde(default)]
    pub fifo: bool,
    /// None: no end.
    #[serde(default)]
    pub retention_s: Option<f64>,
}

impl Route {
    /// What makes it the same route in another configuration.
    pub fn key(&self) -> RouteKey {
        RouteKey { hostname: self.hostname.clone(), path_prefix: self.path_prefix.clone() }
    }

    /// The retention in whole milliseconds; the greatest number where none is given.
    pub fn retention_ms(&self) -> u64 {
        self.retention_s.map_or(u64::MAX, |seconds| (seconds * MILLISECONDS_PER_SECOND) as u64)
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Service {
    pub name: Arc<str>,
    #[serde(default)]
    pub health_path: Option<Arc<str>>,
    /// Connections that one host takes from all callers; 0 means no limit.
    #[serde(default)]
    pub max_conns: u32,
    #[serde(default)]
    pub protocol: Option<Arc<str>>,
    #[serde(default)]
    pub tls: bool,
    /// 0 means no limit.
    #[serde(default)]
    pub rate_per_s: f64,
    #[serde(default)]
    pub idempotent: bool,
    #[serde(default)]
    pub pull_mode: bool,
    /// The address of a service that stands on no list.
    #[serde(default, rename = "static")]
    pub static_address: Option<Arc<str>>,
}

/// Limits of connections that clients open.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    pub max_header_bytes: u64,
    pub max_body_bytes: u64,
    pub header_timeout_ms: f64,
    pub idle_timeout_ms: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            header_timeout_ms: 3_000.0,
            idle_timeout_ms: 15_000.0,
        }
    }
}

/// The routes of one host, sorted by prefix. The longest prefix of a path is the last entry that does not sort after
/// it, or one of that entry's parents.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct HostRoutes {
    pub routes: Vec<Arc<Route>>,
    /// The entry with the longest prefix that is a proper prefix of this entry's.
    parents: Vec<Option<usize>>,
}

impl HostRoutes {
    /// Sorts the routes, and tells which have the same prefix.
    pub(crate) fn link(&mut self, errors: &mut Vec<ConfigError>) {
        self.routes.sort_by(|a, b| a.path_prefix.cmp(&b.path_prefix));
        self.parents = Vec::with_capacity(self.routes.len());
        for index in 0..self.routes.len() {
            let prefix = &self.routes[index].path_prefix;
            let mut parent = index.checked_sub(1);
            while let Some(candidate) = parent {
                if prefix.starts_with(&*self.routes[candidate].path_prefix) {
                    break;
                }
                parent = self.parents[candidate];
            }
            self.parents.push(parent);
        }
        for pair in self.routes.windows(2).filter(|pair| pair[0].path_prefix == pair[1].path_prefix) {
            let (route, other) = (pair[1].name.to_string(), pair[0].name.to_string());
            errors.push(ConfigError::SharedPrefix { route, other });
        }
    }

    fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let mut next = self.routes.partition_point(|route| *route.path_prefix <= *path).checked_sub(1);
        while let Some(index) = next {
            if path.starts_with(&*self.routes[index].path_prefix) {
                return self.routes.get(index);
            }
            next = self.parents[index];
        }
        None
    }
}

/// A configuration in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompiledConfig {
    pub version: u64,
    pub limits: Limits,
    pub(crate) services: HashMap<Arc<str>, Arc<Service>>,
    pub(crate) hosts: HashMap<Arc<str>, Arc<HostRoutes>>,
    pub(crate) names: HashMap<Arc<str>, Arc<Route>>,
}

impl CompiledConfig {
    /// Reads a document. An empty text is the state before the first configuration. All faults are told, except those
    /// of fields that only [`crate::Checker`] finds.
    pub fn compile(text: &[u8]) -> Result<Self, Vec<ConfigError>> {
        if text.is_empty() {
            return Ok(CompiledConfig::default());
        }
        let fields = Fields::read(text).map_err(|error| vec![error])?;
        let mut errors = Vec::new();
        let version = fields.version().unwrap_or_else(|error| note(&mut errors, error, 0));
        let limits = fields.get(LIMITS).map(read_raw).transpose();
        let limits = limits.unwrap_or_else(|error| note(&mut errors, error, None)).unwrap_or_default();
        let mut compiled = CompiledConfig { version, limits, ..CompiledConfig::default() };
        compiled.add_services(&fields, &mut errors);
        compiled.add_routes(&fields, &mut errors);
        if errors.is_empty() { Ok(compiled) } else { Err(errors) }
    }

    fn add_services(&mut self, fields: &Fields<'_>, errors: &mut Vec<ConfigError>) {
        for item in fields.list(BACKENDS).unwrap_or_else(|error| note(errors, error, Vec::new())) {
            match read_raw::<Service>(item) {
                Ok(service) => {
                    let name = service.name.clone();
                    if self.services.insert(name.clone(), Arc::new(service)).is_some() {
                        errors.push(ConfigError::DuplicateName { list: BACKENDS, name: name.to_string() });
                    }
                }
                Err(error) => errors.push(error),
            }
        }
    }

    fn add_routes(&mut self, fields: &Fields<'_>, errors: &mut Vec<ConfigError>) {
        for item in fields.list(ROUTES).unwrap_or_else(|error| note(errors, error, Vec::new())) {
            match read_raw::<Route>(item) {
                Ok(route) => self.add_route(route, errors),
                Err(error) => errors.push(error),
            }
        }
        for host in self.hosts.values_mut() {
            Arc::make_mut(host).link(errors);
        }
    }

    pub(crate) fn add_route(&mut self, mut route: Route, errors: &mut Vec<ConfigError>) {
        let name = route.name.to_string();
        if route.timeout_ms.is_nan() || route.timeout_ms <= 0.0 {
            errors.push(ConfigError::Field {
                item: format!("route {name}"),
                reason: "timeoutMs is not above 0".into(),
            });
        }
        match self.services.get(&route.backend) {
            // One allocation for all routes of a service.
            Some(service) => route.backend = service.name.clone(),
            None => {
                let service = route.backend.to_string();
                errors.push(ConfigError::UnknownService { route: name.clone(), service });
            }
        }
        let host = normal_host(&route.hostname);
        // One allocation for all routes of a host.
        let host =
            self.hosts.get_key_value(&*host).map_or_else(|| Arc::from(host), |(known, _)| known.clone());
        route.hostname = host.clone();
        let route = Arc::new(route);
        if self.names.insert(route.name.clone(), route.clone()).is_some() {
            errors.push(ConfigError::DuplicateName { list: ROUTES, name });
        }
        Arc::make_mut(self.hosts.entry(host).or_default()).routes.push(route);
    }

    /// The route with the longest prefix of the path. `host` is a `Host` header: case and port do not matter.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(&*normal_host(host))?.find(path)
    }

    pub fn route_by_name(&self, name: &str) -> Option<&Arc<Route>> {
        self.names.get(name)
    }

    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.names.values()
    }

    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}

/// Notes a fault and goes on with a stand-in.
fn note<T>(errors: &mut Vec<ConfigError>, error: ConfigError, instead: T) -> T {
    errors.push(error);
    instead
}

/// A host in lower case without its port.
fn normal_host(host: &str) -> Box<str> {
    without_port(host).to_ascii_lowercase().into_boxed_str()
}
