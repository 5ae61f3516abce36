//! Clients' requests.

use pewterseam_ingress::{BodyAnswer, FrontRequest, StatusAnswer};
use pewterseam_queue::{Answer, ClientToken, NewMessage};
use pewterseam_wire::Micros;
use tokio::sync::oneshot;

use super::process::RelayProcess;
use crate::clock;

/// Part of the client's patience for which a message is held while the stores are not known yet.
const HELD_PART: f64 = 0.25;
const MICROS_A_MILLISECOND: f64 = 1_000.0;

/// A client's message that waits for stores.
pub struct HeldMessage {
    new: NewMessage,
    reply: oneshot::Sender<Answer>,
    since: Micros,
    pub until: Micros,
}

impl RelayProcess {
    /// A client asks for something.
    pub fn front_request(&mut self, request: FrontRequest) {
        match request {
            FrontRequest::Message { new, reply } => self.message_handed_in(new, reply),
            FrontRequest::Status { name, reply } => self.read_status(&name, reply),
            FrontRequest::Body { name, reply } => self.read_body(&name, reply),
        }
    }

    fn message_handed_in(&mut self, new: NewMessage, reply: oneshot::Sender<Answer>) {
        if self.has_been_ready || self.planes.queue.can_accept(&new) {
            return self.accept(new, reply);
        }
        let since = self.node.now();
        let until = since + (new.client_timeout_ms as f64 * HELD_PART * MICROS_A_MILLISECOND) as Micros;
        self.held.push(HeldMessage { new, reply, since, until });
    }

    fn accept(&mut self, mut new: NewMessage, reply: oneshot::Sender<Answer>) {
        if self.node.state().placement.sets.is_empty() {
            // Danger: none. A client that is gone hears nothing.
            let _ = reply.send(Answer::Declined { retry_after_ms: 0 });
            return;
        }
        self.last_client += 1;
        new.token = ClientToken(self.last_client);
        self.clients.insert(new.token, reply);
        let effects = self.planes.queue.accept(self.node.now(), clock::wall(), new);
        self.queue_effects.extend(effects);
    }

    /// Takes the messages that were held and can be taken now, or whose time is over.
    pub(super) fn take_held(&mut self, now: Micros) {
        for mut held in std::mem::take(&mut self.held) {
            if now < held.until && !self.planes.queue.can_accept(&held.new) {
                self.held.push(held);
                continue;
            }
            let waited_ms = (now.saturating_sub(held.since) as f64 / MICROS_A_MILLISECOND) as u64;
            held.new.client_timeout_ms = held.new.client_timeout_ms.saturating_sub(waited_ms);
            self.accept(held.new, held.reply);
        }
    }
}

/// What is told when too few stores answer.
pub(super) const NO_STATUS: StatusAnswer = StatusAnswer::Unavailable;
pub(super) const NO_BODY: BodyAnswer = BodyAnswer::Unavailable;
