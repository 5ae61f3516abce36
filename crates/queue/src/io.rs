//! Inputs and outputs of the queue.

use std::sync::Arc;

use bytes::Bytes;
use pewterseam_wire::Micros;
use pewterseam_wire::identity::Owner;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::{Headers, MessageName, RouteKey};
use pewterseam_wire::store::StoreRequest;

use crate::sending::SendPermit;

/// Identifies a message within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageKey(pub u64);

/// Identifies a pending request to a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies an attempt to send a message; unique for the lifetime of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u64);

/// Identifies a client that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientToken(pub u64);

/// Settings of a queue, fixed at its start.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    pub owner: Owner,
    pub zone: Arc<str>,
    /// Maximum total size of the bodies held; beyond it, messages are declined.
    pub max_body_bytes: usize,
    /// Maximum number of messages held.
    pub max_messages: usize,
    /// Maximum error of the wall clock, which the ages of adopted messages may depend on.
    pub max_clock_error: Micros,
}

/// A message that a client submits.
#[derive(Clone, Debug)]
pub struct NewMessage {
    pub token: ClientToken,
    pub request_id: Arc<str>,
    /// The route's name.
    pub route: Arc<str>,
    pub route_key: RouteKey,
    pub host: Arc<str>,
    pub method: Arc<str>,
    pub target: Arc<str>,
    pub headers: Headers,
    pub body: Bytes,
    pub ordering_key: Option<Arc<str>>,
    pub delay_ms: u64,
    /// How long the client waits for an answer.
    pub client_timeout_ms: u64,
}

/// The answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The message is stored durably.
    Accepted { name: MessageName },
    /// The message was not accepted and will never run. The client may send it again after this many milliseconds.
    Declined { retry_after_ms: u64 },
    /// It is unknown whether the message was accepted.
    Unknown,
}

/// What the runner needs to know to run a message.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    pub service: Arc<str>,
    pub priority: u8,
    pub timeout_ms: u64,
    pub schedule_target_ms: u64,
    pub retention_ms: u64,
    pub failures: u32,
    /// Time on the runner's clock at which the first run was due.
    pub due_at: Micros,
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    Completed {
        signature: Arc<str>,
    },
    /// The host answered 500.
    Failed,
    /// The host answered 422.
    Refused,
    /// The message was not run, and the runner returns it.
    NotRun,
}

/// An action that the driver must carry out.
#[derive(Debug, PartialEq)]
pub enum Effect {
    SendRequest {
        store: StoreId,
        call: CallId,
        request: Box<StoreRequest>,
    },
    Answer {
        token: ClientToken,
        answer: Answer,
    },
    Submit {
        key: MessageKey,
        submission: Submission,
    },
    Withdraw {
        key: MessageKey,
    },
    /// The route of a submitted message has changed: attempts that are not sent yet use this submission. The result
    /// of an attempt already sent still counts.
    Revise {
        key: MessageKey,
        submission: Submission,
    },
    /// Send the message to the host that was chosen.
    Send {
        permit: SendPermit,
    },
    /// The attempt must not be made. The queue itself decides what happens to the message next.
    RefuseSend {
        attempt: AttemptNumber,
    },
    /// The result of a run has no effect, because the message has ended or is not running here. Only logged.
    ResultDropped {
        key: MessageKey,
        result: RunResult,
    },
}
