//! A claim on a message.

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::MemberId;
use serde::{Deserialize, Serialize};

/// Longest answer that is kept, in bytes; longer ones are cut there. With what is around it an owner keeps
/// thousands of them in a few megabytes.
pub const MOST_ANSWER_BYTES: usize = 1_024;

/// How a message ended, for all its variants.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// The partner took it; what it answered, up to [`MOST_ANSWER_BYTES`].
    Delivered { answer: Vec<u8> },
    /// It failed for good.
    Failed { answer: Vec<u8> },
}

impl End {
    pub fn answer(&self) -> &[u8] {
        match self {
            End::Delivered { answer } | End::Failed { answer } => answer,
        }
    }

    pub fn without_answer(self) -> Self {
        match self {
            End::Delivered { .. } => End::Delivered { answer: Vec::new() },
            End::Failed { .. } => End::Failed { answer: Vec::new() },
        }
    }

    /// With its answer cut to the longest that is kept; whether it was cut.
    pub fn cut(mut self) -> (Self, bool) {
        let (End::Delivered { answer } | End::Failed { answer }) = &mut self;
        let cut = answer.len() > MOST_ANSWER_BYTES;
        answer.truncate(MOST_ANSWER_BYTES);
        answer.shrink_to_fit();
        (self, cut)
    }
}

/// A message at the relay that took it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    pub member: MemberId,
    /// Of the relay's process.
    pub incarnation: u32,
    /// The relay's number of the message.
    pub handle: u64,
}

/// How far a claimed message is, as far as its owner was told. Free is no claim; uncertain is one that runs
/// and whose holder is not heard of any more.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Not a byte of it has gone out.
    Claimed,
    /// It may have run.
    Running,
    Done(End),
}

/// What an owner knows of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    pub holder: Holder,
    /// Grows with each try of a holder, so that what an earlier one said late changes nothing.
    pub ballot: u32,
    pub phase: Phase,
    /// It may run twice if that spares a wait.
    pub bold: bool,
    /// Two messages have it, as far as two earlier owners knew, and nobody may go on.
    pub contested: bool,
    /// The holder has to be heard of until then.
    pub lease: Micros,
    /// Forgotten then.
    pub expires: Micros,
    /// Of parts that keep apart where they are there: what was seen of each.
    pub prints: Box<[Option<u64>]>,
    /// Parts, a bit each, that one of the merged messages lacked and another had.
    pub blank: u32,
    /// Parts, a bit each, of which a message came that differs.
    pub differed: u32,
    /// Relays that are told of its end; others ask again by themselves.
    pub waiters: Vec<MemberId>,
}

impl Claim {
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done(_))
    }

    /// The holder is not heard of any more.
    pub fn is_left(&self, now: Micros, lives: bool) -> bool {
        !self.is_done() && (self.lease <= now || !lives)
    }

    /// Bytes beyond the claim itself.
    pub fn answer_bytes(&self) -> usize {
        match &self.phase {
            Phase::Done(end) => end.answer().len(),
            _ => 0,
        }
    }

    /// Adds what another owner knew of the same key.
    pub fn join(&mut self, other: Claim) {
        self.expires = self.expires.max(other.expires);
        self.contested |= other.contested;
        self.blank |= other.blank;
        self.differed |= other.differed;
        for (print, theirs) in self.prints.iter_mut().zip(other.prints.iter()) {
            *print = print.or(*theirs);
        }
        if self.is_done() {
            return;
        }
        if other.is_done() {
            (self.holder, self.ballot, self.phase) = (other.holder, other.ballot, other.phase);
        } else if self.holder == other.holder {
            self.ballot = self.ballot.max(other.ballot);
            self.lease = self.lease.max(other.lease);
            if other.phase == Phase::Running {
                self.phase = Phase::Running;
            }
        } else {
            // Danger: either may be the one that two owners granted; letting one go on could be a second run.
            self.contested |= !self.bold;
            if (other.ballot, other.holder) > (self.ballot, self.holder) {
                (self.holder, self.ballot, self.lease) = (other.holder, other.ballot, other.lease);
            }
            if other.phase == Phase::Running {
                self.phase = Phase::Running;
            }
        }
    }
}
