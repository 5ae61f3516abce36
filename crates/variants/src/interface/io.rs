//! Inputs and effects. Effects are carried out in their order.

use pewterseam_fleet::interface::{
    CallId, Decision, Epoch, MemberId, Members, Proposal, Refusal, Severity, Ticket, Unanswered,
};

use super::Micros;
use crate::claims::End;
use crate::rules::VariantsFile;

/// A message that a client handed in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offered {
    /// The relay's number of it, never used again in this process.
    pub handle: u64,
    pub class: String,
    pub tenant: String,
    pub destination: u32,
    pub headers: Vec<(String, Vec<u8>)>,
    pub cookies: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// By the machine's clock: it is not delivered later. Danger: owners forget a claim that ended unheard of
    /// by it.
    pub deadline: Micros,
    /// An earlier process of this relay was told to deliver it, and kept it.
    pub resumed: bool,
}

/// Why a message is delivered without a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Unmerged {
    /// Its class has no rule.
    NoRule,
    /// A part of its key is not there, or is there twice.
    NoKey,
    /// The tables of its owners are full.
    Full,
    /// This relay has no room for one more that waits.
    NoRoom,
    /// No two owners said anything that helps.
    NoQuorum,
    /// A variant of it may have run, and its relay is not heard of.
    Uncertain,
    /// It lacks what tells two messages of its key apart.
    Ambiguous,
}

/// What happened outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Input<'a> {
    /// The time that a [`Effect::Wake`] named has come. Earlier and later ones do no harm.
    Timer,
    /// The members, whenever they are seen otherwise than before.
    Members(&'a Members),
    /// A decision is in force: at the start all of them, then each new one.
    Decided(&'a Decision),
    Proposed {
        ticket: Ticket,
        outcome: Result<Epoch, Refusal>,
    },
    Told {
        from: MemberId,
        body: &'a [u8],
    },
    Asked {
        call: CallId,
        from: MemberId,
        body: &'a [u8],
    },
    Replied {
        ticket: Ticket,
        answer: Result<Vec<u8>, Unanswered>,
    },
    /// The operator's file was read, at the start or again.
    File(&'a VariantsFile),
    /// A message was handed in. Until [`Effect::Deliver`] or [`Effect::Unmerged`] not a byte of it goes out.
    Offered(&'a Offered),
    /// The first call with it is about to be written.
    Started {
        handle: u64,
    },
    /// It ended for good.
    Ended {
        handle: u64,
        end: End,
    },
    /// This relay does not deliver it any more: its time is up, or its client took it back.
    Withdrawn {
        handle: u64,
        may_have_run: bool,
    },
}

/// What is to be done.
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
    /// [`Input::Timer`] is wanted then; it replaces the time that was named before.
    Wake(Micros),
    Log {
        severity: Severity,
        line: String,
    },
    /// It is this relay's to deliver. Whether a variant of it may have run elsewhere; only in classes that
    /// may run twice.
    Deliver {
        handle: u64,
        may_have_run: bool,
    },
    /// A variant is on its way elsewhere, or may be; another effect follows.
    Wait {
        handle: u64,
    },
    /// A variant ended so: this is its answer, and it is over.
    Answer {
        handle: u64,
        end: End,
    },
    /// It is over here; its client may come again after this span.
    HandBack {
        handle: u64,
        after: Micros,
    },
    /// Deliver it without a claim.
    Unmerged {
        handle: u64,
        why: Unmerged,
    },
}
