//! Who a member is in the gossip, in few bytes: several updates have to fit into a datagram.

use serde::{Deserialize, Serialize};

use crate::interface::MemberId;

/// Set in a round by a member that goes.
const LEAVING: u8 = 0x80;
const MOST_ROUNDS: u8 = LEAVING - 1;

/// A member's place and process. Later ones of a place replace earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    pub place: MemberId,
    pub incarnation: u32,
    /// How often the process came back after it had been declared dead, and whether it leaves.
    round: u8,
}

impl Identity {
    pub fn new(place: MemberId, incarnation: u32) -> Self {
        Identity { place, incarnation, round: 0 }
    }

    pub fn leaves(&self) -> bool {
        self.round & LEAVING != 0
    }

    /// The same process as it says that it goes; it replaces all rounds of the process.
    pub fn leaving(self) -> Self {
        Identity { round: self.round | LEAVING, ..self }
    }

    /// The bytes that a gossip message of this member begins with and that the envelope's head has as well.
    pub fn prefix(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.place, self.incarnation)).unwrap_or_default()
    }
}

impl foca::Identity for Identity {
    type Addr = MemberId;

    fn renew(&self) -> Option<Self> {
        let (incarnation, round) = match self.round & !LEAVING {
            // Danger: with no rounds left the process has to go on as a later one, or it stays dead to the
            // others.
            MOST_ROUNDS => (self.incarnation.checked_add(1)?, 0),
            round => (self.incarnation, round + 1),
        };
        (!self.leaves()).then_some(Identity { incarnation, round, ..*self })
    }

    fn addr(&self) -> MemberId {
        self.place
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self > adversary
    }
}
