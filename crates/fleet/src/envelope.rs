//! The bytes of a datagram between members.
//!
//! Mark, format, then in postcard's format the head, the body, and last a keyed hash. The receiver's place
//! is hashed and not sent, so that a datagram that is led elsewhere is refused there.

use serde::{Deserialize, Serialize};

use crate::identity::Identity;
use crate::interface::{MOST_DATAGRAM_BYTES, MemberId, Part};
use crate::keys::{DATAGRAM_HASH_BYTES, Keys};

/// First byte of each. The relays' own small messages begin with their version, 3 (`src/memo.rs`).
const MARK: u8 = 0xF5;
/// How the bytes are laid out. Another one is refused: only a change that no older member could read raises
/// it. What a member knows beyond that is its version, which it tells.
const FORMAT: u8 = 1;
/// Longest head that there can be: all numbers at their largest.
const MOST_HEAD_BYTES: usize = 2 + 3 + 5 + 10 + 1 + 10;
/// Longest body, in bytes: what is left.
pub const MOST_BODY_BYTES: usize = MOST_DATAGRAM_BYTES - MOST_HEAD_BYTES - DATAGRAM_HASH_BYTES - 3;

/// Whether a datagram that came from a peer is of the fleet, and goes to its machine. Not whether it is a
/// sound one.
pub fn is_fleet_datagram(bytes: &[u8]) -> bool {
    bytes.first() == Some(&MARK)
}

/// Who sent a datagram, and the little that each carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub from: MemberId,
    pub incarnation: u32,
    /// Grows with each datagram of the sender, against replay.
    pub sequence: u64,
    /// See [`crate::interface::Member::doubt`].
    pub doubt: u8,
    /// Up to which decisions are known to the sender.
    pub epoch: u64,
}

/// What a datagram is for. New ones are put last; an older member refuses them as not known, and counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A message of the gossip, without the sender's identity's beginning, which stands in the head.
    Swim(Vec<u8>),
    /// Who the sender is.
    Profile(Profile),
    /// Asks for a profile.
    WhoAreYou,
    /// Your incarnation is below the one known of your place.
    Older { known: u32 },
    /// From a part to its like.
    Told { part: Part, body: Vec<u8> },
    /// The sender suspects the receiver, and asks it to refute it.
    Suspected { round: Identity, refutation: u16 },
    /// Nothing but the head: there is a new epoch.
    News,
    /// A voter's newest mark, as far as the sender knows: see the log's proof of a folder.
    Mark { place: MemberId, life: u32, mark: u64 },
}

/// What a member tells of itself beside its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub version: u16,
    pub address: std::net::SocketAddr,
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("it is of another format; a member of a version that is too far from this one sent it")]
    Format,
    #[error("it is cut short, too long or unknown")]
    Malformed,
    #[error("its hash is not by the fleet's key; a stranger sent it, or the key files differ")]
    Sealed,
    #[error("it says that another peer sent it than the one whose address it came from")]
    From,
}

/// The bytes of a datagram; none if it is too long or there is no key.
pub fn seal(keys: &Keys, to: MemberId, head: &Head, body: &Body) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(&(head, body), vec![MARK, FORMAT]).ok()?;
    let hash = keys.seal_datagram(&[&to.0.to_le_bytes(), &bytes])?;
    let bytes = [&bytes[..], &hash].concat();
    (bytes.len() <= MOST_DATAGRAM_BYTES).then_some(bytes)
}

/// Reads untrusted bytes. What stands behind a body that is known is left to newer versions.
pub fn open(keys: &Keys, me: MemberId, from: MemberId, bytes: &[u8]) -> Result<(Head, Body), Refused> {
    let within = (2 + DATAGRAM_HASH_BYTES..=MOST_DATAGRAM_BYTES).contains(&bytes.len());
    let Some((sealed, hash)) = bytes.split_last_chunk::<DATAGRAM_HASH_BYTES>().filter(|_| within) else {
        return Err(Refused::Malformed);
    };
    if sealed[0] != MARK || sealed[1] != FORMAT {
        return Err(Refused::Format);
    }
    // Danger: nothing is parsed that a stranger may have written.
    if !keys.opens_datagram(&[&me.0.to_le_bytes(), sealed], hash) {
        return Err(Refused::Sealed);
    }
    let ((head, body), _): ((Head, Body), _) =
        postcard::take_from_bytes(&sealed[2..]).map_err(|_| Refused::Malformed)?;
    if head.from != from {
        return Err(Refused::From);
    }
    Ok((head, body))
}
