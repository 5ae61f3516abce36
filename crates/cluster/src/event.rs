//! What happens in a cluster.

use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_control::{OperatorRequest, Outcome, Token};
use pewterseam_delivery::{AttemptId, HostKey, Input as DeliveryInput, Target};
use pewterseam_queue::{Answer, NewMessage, StatusResult};
use pewterseam_wire::Micros;
use pewterseam_wire::control::ControlState;
use pewterseam_wire::record::{MessageName, Record};

use crate::calls::CallKey;
use crate::disk::{DiskCommand, DiskEvent, LogName};
use crate::faults::Fault;
use crate::long_troubles::Trouble;
use crate::message::PeerMessage;
use crate::scale_in::Scaling;

/// A number of a connection between two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Where a message came from, as in `pewterseam-transport`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Dialed(SocketAddr),
    Accepted(ConnectionId),
}

/// One life of the process of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Life {
    pub machine: usize,
    pub number: u64,
}

/// What a process is given.
pub enum Input {
    Wake,
    Datagram { from: SocketAddr, bytes: Vec<u8> },
    Message { origin: Origin, message: PeerMessage },
    Lost(Origin),
    Disk(LogName, DiskEvent),
    Client(Box<NewMessage>),
    ReadStatus { read: u64, name: MessageName },
    ReadBody { read: u64, name: MessageName },
    Operator { token: Token, request: OperatorRequest },
    Host(DeliveryInput),
    Stop,
}

/// What a process wants done.
pub enum Output {
    Datagram {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    Send {
        to: SocketAddr,
        message: PeerMessage,
    },
    Reply {
        origin: Origin,
        message: PeerMessage,
    },
    HangUp {
        address: SocketAddr,
    },
    Disk(LogName, DiskCommand),
    Answer {
        token: u64,
        answer: Answer,
    },
    /// A relay finds no route for what a client hands in.
    NoRoute {
        token: u64,
    },
    Status {
        read: u64,
        result: Option<StatusResult>,
    },
    Body {
        read: u64,
        result: Option<Option<Record>>,
    },
    Operator {
        token: Token,
        outcome: Outcome,
    },
    Start(StartCall),
    Write(AttemptId),
    Withhold(AttemptId),
    Abort(AttemptId),
    Probe {
        host: HostKey,
        target: Target,
    },
    CloseIdle {
        address: SocketAddr,
    },
    /// The agreed state of this process.
    InForce(Arc<ControlState>),
    Exit,
}

/// A call to a host.
pub struct StartCall {
    pub attempt: AttemptId,
    pub target: Target,
    pub request_id: Arc<str>,
    pub body: bytes::Bytes,
    pub ordering_key: Option<Arc<str>>,
    pub timeout: Micros,
    pub confirm: bool,
    /// Nothing is written later than this after the start.
    pub write_within: Micros,
}

/// What happens, and to whom.
pub enum Event {
    Process(Life, Input),
    /// A frame on a connection arrives at one of its ends.
    Arrive {
        connection: ConnectionId,
        at_dialer: bool,
        frame: bytes::Bytes,
    },
    /// One end of a connection learns that it is gone.
    Closed {
        connection: ConnectionId,
        at_dialer: bool,
    },
    DiskDone(Life, LogName),
    Fault(Fault),
    Trouble(Trouble),
    Scaling(Scaling),
    ClientSends {
        client: usize,
    },
    ClientHears {
        client: usize,
        request: u64,
        answer: Option<Answer>,
    },
    /// A client asks for the state of a message that was accepted.
    AskState {
        name: MessageName,
    },
    OperatorActs {
        operator: usize,
    },
    OperatorHears {
        operator: usize,
        token: Token,
        outcome: Outcome,
    },
    /// All relays are given the list of hosts.
    List,
    CallOpened(CallKey),
    CallArrives(CallKey),
    CallAnswered(CallKey, pewterseam_delivery::AttemptResult),
    /// A call reads an answer that its connection held before the request was written.
    LeftoverRead(CallKey, pewterseam_delivery::AttemptResult),
    CallTimesOut(CallKey),
    /// A planted fault has a request sent to the limited service without a permit.
    PermitUsedAgain(Life),
    RunEnds {
        run: u64,
    },
    HostsChange,
    /// All hosts of a service end.
    ServiceEnds {
        service: &'static str,
    },
    /// New hosts of a service begin after an outage.
    ServiceReturns {
        service: &'static str,
    },
}
