//! The delivery plane's effects, and what became of calls to hosts.

use std::sync::Arc;
use std::time::Duration;

use pewterseam_delivery::{AttemptEnd, AttemptId, AttemptResult, Effect, Input, Outcome};
use pewterseam_outbound::{DeliveryRequest, OutboundEvent};
use pewterseam_queue::{MessageKey, RunResult};
use pewterseam_wire::record::Record;

use super::process::RelayProcess;
use crate::message::PeerMessage;

impl RelayProcess {
    /// Hands the delivery plane all that has happened for it.
    pub(super) fn step_delivery(&mut self) {
        let inputs = std::mem::take(&mut self.delivery_inputs);
        for effect in self.planes.delivery.step(self.node.now(), inputs) {
            self.carry_out_delivery(effect);
        }
    }

    fn carry_out_delivery(&mut self, effect: Effect) {
        match effect {
            Effect::Start { .. } => self.start_attempt(effect),
            Effect::Finished { key, outcome } => self.finished(key, outcome),
            Effect::Tell { to, bytes } => {
                let from = self.node.info().name.clone();
                self.node.send(&to, &PeerMessage::Delivery { from, bytes });
            }
            Effect::Wake(at) => self.planes.delivery_wake = at,
            Effect::Withhold { attempt } => {
                self.planes.attempts.remove(&attempt);
                self.planes.hosts.carry_out(&effect);
            }
            Effect::Write { .. } | Effect::Abort { .. } | Effect::Probe { .. } | Effect::CloseIdle { .. } => {
                self.planes.hosts.carry_out(&effect);
            }
        }
    }

    fn start_attempt(&mut self, effect: Effect) {
        let Effect::Start { attempt, key, target, timeout, connect_timeout, confirm, .. } = effect else {
            return;
        };
        let Some(record) = self.planes.queue.record(MessageKey(key)) else {
            self.delivery_inputs.push(unsent(attempt));
            return;
        };
        let request = Arc::new(delivery_request(record));
        self.planes.attempts.insert(attempt, key);
        let (timeout, connect) = (Duration::from_micros(timeout), Duration::from_micros(connect_timeout));
        self.planes.hosts.start(attempt, target, request, timeout, connect, confirm);
    }

    fn finished(&mut self, key: u64, outcome: Outcome) {
        let result = match outcome {
            Outcome::Completed { signature } => RunResult::Completed { signature },
            Outcome::Failed => RunResult::Failed,
            Outcome::Refused => RunResult::Refused,
        };
        let effects = self.planes.queue.ran(self.node.now(), MessageKey(key), result);
        self.queue_effects.extend(effects);
    }

    /// Something became of a call to a host.
    pub fn host_event(&mut self, event: OutboundEvent) {
        self.planes.hosts.heard(&event);
        if let OutboundEvent::Ended { attempt, .. } = &event {
            self.planes.attempts.remove(attempt);
        }
        self.delivery_inputs.push(event.into());
    }
}

/// The end of an attempt that was never made.
fn unsent(attempt: AttemptId) -> Input {
    let end = AttemptEnd { result: AttemptResult::Unsent, took: 0, idle_for: None, kept: false };
    Input::Ended { attempt, end }
}

fn delivery_request(record: &Record) -> DeliveryRequest {
    DeliveryRequest {
        request_id: Arc::from(record.name.request_id()),
        method: record.method.clone(),
        host: record.host.clone(),
        target: record.target.clone(),
        headers: record.headers.clone(),
        body: record.body.clone(),
    }
}
