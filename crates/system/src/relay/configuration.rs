//! Agreed state coming in force, and settings that change.

use std::sync::Arc;

use pewterseam_config::settings::Settings;
use pewterseam_delivery::{Input as DeliveryInput, ServiceConfig};
use pewterseam_queue::RouteTable;
use pewterseam_wire::control::ControlState;

use super::planes;
use super::process::RelayProcess;
use crate::error::SystemError;

impl RelayProcess {
    /// Agreed state is in force: the sets of stores, and the configuration if it is another one.
    pub(super) fn in_force(&mut self, state: &Arc<ControlState>) {
        let effects = self.planes.queue.set_placement(self.node.now(), state.placement.clone());
        self.queue_effects.extend(effects);
        self.delivery_inputs.push(DeliveryInput::AgreedHomes(state.homes.clone()));
        if state.config.version != self.config.load().version {
            self.configure(state.config.version);
        }
    }

    /// Puts the newest configuration in force. Control carries its compiled form on from change to change: read as a
    /// whole with each change, one of thousands of routes would take much of a small machine.
    fn configure(&mut self, version: u64) {
        let compiled = match self.node.config() {
            Ok(compiled) => compiled,
            Err(error) => {
                log::error!("configuration {version} cannot be used: {error}");
                return;
            }
        };
        let services = compiled.services().map(|service| ServiceConfig::from_config(service)).collect();
        self.delivery_inputs.push(DeliveryInput::Services(services));
        let table = Arc::new(RouteTable::from_config(&compiled));
        let changes = self.planes.queue.route_changes(&table);
        log::info!("configuration {} is in force; {changes}", compiled.version);
        self.config.store(compiled);
        self.configured.send_replace(true);
        let effects = self.planes.queue.set_routes(self.node.now(), table);
        self.queue_effects.extend(effects);
    }

    /// The settings file was read again.
    pub(super) fn reload(&mut self, read: Result<Settings, SystemError>) {
        let settings = match read {
            Ok(settings) => settings,
            Err(error) => {
                log::error!("the settings stay as they are: {error}");
                return;
            }
        };
        if settings.seeds != self.settings.seeds {
            self.node.set_seeds(&settings);
        }
        if settings.cloud_api != self.settings.cloud_api {
            self.planes.platform = planes::platform(&settings, &self.planes.list_events);
        }
        self.settings = settings;
    }

    /// Now and then: settings that changed without a signal, connections that idle too long.
    pub(super) fn tend(&mut self) {
        if let Some(read) = self.file.read_if_changed() {
            self.reload(read);
        }
        self.planes.hosts.sweep();
        self.planes.attempt_log.begin_period();
    }
}
