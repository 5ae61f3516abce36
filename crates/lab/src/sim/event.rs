//! What may happen in simulated time. An event that is for one life of a relay's process names it: a later
//! process takes no notice.

use std::rc::Rc;

use pewterseam_node::pool::ConnectionId;

use crate::story::{CallNumber, HostNumber, RelayNumber};

/// Which process of a relay, counted from its first.
pub(super) type Life = u32;

#[derive(Clone, Debug)]
pub(super) enum Event {
    // ---- Relays
    Starts {
        relay: RelayNumber,
    },
    /// Serves what came, and what is due.
    Turn {
        relay: RelayNumber,
        life: Life,
    },
    Wake {
        relay: RelayNumber,
        life: Life,
    },
    /// Whoever deals out clients asks whether it is ready.
    HealthAsked {
        relay: RelayNumber,
        life: Life,
    },
    /// A step of its stop is due.
    StopDue {
        relay: RelayNumber,
        life: Life,
    },
    /// Clients hear that it is gone.
    Missed {
        relay: RelayNumber,
        life: Life,
    },
    // ---- Between relays
    Datagram {
        from: RelayNumber,
        to: RelayNumber,
        bytes: Rc<[u8]>,
    },
    // ---- Relays and hosts
    Opened {
        relay: RelayNumber,
        life: Life,
        connection: ConnectionId,
    },
    NotOpened {
        relay: RelayNumber,
        life: Life,
        connection: ConnectionId,
    },
    /// An idle connection was closed by its host.
    ClosedIdle {
        relay: RelayNumber,
        life: Life,
        connection: ConnectionId,
    },
    /// A call's last byte comes to its host.
    Arrives(CallNumber),
    /// A host writes its answer.
    Answers(CallNumber),
    /// The answer comes to the relay.
    Answered(CallNumber),
    /// The host's end of a call's connection breaks.
    Breaks(CallNumber),
    /// The relay waits no more.
    TimedOut(CallNumber),
    Probes {
        relay: RelayNumber,
        life: Life,
        host: HostNumber,
        within: u64,
    },
    Probed {
        relay: RelayNumber,
        life: Life,
        host: HostNumber,
        how: Probe,
    },
    // ---- Clients
    /// The next message comes into being.
    Message,
    HandIn(usize),
    /// A request's last byte comes to its relay.
    Offers(usize),
    /// Its answer comes to the client.
    Replies {
        request: usize,
        status: u16,
        after_ms: u64,
        cut_short: bool,
    },
    GivesUp(usize),
    // ---- Discovery and the platform
    /// What discovery has to tell comes to a relay's agent.
    Pushed {
        relay: RelayNumber,
    },
    /// What a silent question missed counts as told.
    CountsAsTold {
        relay: RelayNumber,
    },
    /// The agent answers a question of that number.
    ListAnswers {
        relay: RelayNumber,
        life: Life,
        asked: u64,
    },
    ListTurnedAway {
        relay: RelayNumber,
        life: Life,
        asked: u64,
    },
    ListFails {
        relay: RelayNumber,
        life: Life,
        asked: u64,
    },
    /// The platform reads notices; `told` numbers the request that brings them.
    Reads {
        relay: RelayNumber,
        life: Life,
        told: u64,
        numbers: Rc<[u64]>,
    },
    /// Its answer comes.
    NoticesAnswered {
        relay: RelayNumber,
        life: Life,
        told: u64,
        numbers: Rc<[u64]>,
    },
    NoticesFail {
        relay: RelayNumber,
        life: Life,
        told: u64,
    },
    TellNotices {
        relay: RelayNumber,
        life: Life,
    },
    // ---- Faults and hosts
    FaultBegins(usize),
    FaultEnds(usize),
    /// A flapping fault turns.
    Flaps {
        place: usize,
        silent: bool,
    },
    /// A cold host can do a little more.
    Warms {
        host: HostNumber,
        returned: u64,
    },
    /// A host is to leave, and a new one to stand in its place.
    Replaced(HostNumber),
    HostGone(HostNumber),
}

/// What came of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Probe {
    Well,
    Busy,
    NoConnection,
    NoAnswer,
}
