//! What a relay does with the state that is agreed upon.

use std::sync::Arc;

use pewterseam_config::CompiledConfig;
use pewterseam_delivery::Input as DeliveryInput;
use pewterseam_wire::control::{ConfigDocument, ControlState};

use crate::configuration::{route_table, services};
use crate::relay::RelayProcess;

impl RelayProcess {
    /// An agreed state comes into force.
    pub(crate) fn in_force(&mut self, state: &Arc<ControlState>) {
        let effects = self.queue.set_placement(self.node.now, state.placement.clone());
        self.queue_effects.extend(effects);
        if state.config.version != self.config.version && !self.holds_back(&state.config) {
            self.use_config(&state.config);
        }
    }

    /// Uses a configuration from now on.
    pub(crate) fn use_config(&mut self, document: &ConfigDocument) {
        let Ok(compiled) = CompiledConfig::compile(&document.text) else {
            panic!("an agreed configuration cannot be used");
        };
        self.delivery_inputs.push(DeliveryInput::Services(services(&compiled)));
        let table = Arc::new(route_table(&compiled));
        self.config = Arc::new(compiled);
        let effects = self.queue.set_routes(self.node.now, table);
        self.queue_effects.extend(effects);
    }
}
