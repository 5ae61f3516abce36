//! What goes into a relay's broadcasts and what comes out of them.

use pewterseam::interface::{DestinationId, Micros};
use pewterseam_fleet::interface::{
    CallId, Decision, Epoch, MemberId, Members, Proposal, Refusal, Severity, Ticket, Unanswered,
};

use crate::groups::{BroadcastEnd, GroupsError, PartEnd, PartId};
use crate::lanes::{Change, Lane};
use crate::passing::{CallNumber, Hand, Record};

/// A broadcast's id, as the client gave it.
pub type BroadcastId = String;

#[derive(Clone, Debug, PartialEq)]
pub enum Input<'a> {
    Timer,
    Members(&'a Members),
    Decided(Decision),
    Proposed {
        ticket: Ticket,
        outcome: Result<Epoch, Refusal>,
    },
    Told {
        from: MemberId,
        body: Vec<u8>,
    },
    Asked {
        call: CallId,
        from: MemberId,
        body: Vec<u8>,
    },
    Replied {
        ticket: Ticket,
        answer: Result<Vec<u8>, Unanswered>,
    },
    /// A part came by `/api` from a relay; answered by [`Effect::HandReply`].
    Handed {
        call: CallNumber,
        from: MemberId,
        hand: Hand,
    },
    /// A broadcast was taken on and is in the journal; or was, when the process began. Then the relay tells
    /// the ends of parts that its journal has, and delivers none of those again.
    Broadcast {
        id: BroadcastId,
        group: String,
        deadline: Micros,
    },
    /// A part that the relay holds, and that surely never ran, is to be placed anew: see [`Effect::Moved`].
    Place {
        id: BroadcastId,
        destination: DestinationId,
    },
    /// The end of a part of a broadcast that was taken on here, and delivered here.
    PartEnded {
        id: BroadcastId,
        destination: DestinationId,
        end: PartEnd,
    },
    /// The end of a part that was taken on from another relay.
    TakenEnded {
        part: PartId,
        end: PartEnd,
    },
    /// A call for a part ended; `service` from its last byte to the answer or the time-out.
    CallEnded {
        group: &'a str,
        destination: DestinationId,
        service: Micros,
        silent: bool,
    },
    /// A call was turned away for a limit.
    TurnedAway {
        group: &'a str,
        destination: DestinationId,
    },
    /// The oldest part waits so long for a subscriber; counts until the round ends.
    Waits {
        destination: DestinationId,
        age: Micros,
    },
    Unwritten,
}

/// In their order; those behind a `Persist` rest on it.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Propose {
        ticket: Ticket,
        proposal: Proposal,
    },
    Tell {
        to: Option<MemberId>,
        body: Vec<u8>,
    },
    Ask {
        ticket: Ticket,
        to: MemberId,
        body: Vec<u8>,
    },
    Reply {
        call: CallId,
        body: Vec<u8>,
    },
    /// To the gateway's `/api`; its answer is [`Input::Replied`], with the bytes of `HandReply`.
    Hand {
        ticket: Ticket,
        to: MemberId,
        hand: Hand,
    },
    /// The answer to [`Input::Handed`]; 202 for `Taken`, 503 otherwise, and these bytes as the body.
    HandReply {
        call: CallNumber,
        body: Vec<u8>,
    },
    Persist(Vec<Record>),
    /// [`Input::Timer`] is wanted then; replaces the time named before.
    Wake(Micros),
    /// The part is this relay's to deliver, by its own rules and journal. The destination is none for one
    /// that was taken on, whose message has it.
    Deliver {
        part: PartId,
        destination: Option<DestinationId>,
        deadline: Micros,
        lane: Lane,
    },
    /// Subscribers moved. Parts for them that surely never ran are to be given back by [`Input::Place`].
    Moved(Change),
    /// The broadcast's end; nothing is owed for it any more.
    BroadcastOver {
        id: BroadcastId,
        end: BroadcastEnd,
    },
    /// A broadcast is not taken.
    Refused {
        id: BroadcastId,
        why: Refused,
    },
    Log {
        severity: Severity,
        line: String,
    },
}

/// Why a broadcast is not taken.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refused {
    #[error(transparent)]
    Group(#[from] GroupsError),
    #[error("too many broadcasts are on their way")]
    TooMany,
}

impl pewterseam_errors::Advice for Refused {
    fn code(&self) -> &'static str {
        match self {
            Refused::Group(error) => error.code(),
            Refused::TooMany => "broadcasts-too-many",
        }
    }

    fn help(&self) -> String {
        match self {
            Refused::Group(error) => error.help(),
            Refused::TooMany => {
                "have clients send fewer at once, or look for what holds up the last".to_owned()
            }
        }
    }
}
