//! Inputs and effects of the delivery state machine.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_permits::HomeEvent;
use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

/// A service (backend) of the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    pub name: Arc<str>,
    /// Maximum requests per second from all relays together; 0 if there is no limit.
    pub rate_per_s: f64,
    /// Connections that each host accepts from all relays together; 0 if unknown.
    pub max_connections: u32,
    /// The only endpoint of a service without listed hosts.
    pub static_address: Option<SocketAddr>,
    /// Whether hosts answer a repeated message with the result of its first success.
    pub idempotent: bool,
    pub health_path: Arc<str>,
}

/// A host on the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    /// Number of messages that the host processes at a time; 0 if unknown.
    pub slots: u32,
    /// False while the host is draining.
    pub ready: bool,
    /// Remaining time for which the host is slow after its start.
    pub cold_remaining_ms: u64,
}

/// A message that is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The caller's number of the message, unique among held messages.
    pub key: u64,
    pub service: Arc<str>,
    /// 0 is highest.
    pub priority: u8,
    /// Timeout of one attempt.
    pub timeout: Micros,
    /// When the message was due; its run should start within `schedule_target` of it.
    pub due_at: Micros,
    pub schedule_target: Micros,
    /// Attempts that were answered with 500. Each increases the backoff before the next attempt.
    pub failures: u32,
}

/// The number of an attempt, unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Identifies a host in probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostKey(pub u64);

/// The target host of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    pub address: SocketAddr,
    /// The value of `X-Target-Instance`; none for a static endpoint.
    pub instance: Option<Arc<str>>,
}

/// A complete answer of a host to the message of an attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    pub status: u16,
    /// The host reports that it did not run the message.
    pub not_executed: bool,
    /// `X-Response-Signature`.
    pub signature: Option<Arc<str>>,
    /// `Retry-After`.
    pub retry_after: Option<Micros>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
    Answered(Answer),
    /// The connection could not be opened, and nothing was sent.
    ConnectFailed,
    /// No complete answer to the message was received on its connection. The message may have run.
    Broken(BreakCause),
    /// No answer was received within the timeout. The message may have run.
    TimedOut,
    /// Ended by [`Effect::Withhold`] or before anything was written.
    Unsent,
}

/// Why an attempt whose request was written has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BreakCause {
    /// The connection closed or was reset before an answer began.
    ConnectionClosed,
    /// The received answer belongs to another message, or to none.
    UnmatchedResponse,
    /// The connection closed within the answer.
    TruncatedResponse,
    /// The answer does not delimit its body, so a truncated body could not be detected.
    UnmarkedEnd,
    /// The received data is not HTTP.
    NotHttp,
    /// The relay aborted the attempt.
    Cancelled,
    /// The message cannot be written as a request.
    InvalidRequest,
}

impl fmt::Display for BreakCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BreakCause::ConnectionClosed => "its connection closed before an answer",
            BreakCause::UnmatchedResponse => "an answer to another message was received",
            BreakCause::TruncatedResponse => "its answer was truncated",
            BreakCause::UnmarkedEnd => "its answer does not delimit its body",
            BreakCause::NotHttp => "the received data is not HTTP",
            BreakCause::Cancelled => "it was aborted",
            BreakCause::InvalidRequest => "its message is not a valid request",
        })
    }
}

/// Why the answer to an attempt has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// No attempt with this number is in flight.
    UnknownAttempt,
    /// The message has ended, or is not in flight with this attempt.
    MessageNotInFlight,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DropReason::UnknownAttempt => "no such attempt is in flight",
            DropReason::MessageNotInFlight => "its message is not in flight with this attempt",
        })
    }
}

/// The end of an attempt, with the use of its connection.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    pub result: AttemptResult,
    /// Time from start to end.
    pub took: Micros,
    /// How long the connection had been idle; `None` for a new connection.
    pub idle_for: Option<Micros>,
    /// The connection is idle now and may carry another attempt.
    pub kept: bool,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// The services of the configuration now in force.
    Services(Vec<ServiceConfig>),
    /// The platform's complete list, read without error. Hosts that are missing have been removed.
    Hosts(Vec<Instance>),
    /// The live relays, with or without this one.
    Relays(Vec<NodeName>),
    /// The relays that may grant permits, as agreed by the core.
    AgreedHomes(Arc<Vec<NodeName>>),
    Submit(Submission),
    /// Replaces the submission of a message. An attempt in flight is not aborted; later attempts use the new submission. If
    /// its connection is still opening for another service, its request is withheld.
    Update(Submission),
    /// The owner no longer needs the message. An attempt in flight continues, and its result is dropped.
    Withdraw {
        key: u64,
    },
    /// The connection for an attempt is open and nothing is written yet. The response is [`Effect::Write`] or
    /// [`Effect::Withhold`].
    Opened {
        attempt: AttemptId,
    },
    Ended {
        attempt: AttemptId,
        end: AttemptEnd,
    },
    /// A health check ended. `healthy` is true after a 200 from the expected instance.
    Probed {
        host: HostKey,
        healthy: bool,
    },
    /// Bytes that another relay sent with [`Effect::Tell`].
    Peer {
        from: NodeName,
        bytes: Bytes,
    },
    /// This relay holds a lease from the core until `until` by the local clock; `Micros::MAX` means without expiry. Before
    /// the first lease, this relay grants no permits as home of a service.
    CoreLease {
        until: Micros,
    },
    /// Starts no further attempts; the process ends at `by`.
    Stop {
        by: Micros,
    },
    /// Hands over the homes of services on this relay to other relays, as the process ends now.
    HandOver,
    /// The time of an [`Effect::Wake`] was reached.
    Tick,
}

/// Outcome of a message. Its owner decides what follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The message completed, with the host's signature.
    Completed { signature: Arc<str> },
    /// One attempt was answered with 500.
    Failed,
    /// The host rejected the message permanently (422).
    Refused,
}

/// An action for the caller. Effects must be applied in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Start an attempt on an idle connection, or on a new connection that opens within `connect_timeout`. On a new
    /// connection, and on any if `confirm` is set, [`Input::Opened`] must be reported before the request is written.
    Start {
        attempt: AttemptId,
        key: u64,
        service: Arc<str>,
        target: Target,
        timeout: Micros,
        connect_timeout: Micros,
        confirm: bool,
    },
    /// Write the request on the connection that was opened for it.
    Write { attempt: AttemptId },
    /// Write nothing and keep the connection. The attempt has ended without an `Ended` input.
    Withhold { attempt: AttemptId },
    /// Close the connection of an attempt. It ends as `Broken`, or as `Unsent` if nothing was written.
    Abort { attempt: AttemptId },
    /// The message is no longer held.
    Finished { key: u64, outcome: Outcome },
    /// The answer to an attempt has no effect on its message. For the log.
    Dropped { attempt: AttemptId, outcome: Outcome, reason: DropReason },
    /// The home role of this relay for a limited service changed. For the log.
    ReportHome { service: Arc<str>, event: HomeEvent },
    /// Send a `GET` request to the health path.
    Probe { host: HostKey, target: Target, path: Arc<str>, timeout: Micros },
    /// Close the idle connections to an address.
    CloseIdle { address: SocketAddr },
    /// Send these bytes to another relay. They may be lost.
    SendToRelay { to: NodeName, bytes: Bytes },
    /// Call `step` with [`Input::Tick`] at this time, unless another input comes earlier. Replaces the previous wake-up.
    Wake(Micros),
}
