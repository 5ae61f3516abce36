//! Input and output types of the decision module.
//!
//! Times are whole microseconds of the caller's clock. Nothing here depends on a wire format or a socket.

mod settings;

pub use settings::{Class, Effect, Group, Kind, Settings, Tenant, ValueDecay, WeightMeaning};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// One endpoint of a destination, opaque to the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u64);

/// The id of a message, unique for the lifetime of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u64);

/// The id of another firm's system.
pub type DestinationId = u32;

/// A host's state in the registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One entry of the registry's host list.
#[derive(Clone, Copy, Debug)]
pub struct ListedHost {
    pub host: HostId,
    pub zone: u16,
    pub kind: usize,
    pub destination: DestinationId,
    pub lifecycle: Lifecycle,
    pub weight: f64,
}

/// An answer or update from the registry.
#[derive(Clone, Debug)]
pub enum RegistryUpdate {
    /// The whole list; a host missing from it is gone.
    FullList(Vec<ListedHost>),
    /// Only the entries that changed.
    Changes(Vec<ListedHost>),
    /// A call to the registry failed or a subscription broke; the list stays as it was.
    Failed,
    /// The registry refused the call because it has more calls than it can answer; the list stays as it was.
    Overloaded,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    /// The destination answered with an error; the attempt may have run.
    Error,
    /// The destination rejected the attempt without processing it, perhaps with a time to wait (0: none
    /// given).
    Rejected {
        wait: Micros,
    },
    /// No answer arrived before the timeout; the attempt may have run or may still run.
    Timeout,
    /// No connection opened before the timeout; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The sender cancelled the attempt; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Whether the outcome shows that the host is alive: it answered, or it closed the connection.
    pub fn shows_host_alive(self) -> bool {
        matches!(self, Outcome::Ok | Outcome::Error | Outcome::Rejected { .. } | Outcome::Reset)
    }

    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        matches!(self, Outcome::Error) || self.may_still_run()
    }

    /// Whether the attempt may still take effect.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled)
    }
}

/// A message submitted for delivery.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub id: MessageId,
    pub class: usize,
    pub destination: DestinationId,
    pub tenant: usize,
    /// The ordering key, where the class delivers in order.
    pub key: Option<u64>,
    /// The message may be delivered until this time.
    pub deadline: Micros,
    pub history: History,
}

/// An attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleRun {
    /// When it was sent.
    pub at: Micros,
    /// The zone of its host, if known.
    pub zone: Option<u16>,
}

/// What happened to a message before this sender started; empty for a new message. Messages with a history
/// are submitted before all others, in the order in which they were first accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// An earlier sender accepted the message, so it must reach a final result even if its destination is not
    /// known yet.
    pub restored: bool,
    pub attempts: u32,
    /// The first attempt that may have run.
    pub possible_run: Option<PossibleRun>,
    /// When the first attempt that visibly failed, other than by being rejected unprocessed, was sent.
    pub failed_at: Option<Micros>,
    /// When a restart cut off an attempt in flight, if it did; that attempt may still run.
    pub interrupted_at: Option<Micros>,
    /// The message was given up; its final result has yet to be reported.
    pub given_up: bool,
}

/// The connection of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    /// How long the connection had been idle; `None` for a new one.
    pub idle_for: Option<Micros>,
    /// The connection is idle now and may carry another call.
    pub kept: bool,
}

/// What a destination says about its rate limit in an answer; delayed, and not exact.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLimit {
    /// Calls per second that the destination accepts.
    pub rate: f64,
    /// Share of the limit that is left at the moment, if the destination says so.
    pub left: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub id: MessageId,
    pub attempt: u32,
    pub outcome: Outcome,
    pub took: Micros,
    /// The message needs no answer any more.
    pub closed: bool,
    /// `None` where the destination said nothing about its limit.
    pub limit: Option<ReportedLimit>,
    /// `None` where the caller does not know.
    pub connection: Option<ConnectionUse>,
}

/// What a sender has learnt about a route (the holder of a rate limit) and its hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct LearntRoute {
    pub destination: DestinationId,
    /// The route is a single host of the destination.
    pub apart: bool,
    pub hosts: Vec<HostId>,
    /// Calls per second that the destination said it accepts.
    pub rate: Option<f64>,
    /// Mean answer time and its mean deviation, in microseconds.
    pub answer_time: f64,
    pub deviation: f64,
    /// The destination demanded that no call be sent before this time.
    pub wait_until: Micros,
}

/// What a sender has learnt and its successor after a restart may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learnt {
    /// When this was recorded.
    pub at: Micros,
    pub routes: Vec<LearntRoute>,
    /// Hosts whose circuit breaker was open, and since when.
    pub out: Vec<(HostId, Micros)>,
}

/// Which part of a destination's messages may go to its hosts in one zone, and the rank of that zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    pub destination: DestinationId,
    pub zone: u16,
    /// Among healthy hosts, those of lower ranks are preferred.
    pub rank: u8,
    /// Part of the messages that may go to the zone, from 0 to 1. A message for which no zone with a ready
    /// host is left may go to all zones.
    pub part: f64,
}

/// Input events, in order of arrival.
#[derive(Clone, Debug)]
pub enum Event {
    Registry(RegistryUpdate),
    Message(Request),
    /// The message needs no answer any more: nobody wants it, or its final result has been reported.
    Withdrawn(MessageId),
    Timer,
    /// The caller stops at this time and cuts off the calls in flight.
    Stop {
        by: Micros,
    },
    Ended(Ended),
    /// A new connection for an attempt is open and nothing is written on it yet: `Action::Write` or
    /// `Action::Withhold` is the answer. A caller whose connections open at once sends none of these.
    Opened {
        id: MessageId,
        attempt: u32,
    },
    /// Whether part of an attempt's call still waits to be written.
    Stalled {
        id: MessageId,
        attempt: u32,
        stalled: bool,
    },
    Probed {
        host: HostId,
        outcome: Outcome,
        limit: Option<ReportedLimit>,
    },
    Peer {
        from: u16,
        bytes: Vec<u8>,
    },
    /// Sent after the first list: what the previous process of this sender had learnt.
    Learnt(Learnt),
    /// Replaces all earlier placements: a zone that is not named has rank 0 and takes all messages.
    PlacementsChanged(Vec<Placement>),
    /// New settings with the same kinds; classes are only added, so that each message keeps its own.
    SettingsChanged(Settings),
}

/// Output actions, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        id: MessageId,
        host: HostId,
        /// `timeout` bounds the wait for an answer; the connection must open within its first part,
        /// `connect`.
        timeout: Micros,
        connect: Micros,
    },
    /// Write the attempt's call on the connection that was opened for it.
    Write {
        id: MessageId,
        attempt: u32,
    },
    /// Write nothing; the attempt does not count, and its connection is idle again.
    Withhold {
        id: MessageId,
        attempt: u32,
    },
    /// Stop waiting for an attempt.
    Cancel {
        id: MessageId,
        attempt: u32,
    },
    /// Final answer: not delivered, and safe to submit again, after `retry_after` if it is above 0.
    Refuse {
        id: MessageId,
        retry_after: Micros,
    },
    /// Final answer: given up; the message may or may not have taken effect.
    Fail(MessageId),
    Probe(HostId),
    /// Close the idle connections to a host.
    CloseIdle(HostId),
    /// Send a message to one peer, or to every peer if `to` is `None`.
    Tell {
        to: Option<u16>,
        bytes: Vec<u8>,
    },
    /// Subscribe to the registry's changes.
    Subscribe,
    /// Request a `Timer` event at this time or just after it.
    Wake(Micros),
    Log(String),
}
