//! What goes into the decision module and what comes out of it.
//!
//! Times are whole microseconds of the caller's clock. Nothing here depends on a wire or a socket.

mod settings;

pub use settings::{Class, Effect, Group, Kind, Lateness, Listing, Settings, Tenant};

/// A point in time, or a span of it, in microseconds.
pub type Micros = u64;

/// One endpoint of a destination, opaque to the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u64);

/// One message, unique for the life of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u64);

/// The number of another firm's system.
pub type DestinationId = u32;

/// What the registry says of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of the registry's list.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub host: HostId,
    pub zone: u16,
    pub kind: usize,
    pub destination: DestinationId,
    pub lifecycle: Lifecycle,
    pub weight: f64,
}

/// What the registry told.
#[derive(Clone, Debug)]
pub enum RegistryNews {
    /// The whole list; a host missing from it is gone.
    Whole(Vec<Listed>),
    /// Changed lines only.
    Changes(Vec<Listed>),
    /// A call failed or a subscription broke; the list stays as it was.
    Failed,
    /// The same, since the registry has more calls than it can answer.
    Refused,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    /// The destination answered with an error; it may have run.
    Error,
    /// Turned away unseen, perhaps with a wait (0: none told).
    Full {
        wait: Micros,
    },
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection in time; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// A host's own word, or the end of its connection, tells that it is there.
    pub fn is_heard(self) -> bool {
        matches!(self, Outcome::Ok | Outcome::Error | Outcome::Full { .. } | Outcome::Reset)
    }

    /// The attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        matches!(self, Outcome::Error) || self.may_still_run()
    }

    /// The attempt may take effect even now.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled)
    }
}

/// A message handed in.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub id: MessageId,
    pub class: usize,
    pub destination: DestinationId,
    pub tenant: usize,
    /// The key of its order, where the class has one.
    pub key: Option<u64>,
    /// It may be delivered until then.
    pub deadline: Micros,
    pub history: History,
}

/// An attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ran {
    /// When it was sent.
    pub at: Micros,
    /// Where its host stands, if that is known.
    pub zone: Option<u16>,
}

/// What became of a message before this sender's start; nothing for a new one. Messages with a history are
/// handed in before all others, in the order in which they were first taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// It was taken on by an earlier sender: its end is owed, whatever is known of its destination yet.
    pub restored: bool,
    pub attempts: u32,
    /// The first attempt that may have run.
    pub ran: Option<Ran>,
    /// When the first attempt that was seen to fail, other than by being turned away, was sent.
    pub failed_at: Option<Micros>,
    /// When an attempt was cut off, if one was out at the end; it may still run.
    pub cut_at: Option<Micros>,
    /// It was given up; its end is yet to be told.
    pub over: bool,
}

/// The connection of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Carrier {
    /// How long it had been idle; none for a new one.
    pub idle_for: Option<Micros>,
    /// It is idle now, and may carry another.
    pub kept: bool,
}

/// What a destination tells of its limit in an answer; late, and not exact.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Calls a second that it takes.
    pub rate: f64,
    /// Share of its limit that is left just now, if it tells that.
    pub left: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub id: MessageId,
    pub attempt: u32,
    pub outcome: Outcome,
    pub took: Micros,
    /// The message is over; no answer is owed.
    pub closed: bool,
    /// None where it told nothing.
    pub limit: Option<Allowance>,
    /// None where the caller does not know.
    pub carrier: Option<Carrier>,
}

/// What a sender has learnt of a limit's holder and its hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct LearntRoute {
    pub destination: DestinationId,
    /// It is one host of it alone.
    pub apart: bool,
    pub hosts: Vec<HostId>,
    /// Calls a second that it said it takes.
    pub rate: Option<f64>,
    /// Mean time of an answer and its mean deviation, in microseconds.
    pub answer_time: f64,
    pub deviation: f64,
    /// No call goes before then: the destination said so.
    pub wait_until: Micros,
}

/// What a sender has learnt and the next one at its place may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learnt {
    /// When this was so.
    pub at: Micros,
    pub routes: Vec<LearntRoute>,
    /// Hosts that were out of order, and since when.
    pub out: Vec<(HostId, Micros)>,
}

/// What of a destination's messages may go to its hosts of one zone, and after which others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    pub destination: DestinationId,
    pub zone: u16,
    /// Hosts of lower ranks go first among healthy ones.
    pub rank: u8,
    /// Part of the messages that may go there, from 0 to 1. Where no zone with a ready host is left to a message,
    /// all are.
    pub part: f64,
}

/// What happened, in order of arrival.
#[derive(Clone, Debug)]
pub enum Event {
    Registry(RegistryNews),
    Message(Request),
    /// No answer is owed any more: nobody wants the message, or its end has been told.
    Withdrawn(MessageId),
    Timer,
    /// The caller stops then and cuts off what is out.
    Stop {
        by: Micros,
    },
    Ended(Ended),
    /// A new connection for an attempt is open and nothing is written on it yet: `Action::Write` or
    /// `Action::Withhold` is the answer. A caller whose connections open at once has none of these.
    Opened {
        id: MessageId,
        attempt: u32,
    },
    /// Part of an attempt's call waits to be written, or none does any more.
    Stalled {
        id: MessageId,
        attempt: u32,
        stalled: bool,
    },
    Probed {
        host: HostId,
        outcome: Outcome,
        limit: Option<Allowance>,
    },
    Peer {
        from: u16,
        bytes: Vec<u8>,
    },
    /// After the first list: what the sender that was here before had learnt.
    Learnt(Learnt),
    /// In place of all that was told before: a zone that is not named has rank 0 and takes all.
    Placed(Vec<Placement>),
    /// New settings, of the same kinds; classes are only added, so that each message keeps its own.
    Retuned(Settings),
}

/// What to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        id: MessageId,
        host: HostId,
        /// Time to wait for an answer, and that part of it in which a connection must open.
        timeout: Micros,
        connect: Micros,
    },
    /// Write the call of an attempt on the connection that was opened for it.
    Write {
        id: MessageId,
        attempt: u32,
    },
    /// Write nothing; the attempt does not count, and its connection is idle now.
    Withhold {
        id: MessageId,
        attempt: u32,
    },
    /// Stop waiting for an attempt.
    Cancel {
        id: MessageId,
        attempt: u32,
    },
    /// Final answer: not delivered, safe to hand in again, after `retry_after` if above 0.
    Refuse {
        id: MessageId,
        retry_after: Micros,
    },
    /// Final answer: given up, with no promise about its effect.
    Fail(MessageId),
    Probe(HostId),
    /// Close the idle connections to a host.
    CloseIdle(HostId),
    /// Tell one peer, or every one.
    Tell {
        to: Option<u16>,
        bytes: Vec<u8>,
    },
    /// Subscribe to the registry's changes.
    Subscribe,
    /// Ask for a `Timer` event at this time or just after it.
    Wake(Micros),
    Log(String),
}
