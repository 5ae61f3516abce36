//! What goes into the passing of parts and what comes out of it.
//!
//! Effects are carried out in their order, and those behind a [`Effect::Persist`] rest on it: if it can't be
//! written they are dropped, and [`Input::Unwritten`] goes in.

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::{MemberId, Members, Severity, Ticket, Unanswered};
use serde::{Deserialize, Serialize};

use super::record::Record;
use crate::groups::{PartEnd, PartId};

/// A request that came in, as the driver numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// The so-many-th time that a taker passes a part on, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Pass(pub u32);

/// A relay's folder, by a number drawn when it was new.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Folder(pub u64);

/// A part on its way. The message itself goes by `/api`, under the part's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hand {
    pub part: PartId,
    pub pass: Pass,
    /// Of the gateway. Another one refuses it.
    pub folder: Folder,
    pub deadline: Micros,
}

/// What relays ask of each other beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Which folder it has.
    Folder,
    /// To take this pass on no more, if it was not taken on.
    Withdraw(Hand),
    /// A part that was taken on is over.
    Ended { part: PartId, end: PartEnd },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    Folder(Folder),
    /// The gateway owns the part, now or until it ended.
    Taken,
    /// Not now; an earlier or later request of the pass may be taken all the same.
    Refused,
    /// It was not taken on in this pass and never will be.
    NeverTaken,
    /// It was handed to another folder, of which nothing is known.
    OtherFolder(Folder),
    /// The word of an end has arrived.
    Noted,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input<'a> {
    /// The time of [`Effect::Wake`] has come.
    Timer,
    /// Whom the fleet sees, whenever it changes.
    Members(&'a Members),
    /// A part that this relay owns is to go to a gateway. Only one that was never tried, or whose attempts
    /// surely did not run: what is out is settled where it was sent.
    PassOn {
        part: PartId,
        to: MemberId,
        deadline: Micros,
    },
    /// A part that was taken on here is over.
    Ended {
        part: PartId,
        end: PartEnd,
    },
    /// A part came by `/api`.
    Handed {
        call: CallNumber,
        from: MemberId,
        hand: Hand,
    },
    Asked {
        call: CallNumber,
        from: MemberId,
        ask: Ask,
    },
    Replied {
        ticket: Ticket,
        answer: Result<Answer, Unanswered>,
    },
    /// Records could not be written.
    Unwritten,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Persist(Vec<Record>),
    /// To the gateway's `/api`; [`Input::Replied`] follows.
    Hand {
        ticket: Ticket,
        to: MemberId,
        hand: Hand,
    },
    /// A call between members; [`Input::Replied`] follows.
    Ask {
        ticket: Ticket,
        to: MemberId,
        ask: Ask,
    },
    Reply {
        call: CallNumber,
        answer: Answer,
    },
    /// The part is this relay's to deliver: taken on, come back, or so when the process began. Told again
    /// after a start; the journal knows what became of its attempts.
    Own {
        part: PartId,
        deadline: Micros,
    },
    /// The end of a part that this relay passed on. Told again after a start.
    Over {
        part: PartId,
        end: PartEnd,
    },
    Wake(Micros),
    Log {
        severity: Severity,
        line: String,
    },
}
