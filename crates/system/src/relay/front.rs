//! Clients' requests.

use pewterseam_ingress::{BodyAnswer, FrontRequest, StatusAnswer};
use pewterseam_queue::{Answer, ClientToken};

use super::process::RelayProcess;
use crate::clock;

impl RelayProcess {
    /// A client asks for something.
    pub fn front_request(&mut self, request: FrontRequest) {
        match request {
            FrontRequest::Message { mut new, reply } => {
                self.last_client += 1;
                new.token = ClientToken(self.last_client);
                if self.node.state().placement.sets.is_empty() {
                    // Danger: none. A client that is gone hears nothing.
                    let _ = reply.send(Answer::Declined { retry_after_ms: 0 });
                    return;
                }
                self.clients.insert(new.token, reply);
                let effects = self.planes.queue.accept(self.node.now(), clock::wall(), new);
                self.queue_effects.extend(effects);
            }
            FrontRequest::Status { name, reply } => self.read_status(&name, reply),
            FrontRequest::Body { name, reply } => self.read_body(&name, reply),
        }
    }
}

/// What is told when too few stores answer.
pub(super) const NO_STATUS: StatusAnswer = StatusAnswer::Unavailable;
pub(super) const NO_BODY: BodyAnswer = BodyAnswer::Unavailable;
