//! What goes into the queue and what comes out of it.

use std::sync::Arc;

use bytes::Bytes;
use pewterseam_wire::Micros;
use pewterseam_wire::identity::Owner;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::{Headers, MessageName, RouteKey};
use pewterseam_wire::store::StoreRequest;

use crate::sending::SendPermit;

/// A message in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageKey(pub u64);

/// A request to a store that is not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An attempt to send a message, unique in the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u64);

/// A client that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientToken(pub u64);

/// What a queue is told at its start.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    pub owner: Owner,
    pub zone: Arc<str>,
    /// Bytes of bodies that may be held; beyond that, messages are declined.
    pub most_body_bytes: usize,
    /// Messages that may be held.
    pub most_messages: usize,
    /// How far the time of day may be wrong: ages of messages that are taken over may go by it.
    pub clock_error: Micros,
}

/// A request that a client hands in.
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
    /// How long the client waits.
    pub patience_ms: u64,
}

/// What a client is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The message is kept.
    Accepted { name: MessageName },
    /// It was not taken and never will run; it may be sent again after this many milliseconds.
    Declined { retry_after_ms: u64 },
    /// Whether it was taken is not known.
    Unknown,
}

/// A message that is to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    pub service: Arc<str>,
    pub priority: u8,
    pub timeout_ms: u64,
    pub schedule_target_ms: u64,
    pub retention_ms: u64,
    pub failures: u32,
    /// When its first run was due, by the clock of the calls.
    pub due_at: Micros,
}

/// What became of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    Completed {
        signature: Arc<str>,
    },
    /// The host answered 500.
    Failed,
    /// The host answered 422.
    Refused,
    /// It has not run, and the runner wants it back.
    NotRun,
}

/// What the driver is to do.
#[derive(Debug, PartialEq)]
pub enum Effect {
    Ask {
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
    /// The route of a message that was submitted has changed: what is not sent yet goes by this submission. The result of
    /// an attempt that is out still counts.
    Revise {
        key: MessageKey,
        submission: Submission,
    },
    /// Send the message to the host that was chosen.
    Send {
        permit: SendPermit,
    },
    /// The attempt is not to be made; what follows for the message comes by itself.
    RefuseSend {
        attempt: AttemptNumber,
    },
    /// The result of a run has no effect, as its message is over or not running here. For the log.
    ResultDropped {
        key: MessageKey,
        result: RunResult,
    },
}
