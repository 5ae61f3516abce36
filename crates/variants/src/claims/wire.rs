//! What claimants ask owners, and owners one another; in postcard's format, behind the fleet's keyed hash.

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::Epoch;
use serde::{Deserialize, Serialize};

use super::claim::{Claim, End, Holder, Phase};
use crate::rules::Key;

/// Asked in a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    Claims {
        /// The owners by which it was asked. Danger: two claimants with different owners would both have two.
        roster: Epoch,
        /// The newest rule that the asker knows.
        rules: Epoch,
        incarnation: u32,
        items: Vec<Item>,
    },
    /// All claims that the asker owns under this roster and did not own all along, behind a key.
    HandOver { roster: Epoch, after: Option<Key> },
}

/// Answered to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// In the order of the items.
    Claims(Vec<Said>),
    HandOver {
        /// The roster that the answerer goes by, and its process.
        roster: Epoch,
        incarnation: u32,
        claims: Vec<Kept>,
        /// Where to go on; none at the end.
        next: Option<Key>,
        /// The newest roster of whose keys the answerer knew all.
        complete: Epoch,
    },
    /// The answerer knows newer owners or rules than the asker, who will learn them.
    Newer,
    /// The answerer does not know the owners yet.
    Older,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Item {
    pub key: Key,
    /// The asker's message.
    pub handle: u64,
    pub ballot: u32,
    pub op: Op,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// Claims, or renews the lease of what is claimed.
    Claim(ClaimOp),
    /// It ended. A fact: heeded from anyone at any time.
    End { end: End, window_s: u32 },
    /// It did not run and does not go on.
    Release,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimOp {
    /// It may have run, or may from now on.
    pub running: bool,
    /// It held the claim in an earlier process of the relay.
    pub resumed: bool,
    pub bold: bool,
    pub lease_ms: u32,
    /// Until the message's deadline.
    pub left_ms: u32,
    pub window_s: u32,
    pub prints: Vec<Option<u64>>,
}

impl ClaimOp {
    pub fn lease(&self) -> Micros {
        Micros::from(self.lease_ms) * 1_000
    }

    /// Danger: a message that ended unheard of may have run until its deadline; it is kept for the window
    /// from there.
    pub fn keep(&self) -> Micros {
        Micros::from(self.left_ms) * 1_000 + Micros::from(self.window_s) * 1_000_000
    }
}

/// An owner's word on one item.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Said {
    /// The claim is the asker's; whether its last holder may have run it.
    Granted {
        may_have_run: bool,
    },
    /// Another one has it and is heard of.
    Held,
    /// Another one has it and is not heard of any more; it may have run.
    Uncertain,
    Done(End),
    /// The key is that of another message, which has another value of this part.
    Differs {
        part: u16,
        /// Messages without the part were merged with both.
        proof: bool,
        /// The asker lacks the part, so that nobody knows which of them it is.
        ambiguous: bool,
    },
    /// No room for one more claim.
    Full,
    /// The owner does not know yet what earlier owners knew of the key.
    NotReady,
    /// An end or a release was noted.
    Noted,
}

/// A claim on its way to a new owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    key: Key,
    holder: Holder,
    ballot: u32,
    phase: Phase,
    bold: bool,
    contested: bool,
    /// Spans from now, since clocks differ.
    lease: Micros,
    expires: Micros,
    prints: Vec<Option<u64>>,
    blank: u32,
    differed: u32,
}

impl Kept {
    pub fn of(now: Micros, key: Key, claim: &Claim) -> Self {
        Kept {
            key,
            holder: claim.holder,
            ballot: claim.ballot,
            phase: claim.phase.clone(),
            bold: claim.bold,
            contested: claim.contested,
            lease: claim.lease.saturating_sub(now),
            expires: claim.expires.saturating_sub(now),
            prints: claim.prints.to_vec(),
            blank: claim.blank,
            differed: claim.differed,
        }
    }

    pub fn claim(self, now: Micros) -> (Key, Claim) {
        let claim = Claim {
            holder: self.holder,
            ballot: self.ballot,
            phase: self.phase,
            bold: self.bold,
            contested: self.contested,
            lease: now.saturating_add(self.lease),
            expires: now.saturating_add(self.expires),
            prints: self.prints.into(),
            blank: self.blank,
            differed: self.differed,
            waiters: Vec::new(),
        };
        (self.key, claim)
    }
}
