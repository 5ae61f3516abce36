//! The compiled form after a change, without reading what did not change.

use std::collections::HashSet;
use std::sync::Arc;

use crate::compiled::{CompiledConfig, Route, Service};
use crate::document::{BACKENDS, LIMITS, Patch, ROUTES, read_raw};
use crate::error::ConfigError;

impl CompiledConfig {
    /// The configuration after a change. All faults are told, as when the changed document is compiled.
    pub(crate) fn patched(&self, patch: &Patch<'_>) -> Result<Self, Vec<ConfigError>> {
        let mut errors = Vec::new();
        let mut next = self.clone();
        next.version = patch.version;
        if let Some(limits) = patch.upsert.as_ref().and_then(|upsert| upsert.get(LIMITS)) {
            match read_raw(limits) {
                Ok(limits) => next.limits = limits,
                Err(error) => errors.push(error),
            }
        }
        next.patch_services(patch, &mut errors);
        next.patch_routes(patch, &mut errors);
        if errors.is_empty() { Ok(next) } else { Err(errors) }
    }

    fn patch_services(&mut self, patch: &Patch<'_>, errors: &mut Vec<ConfigError>) {
        for name in patch.delete.get(BACKENDS).into_iter().flatten() {
            self.services.remove(&**name);
        }
        for service in items::<Service>(patch, BACKENDS, errors) {
            self.services.insert(service.name.clone(), Arc::new(service));
        }
    }

    fn patch_routes(&mut self, patch: &Patch<'_>, errors: &mut Vec<ConfigError>) {
        let mut changed: HashSet<Arc<str>> = HashSet::new();
        let new = items::<Route>(patch, ROUTES, errors);
        let deleted = patch.delete.get(ROUTES).into_iter().flatten().map(|name| Arc::from(&**name));
        let gone: HashSet<Arc<str>> = deleted.chain(new.iter().map(|route| route.name.clone())).collect();
        for name in &gone {
            if let Some(route) = self.names.remove(name) {
                changed.insert(route.hostname.clone());
            }
        }
        for host in &changed {
            if let Some(routes) = self.hosts.get_mut(host) {
                Arc::make_mut(routes).routes.retain(|route| !gone.contains(&route.name));
            }
        }
        for route in new {
            let name = route.name.clone();
            self.add_route(route, errors);
            changed.extend(self.names.get(&name).map(|route| route.hostname.clone()));
        }
        for host in &changed {
            let Some(routes) = self.hosts.get_mut(host) else { continue };
            if routes.routes.is_empty() {
                self.hosts.remove(host);
            } else {
                Arc::make_mut(routes).link(errors);
            }
        }
        self.find_unknown_services(patch, errors);
    }

    /// A service that was deleted may still be named by a route that did not change.
    fn find_unknown_services(&self, patch: &Patch<'_>, errors: &mut Vec<ConfigError>) {
        if patch.delete.get(BACKENDS).is_none_or(HashSet::is_empty) || !errors.is_empty() {
            return;
        }
        for route in self.names.values().filter(|route| !self.services.contains_key(&route.backend)) {
            let (route, service) = (route.name.to_string(), route.backend.to_string());
            errors.push(ConfigError::UnknownService { route, service });
        }
    }
}

/// The items of a list that a change adds or replaces.
fn items<T: serde::de::DeserializeOwned>(
    patch: &Patch<'_>, list: &str, errors: &mut Vec<ConfigError>,
) -> Vec<T> {
    let Some(upsert) = &patch.upsert else { return Vec::new() };
    let items = match upsert.list(list) {
        Ok(items) => items,
        Err(error) => {
            errors.push(error);
            return Vec::new();
        }
    };
    let mut read = Vec::with_capacity(items.len());
    for item in items {
        match read_raw(item) {
            Ok(item) => read.push(item),
            Err(error) => errors.push(error),
        }
    }
    read
}
