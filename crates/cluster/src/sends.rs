//! The permit to send, asked of the queue before each attempt, as `pewterseam_system::relay::delivery` does it.

use std::sync::Arc;

use pewterseam_delivery::{AttemptEnd, AttemptId, AttemptResult, Input as DeliveryInput, Target};
use pewterseam_queue::{AttemptNumber, MessageKey, SendPermit};
use pewterseam_wire::Micros;

use crate::event::{Output, StartCall};
use crate::plan::Planted;
use crate::relay::RelayProcess;

/// An attempt that waits for its permit to send.
pub struct UnsentAttempt {
    pub target: Target,
    pub timeout: Micros,
    pub confirm: bool,
}

impl RelayProcess {
    /// Asks the queue whether an attempt may be sent.
    pub(crate) fn request_send(&mut self, attempt: AttemptId, key: MessageKey, unsent: UnsentAttempt) {
        self.unsent.insert(attempt, unsent);
        let effects = self.queue.request_send(self.node.now, key, AttemptNumber(attempt.0));
        self.queue_effects.extend(effects);
    }

    /// The queue permits an attempt to send.
    pub(crate) fn send(&mut self, permit: &SendPermit) {
        let attempt = AttemptId(permit.attempt().0);
        let Some(UnsentAttempt { target, timeout, confirm }) = self.unsent.remove(&attempt) else { return };
        let Some(record) = self.queue.record(permit.key()) else {
            return self.delivery_inputs.push(not_sent(attempt));
        };
        self.attempts.insert(attempt, permit.key().0);
        let request_id = Arc::from(record.name.request_id());
        let write_within = permit.expires_at().saturating_sub(self.node.now);
        let body = record.body.clone();
        let ordering_key = record.ordering_key.clone().filter(|_| !self.has(Planted::LostKeys));
        let call =
            StartCall { attempt, target, request_id, body, ordering_key, timeout, confirm, write_within };
        self.node.out.push(Output::Start(call));
    }

    /// The queue does not permit it.
    pub(crate) fn refuse_send(&mut self, attempt: AttemptNumber) {
        let attempt = AttemptId(attempt.0);
        if self.unsent.remove(&attempt).is_some() {
            self.delivery_inputs.push(not_sent(attempt));
        }
    }
}

/// The end of an attempt that was never made.
fn not_sent(attempt: AttemptId) -> DeliveryInput {
    let end = AttemptEnd { result: AttemptResult::Unsent, took: 0, idle_for: None, kept: false };
    DeliveryInput::Ended { attempt, end }
}
