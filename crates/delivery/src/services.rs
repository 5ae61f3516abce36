//! The services of the configuration in force.

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam::interface::DestinationId;

use crate::interface::ServiceConfig;
use crate::numbering::destination;

/// Calls a second that stand for no limit.
const UNLIMITED: f64 = 10_000.0;

/// The services of the configuration in force.
#[derive(Debug, Default)]
pub(crate) struct Services {
    by_name: BTreeMap<Arc<str>, ServiceConfig>,
    names: BTreeMap<DestinationId, Arc<str>>,
}

impl Services {
    pub(crate) fn replace(&mut self, services: Vec<ServiceConfig>) {
        self.names =
            services.iter().map(|service| (destination(&service.name), service.name.clone())).collect();
        self.by_name = services.into_iter().map(|service| (service.name.clone(), service)).collect();
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
    pub(crate) fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }

    /// What the decisions take for the rate of the service.
    pub(crate) fn weight(&self) -> f64 {
        if self.is_limited() { self.rate_per_s } else { UNLIMITED }
    }
}
