//! What goes into a fleet's machine and what comes out of it.
//!
//! Effects are carried out in their order. Danger: what stands behind a [`Effect::Persist`] may rest on it.
//! If the records can't be written, all effects behind it of that list are dropped, and
//! [`Input::Persisted`] says so.

use super::MOST_CALL_BYTES;
use super::decision::{Decision, Epoch, Kind, Proposal};
use super::member::{MemberId, MemberState};
use super::saved::Record;

/// A call over HTTP, as the driver numbers what comes in, and the fleet what goes out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a part of the relay numbers: proposals, and calls of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Whom a part's calls and tellings belong to; the same numbers as the upper bytes of [`Kind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Part(pub u8);

impl Part {
    pub const FLEET: Part = Part((Kind::FLEET.0 >> 8) as u8);
    pub const FAILOVER: Part = Part((Kind::FAILOVER.0 >> 8) as u8);
    pub const BROADCASTS: Part = Part((Kind::BROADCASTS.0 >> 8) as u8);
    pub const VARIANTS: Part = Part((Kind::VARIANTS.0 >> 8) as u8);
}

/// What happened outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The time that a [`Effect::Wake`] named has come. Earlier and later ones do no harm.
    Timer,
    /// A datagram that `pewterseam_fleet::is_fleet_datagram` says is ours, from a peer's address.
    Datagram { from: MemberId, bytes: Vec<u8> },
    /// `POST /fleet/call` came in; it is answered by [`Effect::Answer`] with this number.
    Call { call: CallId, body: Vec<u8> },
    /// What became of an [`Effect::Call`].
    Answer { call: CallId, answer: Result<Vec<u8>, Unanswered> },
    /// Whether an [`Effect::Persist`] of this number is on disk; told before anything else goes in.
    Persisted { number: u64, written: bool },
    /// A part would have something decided; [`Effect::Proposed`] follows.
    Propose { ticket: Ticket, proposal: Proposal },
    /// A part tells one member, or all, something in a datagram: late or never, of at most
    /// [`super::MOST_TOLD_BYTES`].
    Tell { to: Option<MemberId>, part: Part, body: Vec<u8> },
    /// A part asks a member by a call of at most [`MOST_CALL_BYTES`]; [`Effect::Replied`] follows.
    Ask { ticket: Ticket, to: MemberId, part: Part, body: Vec<u8> },
    /// A part's answer to an [`Effect::Asked`].
    Reply { call: CallId, body: Vec<u8> },
    /// The file with the fleet's key was read again: new ones go out under the first, all of them are taken.
    Keys(Vec<[u8; 32]>),
    /// The process ends: say so to the others.
    Stop,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unanswered {
    #[error("no connection to the member; see whether it runs and listens where its configuration says")]
    NotConnected,
    #[error("no answer in time; the member may be stalled or cut off, see it in the /status of others")]
    TooLate,
    #[error("answered with {0}; both members must have the same key and a like version, see their logs")]
    Status(u16),
    #[error("the answer is not sealed with the fleet's key; compare the key files of both members")]
    NotSealed,
    #[error("the member's address is not known yet; it is learnt within seconds of a start")]
    Unknown,
    #[error("it does not know calls of this part; it runs an older version")]
    NotUnderstood,
    #[error("the body is above {MOST_CALL_BYTES} bytes")]
    TooLong,
}

/// Why something was not decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    #[error(
        "no quorum of voters is in reach, the last decisions hold; bring voters back or heal the network"
    )]
    NoQuorum,
    #[error("something newer was decided of the subject; it is proposed anew from there")]
    Overtaken,
    #[error("a decision is too long; what is decided of one subject has to be shorter")]
    TooLong,
    #[error("too many proposals wait; it is proposed again later")]
    TooMany,
    /// It may still be decided: whoever proposed looks at the decisions in force.
    #[error("nobody said what became of the proposal; the decisions in force will show it")]
    Unknown,
}

/// For the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    Info,
    Warning,
    Error,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Written, and in the kernel's hands at the least, before anything behind it is done. See the module's
    /// words.
    Persist {
        number: u64,
        records: Vec<Record>,
    },
    /// In place of all that was persisted before it (a folder that is written anew); otherwise as `Persist`.
    PersistAnew {
        number: u64,
        records: Vec<Record>,
    },
    Datagram {
        to: MemberId,
        bytes: Vec<u8>,
    },
    /// `POST /fleet/call` to a member's listener.
    Call {
        call: CallId,
        to: MemberId,
        address: std::net::SocketAddr,
        body: Vec<u8>,
    },
    /// The answer to an [`Input::Call`].
    Answer {
        call: CallId,
        status: u16,
        body: Vec<u8>,
    },
    /// [`Input::Timer`] is wanted then; it replaces the time that was named before.
    Wake(super::Micros),
    /// A decision is in force here. They come in the order of their epochs; a member that learns late is
    /// spared those that were overtaken meanwhile.
    Decided(Decision),
    /// What was decided of a subject ended while this member was away, for longer than others remember
    /// which epoch ended it.
    Ended {
        kind: Kind,
        subject: Vec<u8>,
    },
    /// What became of a proposal: the epoch in which it was decided.
    Proposed {
        ticket: Ticket,
        outcome: Result<Epoch, Refusal>,
    },
    /// The member is seen otherwise than before, or told something else of itself; none before for a new one.
    MemberChanged {
        id: MemberId,
        incarnation: u32,
        before: Option<MemberState>,
        now: MemberState,
    },
    /// A member told a part something.
    Told {
        from: MemberId,
        part: Part,
        body: Vec<u8>,
    },
    /// A member asks a part; answered by [`Input::Reply`].
    Asked {
        call: CallId,
        from: MemberId,
        part: Part,
        body: Vec<u8>,
    },
    /// What became of an [`Input::Ask`].
    Replied {
        ticket: Ticket,
        answer: Result<Vec<u8>, Unanswered>,
    },
    Log {
        severity: Severity,
        line: String,
    },
}
