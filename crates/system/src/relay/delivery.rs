//! The delivery plane's effects, and what became of calls to hosts.

use std::sync::Arc;
use std::time::Duration;

use pewterseam_delivery::{AttemptEnd, AttemptId, AttemptResult, Effect, Input, Outcome, Target};
use pewterseam_outbound::{CallTimes, DeliveryRequest, OutboundEvent};
use pewterseam_queue::{AttemptNumber, MessageKey, RunResult, SendPermit};
use pewterseam_wire::Micros;
use pewterseam_wire::record::Record;

use super::attempt_log::SentAttempt;
use super::process::RelayProcess;
use crate::message::PeerMessage;

/// An attempt that delivery has chosen and the queue has not permitted yet.
#[derive(Debug)]
pub struct UnsentAttempt {
    target: Target,
    timeout: Micros,
    connect_timeout: Micros,
    confirm: bool,
}

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
            Effect::Start { attempt, key, target, timeout, connect_timeout, confirm, .. } => {
                let unsent = UnsentAttempt { target, timeout, connect_timeout, confirm };
                self.planes.unsent.insert(attempt, unsent);
                let number = AttemptNumber(attempt.0);
                let effects = self.planes.queue.request_send(self.node.now(), MessageKey(key), number);
                self.queue_effects.extend(effects);
            }
            Effect::Finished { key, outcome } => self.finished(key, outcome),
            Effect::Dropped { attempt, outcome, reason } => {
                log::warn!("the answer to attempt {} has no effect ({outcome:?}): {reason}", attempt.0);
            }
            Effect::ReportHome { service, event } => log::info!("limit of {service}: {event}"),
            Effect::SendToRelay { to, bytes } => {
                let from = self.node.info().name.clone();
                self.node.send(&to, &PeerMessage::Delivery { from, bytes });
            }
            Effect::Wake(at) => self.planes.delivery_wake = at,
            Effect::Abort { attempt } if self.planes.unsent.contains_key(&attempt) => {
                self.refuse_send(AttemptNumber(attempt.0));
            }
            Effect::Withhold { attempt } => {
                self.planes.attempts.remove(&attempt);
                self.planes.hosts.carry_out(&effect);
            }
            Effect::Write { .. } | Effect::Abort { .. } | Effect::Probe { .. } | Effect::CloseIdle { .. } => {
                self.planes.hosts.carry_out(&effect);
            }
        }
    }

    /// Sends a message to a host. Nothing else does, and each permit is used up by it.
    pub(super) fn send(&mut self, permit: SendPermit) {
        let attempt = AttemptId(permit.attempt().0);
        let Some(unsent) = self.planes.unsent.remove(&attempt) else { return };
        let Some(record) = self.planes.queue.record(permit.key()) else {
            self.delivery_inputs.push(not_sent(attempt));
            return;
        };
        let request = Arc::new(delivery_request(record));
        let sent = SentAttempt {
            message: permit.key().0,
            request_id: record.name.request_id().to_owned(),
            target: unsent.target.clone(),
        };
        self.planes.attempts.insert(attempt, sent);
        let times = CallTimes {
            timeout: Duration::from_micros(unsent.timeout),
            connect_timeout: Duration::from_micros(unsent.connect_timeout),
            write_within: Duration::from_micros(permit.expires_at().saturating_sub(self.node.now())),
        };
        self.planes.hosts.start(attempt, unsent.target, request, times, unsent.confirm);
    }

    /// An attempt is not to be made.
    pub(super) fn refuse_send(&mut self, attempt: AttemptNumber) {
        let attempt = AttemptId(attempt.0);
        if self.planes.unsent.remove(&attempt).is_some() {
            self.delivery_inputs.push(not_sent(attempt));
        }
    }

    fn finished(&mut self, key: u64, outcome: Outcome) {
        let result = match outcome {
            Outcome::Completed { signature } => RunResult::Completed { signature },
            Outcome::Failed => RunResult::Failed,
            Outcome::Refused => RunResult::Refused,
        };
        let effects = self.planes.queue.run_finished(self.node.now(), MessageKey(key), result);
        self.queue_effects.extend(effects);
    }

    /// Something became of a call to a host.
    pub fn host_event(&mut self, event: OutboundEvent) {
        self.planes.hosts.heard(&event);
        if let OutboundEvent::Ended { attempt, end, notes } = &event
            && let Some(sent) = self.planes.attempts.remove(attempt)
        {
            self.planes.attempt_log.ended(&sent, end, notes);
        }
        self.delivery_inputs.push(event.into());
    }
}

/// The end of an attempt that was never made.
fn not_sent(attempt: AttemptId) -> Input {
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
