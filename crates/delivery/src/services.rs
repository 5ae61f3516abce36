//! The services of the configuration in force.

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam::interface::DestinationId;
use pewterseam_config::Service;

use crate::interface::ServiceConfig;
use crate::numbering::ServiceNumber;

/// Health check path of services that configure none.
const DEFAULT_HEALTH_PATH: &str = "/health";
/// Rate in calls per second that stands for no limit.
const UNLIMITED_RATE: f64 = 10_000.0;

/// The services of the configuration in force.
#[derive(Debug, Default)]
pub(crate) struct Services {
    by_name: BTreeMap<Arc<str>, ServiceConfig>,
    numbers: BTreeMap<Arc<str>, ServiceNumber>,
    names: BTreeMap<DestinationId, Arc<str>>,
}

impl Services {
    pub(crate) fn replace(&mut self, services: Vec<ServiceConfig>) {
        self.by_name = services.into_iter().map(|service| (service.name.clone(), service)).collect();
        self.numbers.clear();
        self.names.clear();
        // Numbers are assigned in name order, so that all relays with this configuration assign the same numbers.
        for name in self.by_name.keys() {
            let number = ServiceNumber::of(name, &self.names);
            self.names.insert(number.destination, name.clone());
            self.numbers.insert(name.clone(), number);
        }
    }

    /// The number of a service. A service that is not configured gets a number that no configured service has.
    pub(crate) fn number(&self, name: &str) -> ServiceNumber {
        self.numbers.get(name).copied().unwrap_or_else(|| ServiceNumber::of(name, &self.names))
    }

    pub(crate) fn get(&self, name: &str) -> Option<&ServiceConfig> {
        self.by_name.get(name)
    }

    pub(crate) fn name(&self, destination: DestinationId) -> Option<&Arc<str>> {
        self.names.get(&destination)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.by_name.values()
    }
}

impl ServiceConfig {
    /// Converts a service of the configuration.
    pub fn from_config(service: &Service) -> Self {
        ServiceConfig {
            name: service.name.clone(),
            rate_per_s: service.rate_per_s,
            max_connections: service.max_conns,
            static_address: service.static_address.as_ref().and_then(|address| address.parse().ok()),
            idempotent: service.idempotent,
            health_path: service.health_path.clone().unwrap_or_else(|| Arc::from(DEFAULT_HEALTH_PATH)),
        }
    }

    pub(crate) fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }

    /// The rate of the service as passed to the brain.
    pub(crate) fn weight(&self) -> f64 {
        if self.is_limited() { self.rate_per_s } else { UNLIMITED_RATE }
    }
}
