//! What a relay does with the state that is agreed upon.

use std::sync::Arc;

use pewterseam_config::CompiledConfig;
use pewterseam_delivery::{Input as DeliveryInput, ServiceConfig};
use pewterseam_wire::control::{ConfigDocument, ControlState};

use crate::relay::RelayProcess;

impl RelayProcess {
    /// An agreed state comes into force.
    pub(crate) fn in_force(&mut self, state: &Arc<ControlState>) {
        let effects = self.queue.set_placement(self.node.now, state.placement.clone());
        self.queue_effects.extend(effects);
        self.delivery_inputs.push(DeliveryInput::AgreedHomes(state.homes.clone()));
        if state.config.version != self.config.version && !self.holds_back(&state.config) {
            self.use_config(&state.config);
        }
    }

    /// Uses a configuration from now on.
    pub(crate) fn use_config(&mut self, document: &ConfigDocument) {
        let compiled = self.compiled(document);
        let services = compiled.services().map(|service| ServiceConfig::from_config(service)).collect();
        self.delivery_inputs.push(DeliveryInput::Services(services));
        let table = Arc::new(self.route_table(&compiled));
        self.config = compiled;
        let effects = self.queue.set_routes(self.node.now, table);
        self.queue_effects.extend(effects);
    }
    /// The compiled form of a configuration: the one that control carries on from change to change, but for planted
    /// faults that use an older one.
    fn compiled(&self, document: &ConfigDocument) -> Arc<CompiledConfig> {
        let newest = self.node.config().ok().filter(|config| config.version == document.version);
        newest.unwrap_or_else(|| match CompiledConfig::compile(&document.text) {
            Ok(compiled) => Arc::new(compiled),
            Err(errors) => panic!("an agreed configuration cannot be used: {errors:?}"),
        })
    }
}
