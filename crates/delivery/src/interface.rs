//! What goes into the machine and what comes out of it.

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
    /// Arrivals a second from all relays together; 0 where there is no limit.
    pub rate_per_s: f64,
    /// Connections that each host accepts from all relays together; 0 where that is not told.
    pub max_connections: u32,
    /// The only endpoint of a service that stands on no list.
    pub static_address: Option<SocketAddr>,
    /// Hosts answer a repeat with the first success.
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
    /// Messages that it works on at a time; 0 where that is not told.
    pub slots: u32,
    /// False for one that is draining.
    pub ready: bool,
    /// How much longer it is slow.
    pub cold_remaining_ms: u64,
}

/// A message that is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The caller's number of the message, unique among those held.
    pub key: u64,
    pub service: Arc<str>,
    /// 0 is highest.
    pub priority: u8,
    /// Time of one attempt.
    pub timeout: Micros,
    /// When the message was due; its run should start within `schedule_target` of it.
    pub due_at: Micros,
    pub schedule_target: Micros,
    /// Attempts that were answered with 500. Each makes the pause before the next one longer.
    pub failures: u32,
}

/// The number of an attempt, unique in the life of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// A host, as named in probes and closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostKey(pub u64);

/// Where an attempt goes.
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
    /// The host says that it did not run the message.
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
    /// No connection; nothing was sent.
    ConnectFailed,
    /// No whole answer to the message came on its connection; it may have run.
    Broken(BrokenBy),
    /// No answer within the timeout; it may have run.
    TimedOut,
    /// Ended by [`Effect::Withhold`] or before anything was written.
    Unsent,
}

/// Why an attempt whose request was written has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BrokenBy {
    /// The connection closed or was reset before an answer began.
    Close,
    /// An answer came that is to another message, or to none.
    OtherAnswer,
    /// The answer began, and the connection ended within it.
    CutShort,
    /// Nothing marks where the body ends, so that a part of it would pass for the whole.
    NoMarkedEnd,
    /// What came is no HTTP.
    NotHttp,
    /// The relay called the attempt off.
    CalledOff,
    /// The message cannot be written as a request.
    Unwritable,
}

impl fmt::Display for BrokenBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BrokenBy::Close => "its connection closed before an answer",
            BrokenBy::OtherAnswer => "an answer to another message came",
            BrokenBy::CutShort => "its answer was cut short",
            BrokenBy::NoMarkedEnd => "its answer has no marked end",
            BrokenBy::NotHttp => "what came is no HTTP",
            BrokenBy::CalledOff => "it was called off",
            BrokenBy::Unwritable => "its message is no valid request",
        })
    }
}

/// Why the answer to an attempt has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// No attempt of this number is out.
    UnknownAttempt,
    /// Its message is over, or stands elsewhere than at this attempt.
    MessageNotOut,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DropReason::UnknownAttempt => "no such attempt is out",
            DropReason::MessageNotOut => "its message does not wait for it",
        })
    }
}

/// The end of an attempt, with the use of its connection.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    pub result: AttemptResult,
    /// Time from start to end.
    pub took: Micros,
    /// How long the connection had been idle; none for a new one.
    pub idle_for: Option<Micros>,
    /// The connection is idle now and may carry another attempt.
    pub kept: bool,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// The services of the configuration that came in force.
    Services(Vec<ServiceConfig>),
    /// The platform's whole list as it was read without error; a host that is missing is gone.
    Hosts(Vec<Instance>),
    /// The live relays, this one included or not.
    Relays(Vec<NodeName>),
    /// The relays that may hand out permits, as the core has agreed on them.
    AgreedHomes(Arc<Vec<NodeName>>),
    Submit(Submission),
    /// What is asked of a message that was submitted has changed. An attempt that is out, or whose connection opens for
    /// another service, is not cut off; what follows it goes by this.
    Revise(Submission),
    /// The message is over for its owner; an attempt that is out runs on and its result is dropped.
    Withdraw {
        key: u64,
    },
    /// The connection for an attempt is open and nothing is written: [`Effect::Write`] or [`Effect::Withhold`] is the
    /// answer.
    Opened {
        attempt: AttemptId,
    },
    Ended {
        attempt: AttemptId,
        end: AttemptEnd,
    },
    /// A health check ended; true for 200 from the right instance.
    Probed {
        host: HostKey,
        healthy: bool,
    },
    /// What [`Effect::Tell`] gave another relay.
    Peer {
        from: NodeName,
        bytes: Bytes,
    },
    /// This relay holds the core's word until then, by the local clock; `Micros::MAX` stands for always. Before the
    /// first one, this relay grants no permits where it is a service's home.
    CoreLease {
        until: Micros,
    },
    /// Start nothing any more; the process ends at `by`.
    Stop {
        by: Micros,
    },
    /// The process ends now: other relays grant the permits of the services that this one is the home of.
    HandOver,
    /// The time of a [`Effect::Wake`] has come.
    Tick,
}

/// What became of a message; its owner decides what follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Done, with the host's signature.
    Completed { signature: Arc<str> },
    /// One attempt was answered with 500.
    Failed,
    /// It can never be done (422).
    Refused,
}

/// What to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make an attempt, on an idle connection or on a new one that opens within `connect_timeout`. On a new one, and
    /// on any if `confirm` is set, [`Input::Opened`] comes before the request is written.
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
    /// Write nothing and keep the connection. The attempt is over; no `Ended` is wanted.
    Withhold { attempt: AttemptId },
    /// Close the connection of an attempt; it ends as `Broken`, or `Unsent` where nothing was written.
    Abort { attempt: AttemptId },
    /// The message is no longer held.
    Finished { key: u64, outcome: Outcome },
    /// What the answer to an attempt says of its message has no effect. For the log.
    Dropped { attempt: AttemptId, outcome: Outcome, reason: DropReason },
    /// Something became of this relay's place as home of a limited service. For the log.
    ReportHome { service: Arc<str>, event: HomeEvent },
    /// `GET` the health path.
    Probe { host: HostKey, target: Target, path: Arc<str>, timeout: Micros },
    /// Close the idle connections to an address.
    CloseIdle { address: SocketAddr },
    /// Hand these bytes to another relay; they may be lost.
    Tell { to: NodeName, bytes: Bytes },
    /// Step with [`Input::Tick`] then, unless something happens before; replaces the last one.
    Wake(Micros),
}
