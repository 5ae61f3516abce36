//! What goes into the reducer and what comes out of it.

use std::net::SocketAddr;

use pewterseam::interface::{HostId, Micros};

use pewterseam_durable::record::Record;
use pewterseam_fleet::interface::{CallId, Record as FleetRecord, Unanswered};

use crate::call::{Call, Reply};
use crate::change::{Change, Rejected};
use crate::client::{Answer, Offer, Question, RequestId};
use crate::list::List;
use crate::notice::Notice;
use crate::operator::{Operation, Verdict};
use crate::pool::ConnectionId;

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client hands a message in.
    Offer {
        id: RequestId,
        offer: Offer,
    },
    Question {
        id: RequestId,
        question: Question,
    },
    /// What a client sent was no request, and was answered so.
    BadRequest,
    /// An operator's call.
    Operation {
        id: RequestId,
        operation: Operation,
    },
    /// What an operator sent was no call, or came too slowly, or one too many.
    BadOps,
    /// A connection was closed on which no request had come, or turned away as one too many.
    Silent,
    Crowded,
    /// A connection is open, or can't be had in time.
    Opened(ConnectionId),
    NotOpened(ConnectionId),
    /// A connection closed while it was idle, or had closed when a call was to be written to it: nothing was.
    Closed(ConnectionId),
    /// Part of a connection's call waits to be written, or none does any more.
    Stalled {
        connection: ConnectionId,
        stalled: bool,
    },
    /// The outcome of a connection's call.
    Called {
        connection: ConnectionId,
        reply: Reply,
    },
    Probed {
        host: HostId,
        reply: Reply,
    },
    Listed(List),
    ListFailed,
    /// Discovery turned the question away: it has too many.
    ListRefused,
    Peer {
        from: u16,
        bytes: Vec<u8>,
    },
    /// A datagram that no peer sent, or too long a one.
    Stray,
    /// A member of the fleet calls, on the clients' listener.
    MemberCall {
        id: RequestId,
        body: Vec<u8>,
    },
    /// What became of an [`Effect::CallMember`].
    MemberAnswered {
        call: CallId,
        answer: Result<Vec<u8>, Unanswered>,
    },
    /// The file with the fleet's keys was read again.
    FleetKeys(Vec<[u8; 32]>),
    /// Notices that were answered; not `read` where the platform could make nothing of one.
    Told {
        numbers: Vec<u64>,
        read: bool,
    },
    /// Notices that were not answered as they should be.
    NotTold {
        status: Option<u16>,
    },
    /// The journal was to be written anew.
    WrittenAnew {
        done: bool,
    },
    /// The configuration was read again: what is new in it, or what is wrong with it.
    Configured(Result<Change, Rejected>),
    /// The process ends then; what is out by then is cut off. New requests are taken on until `Close`.
    Stop {
        by: Micros,
    },
    Close,
}

/// What is to be done outside, once the step's records are in the journal.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Answer {
        id: RequestId,
        answer: Answer,
    },
    /// To an operator.
    Tell {
        id: RequestId,
        verdict: Verdict,
        text: String,
    },
    /// Clients are sent away, or taken again: `/_health` says so, and connections close between requests.
    Standby(bool),
    /// The names of hosts under maintenance, to be kept for the next process.
    KeepMaintenance(Vec<String>),
    /// Open a connection in that time.
    Open {
        connection: ConnectionId,
        address: SocketAddr,
        within: Micros,
    },
    /// Write a call to an open connection that carries none.
    Call(Call),
    /// Give a connection's call up so that nothing of it arrives any more.
    Abandon(ConnectionId),
    /// Close connections that carry nothing.
    Close(Vec<ConnectionId>),
    Probe {
        host: HostId,
        address: SocketAddr,
        path: &'static str,
        timeout: Micros,
    },
    Notify(Notice),
    /// To one peer, or every one.
    Gossip {
        to: Option<u16>,
        bytes: Vec<u8>,
    },
    /// `POST /fleet/call` to a member of the fleet.
    CallMember {
        call: CallId,
        address: SocketAddr,
        body: Vec<u8>,
    },
    /// Write what the fleet's machine keeps, `anew` in place of all before it, and say at once whether that went
    /// well, by [`crate::reducer::Reducer::kept`]: more may rest on it.
    KeepFleet {
        number: u64,
        anew: bool,
        records: Vec<FleetRecord>,
    },
    /// Ask for the list and follow it.
    Follow,
    /// Discovery and the platform are there from now on.
    Move(SocketAddr),
    /// Step again then, at the latest.
    Wake(Micros),
    Log {
        level: Level,
        text: String,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    Info,
    Warn,
    Error,
}

/// What a step asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    pub records: Vec<Record>,
    pub effects: Vec<Effect>,
}
