//! The bytes of calls between members: `POST /fleet/call` on a relay's own listener.
//!
//! Mark, format, head and body in postcard's format, and last a keyed hash. An answer is sealed together
//! with the call that it answers, so that no other one's passes for it.

use serde::{Deserialize, Serialize};

use crate::interface::{MOST_CALL_BYTES, MemberId, Unanswered};
use crate::keys::{CALL_HASH_BYTES, Keys};

const MARK: u8 = 0xF6;
/// As of a datagram: what no older member could read raises it.
const FORMAT: u8 = 1;

const ASKED: &[u8] = b"asked";
const ANSWERED: &[u8] = b"answered";

/// What a call is for. An unknown one is answered so, and whoever asked does without.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purpose(pub u16);

impl Purpose {
    /// Messages between voters.
    pub const LOG: Purpose = Purpose(1);
    /// Asks for decisions after an epoch.
    pub const LEARN: Purpose = Purpose(2);
    /// Asks the leader of the voters to have something decided.
    pub const PROPOSE: Purpose = Purpose(3);
    /// Asks what is known of a voter's marks.
    pub const MARKS: Purpose = Purpose(4);
    /// Calls of the parts: this and the part's number.
    pub const PARTS: u16 = 0x100;
}

/// A call as it was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asked {
    pub from: MemberId,
    pub incarnation: u32,
    /// Grows with each call from this member to that one.
    pub sequence: u64,
    pub purpose: Purpose,
    pub body: Vec<u8>,
}

/// Why a call is not taken. Each has an HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("it is cut short, too long or makes no sense")]
    Malformed,
    #[error("it is of another format; a member of a version that is too far from this one made it")]
    Format,
    #[error("its hash is not by the fleet's key; a stranger made it, or the key files differ")]
    Sealed,
    #[error("it came before, or is of a process that was followed by another")]
    Stale,
    #[error("this version does not know what it is for")]
    NotUnderstood,
    #[error("nobody takes it now")]
    NotNow,
}

impl Refused {
    pub fn status(self) -> u16 {
        match self {
            Refused::Malformed => 400,
            Refused::Sealed => 401,
            Refused::Stale => 409,
            Refused::Format => 426,
            Refused::NotUnderstood => 501,
            Refused::NotNow => 503,
        }
    }

    /// What a status means to the caller.
    pub fn unanswered(status: u16) -> Unanswered {
        if status == Refused::NotUnderstood.status() {
            Unanswered::NotUnderstood
        } else {
            Unanswered::Status(status)
        }
    }
}

/// The body of a call; none if it is too long or there is no key.
pub fn seal(keys: &Keys, to: MemberId, asked: &Asked) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(asked, vec![MARK, FORMAT]).ok()?;
    let hash = keys.seal_call(&[ASKED, &to.0.to_le_bytes(), &bytes])?;
    let bytes = [&bytes[..], &hash].concat();
    (bytes.len() <= MOST_CALL_BYTES).then_some(bytes)
}

/// Reads the untrusted body of a call. Whether it is a replay is for the caller to say.
pub fn open(keys: &Keys, me: MemberId, bytes: &[u8]) -> Result<Asked, Refused> {
    let sealed = unsealed(bytes)?;
    // Danger: nothing is parsed that a stranger may have written.
    if !keys.opens_call(&[ASKED, &me.0.to_le_bytes(), sealed.0], sealed.1) {
        return Err(Refused::Sealed);
    }
    postcard::take_from_bytes(&sealed.0[2..]).map(|(asked, _)| asked).map_err(|_| Refused::Malformed)
}

/// What an answer is sealed with, beside its own bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTo {
    pub from: MemberId,
    pub incarnation: u32,
    pub sequence: u64,
    /// Who answers.
    pub by: MemberId,
}

impl AnswerTo {
    fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.from, self.incarnation, self.sequence, self.by)).unwrap_or_default()
    }
}

pub fn seal_answer(keys: &Keys, to: &AnswerTo, body: &[u8]) -> Option<Vec<u8>> {
    let bytes = [&[MARK, FORMAT], body].concat();
    let hash = keys.seal_call(&[ANSWERED, &to.bytes(), &bytes])?;
    let bytes = [&bytes[..], &hash].concat();
    (bytes.len() <= MOST_CALL_BYTES).then_some(bytes)
}

/// Reads the untrusted body of an answer.
pub fn open_answer(keys: &Keys, to: &AnswerTo, bytes: &[u8]) -> Result<Vec<u8>, Refused> {
    let sealed = unsealed(bytes)?;
    if !keys.opens_call(&[ANSWERED, &to.bytes(), sealed.0], sealed.1) {
        return Err(Refused::Sealed);
    }
    Ok(sealed.0[2..].to_vec())
}

fn unsealed(bytes: &[u8]) -> Result<(&[u8], &[u8; CALL_HASH_BYTES]), Refused> {
    if bytes.len() > MOST_CALL_BYTES {
        return Err(Refused::Malformed);
    }
    let (sealed, hash) = bytes.split_last_chunk::<CALL_HASH_BYTES>().ok_or(Refused::Malformed)?;
    match sealed {
        [MARK, FORMAT, ..] => Ok((sealed, hash)),
        [MARK, _, ..] => Err(Refused::Format),
        _ => Err(Refused::Malformed),
    }
}
