//! The platform's list: calls to it, word of other relays, and hosts for the delivery plane.

use std::sync::Arc;

use pewterseam_delivery::{Input as DeliveryInput, Instance};
use pewterseam_discovery::{Effect, Input, List, ListedInstance};
use pewterseam_outbound::ListEvent;

use super::process::RelayProcess;
use crate::message::PeerMessage;

impl RelayProcess {
    /// A call to the platform ended.
    pub fn list_event(&mut self, event: ListEvent) {
        self.discover(event.into());
    }

    pub(super) fn discover(&mut self, input: Input) {
        for effect in self.planes.discovery.step(self.node.now(), input) {
            match effect {
                Effect::RequestPage { call, page_token } => {
                    if let Some(platform) = &self.planes.platform {
                        platform.ask(call, page_token.as_deref());
                    }
                }
                Effect::SendToRelay { to, bytes } => {
                    let from = self.node.info().name.clone();
                    self.node.send(&to, &PeerMessage::List { from, bytes });
                }
                Effect::Changed(list) => self.list_changed(&list),
                Effect::Wake(at) => self.planes.discovery_wake = at,
            }
        }
    }

    fn list_changed(&mut self, list: &Arc<List>) {
        let hosts = list.instances().map(|listed| instance(listed)).collect();
        self.delivery_inputs.push(DeliveryInput::Hosts(hosts));
    }
}

fn instance(listed: &ListedInstance) -> Instance {
    Instance {
        id: listed.id.clone(),
        service: listed.service.clone(),
        address: listed.address,
        zone: listed.zone.clone(),
        slots: listed.slots,
        ready: listed.ready,
        cold_remaining_ms: listed.cold_remaining_ms,
    }
}
