//! Calls of the operator, decided by the control plane.

use std::collections::HashMap;

use pewterseam_control::{OperatorRequest as ControlRequest, Outcome, Token};
use pewterseam_wire::identity::NodeName;
use tokio::sync::oneshot;

use super::process::RelayProcess;
use crate::operator::{OperatorAnswer, OperatorCall, OperatorRequest};
use crate::status::{MessageCounts, RelayStatus};

/// Calls that wait for the control plane.
#[derive(Default)]
pub struct OperatorCalls {
    last: u64,
    open: HashMap<Token, oneshot::Sender<OperatorAnswer>>,
}

impl OperatorCalls {
    fn add(&mut self, reply: oneshot::Sender<OperatorAnswer>) -> Token {
        self.last += 1;
        let token = Token(self.last);
        self.open.insert(token, reply);
        token
    }

    pub fn answer(&mut self, token: Token, outcome: Outcome) {
        if let Some(reply) = self.open.remove(&token) {
            let _ = reply.send(answer(outcome));
        }
    }
}

impl RelayProcess {
    /// The operator calls.
    pub fn operator_call(&mut self, call: OperatorCall) {
        let request = match call.request {
            OperatorRequest::PutConfig { if_match, text } => ControlRequest::put(if_match.unwrap_or(0), text),
            OperatorRequest::PatchConfig { if_match, text } => {
                ControlRequest::patch(if_match.unwrap_or(0), text)
            }
            OperatorRequest::ReadConfig => ControlRequest::ReadConfig,
            OperatorRequest::Retire { node } => ControlRequest::Retire { node: NodeName::new(&node) },
            OperatorRequest::ReadStatus => {
                // Danger: none. A caller that is gone hears nothing.
                let _ = call.reply.send(OperatorAnswer::Status(Box::new(self.status())));
                return;
            }
            OperatorRequest::RetireState { node } => {
                ControlRequest::ReadRetire { node: NodeName::new(&node) }
            }
        };
        let token = self.operators.add(call.reply);
        self.node.operator(token, request);
    }
}

impl RelayProcess {
    fn status(&self) -> RelayStatus {
        let queue = &self.planes.queue;
        RelayStatus {
            node: self.node.report(),
            ready: self.readiness.is_ready(),
            stopping: self.stopping.is_some(),
            config_version: self.config.load().version,
            messages: MessageCounts { held: queue.len(), running: queue.running() },
        }
    }
}

fn answer(outcome: Outcome) -> OperatorAnswer {
    match outcome {
        Outcome::Accepted { version } => OperatorAnswer::Done { version },
        Outcome::Conflict { current } => OperatorAnswer::VersionConflict { current },
        Outcome::Invalid { errors } => OperatorAnswer::Invalid(errors.join("\n")),
        Outcome::Config(document) => OperatorAnswer::Config(document.text.clone()),
        Outcome::Retiring => OperatorAnswer::RetireInProgress,
        Outcome::RetireState { completed: true } => OperatorAnswer::RetireCompleted,
        Outcome::RetireState { completed: false } => OperatorAnswer::RetireInProgress,
        Outcome::UnknownStore => OperatorAnswer::UnknownNode,
        Outcome::TooFewStores => OperatorAnswer::TooFewLeft,
        Outcome::Index(_) | Outcome::Unknown => OperatorAnswer::Unclear,
    }
}
