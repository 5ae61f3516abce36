//! Records of what happened to messages, and their bytes.
//!
//! A record's frame is its length, the CRC-32 of its payload (both u32, little-endian) and the payload, the record in
//! postcard's format.

use std::fmt;

use pewterseam::interface::Micros;
use serde::{Deserialize, Serialize};

use crate::fault::{Damaged, Unwritable};
use crate::frame;
use crate::message::{End, Message};

/// Longest payload taken; a body of the most bytes fits well.
const MOST_PAYLOAD: usize = 1024 * 1024;
/// What a message takes beside its texts and body when it is written anew, at the most: frames and numbers, an
/// attempt that is out, its first failure and its end. Attempts that are over go with the next writing anew.
/// Danger: room that is kept free for nothing has messages refused that could be held.
const LIFE: u64 = 160;

/// One thing that happened to a message; they are numbered in the order taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// All that stands before this in the journal is written anew behind it.
    Anew {
        next: u64,
    },
    /// With what became of it so far, where it is written anew.
    Taken {
        number: u64,
        message: Message,
        past: Past,
    },
    /// Written before the call goes out.
    Started {
        number: u64,
        at: Micros,
    },
    Over {
        number: u64,
        how: Over,
    },
    /// Given up; the notice of it is owed.
    Closing {
        number: u64,
        end: End,
    },
    /// Nothing is owed any more.
    Ended {
        number: u64,
    },
    /// Behind `Taken`, where it is written anew.
    FailedAt {
        number: u64,
        at: Micros,
    },
    /// Behind `Started`: the zone of the call's host, where repeats are dropped in one zone only.
    StartedIn {
        number: u64,
        zone: Zone,
    },
    /// Behind `Taken`, where it is written anew: the zone of the first attempt that may have run.
    RanIn {
        number: u64,
        zone: Zone,
    },
}

/// A zone by its name's number, since its place in the settings may change between two starts.
pub type Zone = u32;

/// What the two records of zones take at the most.
pub const ZONES: u64 = 48;

/// What is known of an attempt that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Over {
    /// Turned away or not sent at all.
    Unseen,
    /// It failed, but never ran.
    Failed,
    /// It failed and may have run.
    MayHaveRun,
}

/// What became of a message's attempts so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    pub attempts: u32,
    /// When the first attempt that may have run was sent.
    pub ran: Option<Micros>,
    /// An attempt failed, other than by being turned away.
    pub failed: bool,
    /// When the first one that did was sent, if that is known; in a record of its own, as the format's first
    /// version had none.
    #[serde(skip)]
    pub failed_at: Option<Micros>,
    /// Where the first attempt that may have run went, if that matters and is known; in a record of its own.
    #[serde(skip)]
    pub ran_in: Option<Zone>,
}

impl fmt::Display for Past {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, ", {} attempts", self.attempts)?;
        f.write_str(if self.ran.is_some() { ", may have run" } else { "" })
    }
}

impl Past {
    /// Books the end of an attempt that was sent at `at` to a host in `zone`.
    pub fn book(&mut self, at: Micros, zone: Option<Zone>, how: Over) {
        if how != Over::Unseen && !self.failed {
            (self.failed, self.failed_at) = (true, Some(at));
        }
        if how == Over::MayHaveRun {
            self.may_have_run(at, zone);
        }
    }

    /// Books an attempt that may have run; the first one counts.
    pub(crate) fn may_have_run(&mut self, at: Micros, zone: Option<Zone>) {
        if self.ran.is_none() {
            (self.ran, self.ran_in) = (Some(at), zone);
        }
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Record::Anew { next } => write!(f, "written anew, next {next}"),
            Record::Taken { number, message, past } => write!(f, "{number} taken {message}{past}"),
            Record::Started { number, at } => write!(f, "{number} attempt started at {at}"),
            Record::Over { number, how: Over::Unseen } => write!(f, "{number} attempt over, not run"),
            Record::Over { number, how: Over::Failed } => write!(f, "{number} attempt failed, not run"),
            Record::Over { number, how: Over::MayHaveRun } => {
                write!(f, "{number} attempt over, may have run")
            }
            Record::Closing { number, end } => write!(f, "{number} given up, {end}"),
            Record::Ended { number } => write!(f, "{number} ended"),
            Record::FailedAt { number, at } => write!(f, "{number} first failed attempt started at {at}"),
            Record::StartedIn { number, zone } => write!(f, "{number} attempt goes to zone {zone:08x}"),
            Record::RanIn { number, zone } => write!(f, "{number} may have run in zone {zone:08x}"),
        }
    }
}

impl Record {
    /// Adds the record's frame to `bytes`.
    pub fn write(&self, bytes: &mut Vec<u8>) -> Result<(), Unwritable> {
        frame::write(self, MOST_PAYLOAD, bytes)
    }

    /// Takes a record off the front of `bytes`; where there is none, they stay as they are.
    pub fn read(bytes: &mut &[u8]) -> Result<Record, Damaged> {
        frame::read(MOST_PAYLOAD, bytes)
    }
}

/// Bytes of the journal that a message takes when it is written anew, at the most.
pub fn footprint(message: &Message) -> u64 {
    let key = message.key.as_ref().map_or(0, String::len);
    let texts = message.id.len() + message.class.len() + message.tenant.len() + key;
    let idempotency = message.idempotency_key.as_ref().map_or(0, Vec::len);
    (texts + idempotency + message.body.len()) as u64 + LIFE
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use bytes::Bytes;
    use pewterseam_errors::Advice;

    use super::*;

    fn taken(body: usize) -> Record {
        let message = Message {
            id: "m".to_owned(),
            class: "c".to_owned(),
            tenant: "t".to_owned(),
            key: None,
            destination: 1,
            deadline: 1,
            idempotency_key: None,
            body: Bytes::from(vec![7; body]),
        };
        Record::Taken { number: 1, message, past: Past::default() }
    }

    // Danger: a record that is written and can't be read takes all behind it along.
    #[test]
    fn what_is_written_is_read_and_what_could_not_be_read_is_not_written() {
        let mut bytes = Vec::new();
        taken(MOST_PAYLOAD - 64).write(&mut bytes).expect("it fits");
        assert_eq!(Record::read(&mut &bytes[..]), Ok(taken(MOST_PAYLOAD - 64)));
        let before = bytes.len();
        let error = taken(MOST_PAYLOAD).write(&mut bytes).expect_err("too long");
        assert!(matches!(error, Unwritable::TooLong { bytes } if bytes > MOST_PAYLOAD));
        assert_eq!((bytes.len(), error.help().is_empty()), (before, false));
    }

    #[test]
    fn each_damage_is_told_apart_and_moves_nothing() {
        let mut whole = Vec::new();
        taken(40).write(&mut whole).expect("written");
        let mut kinds = BTreeSet::new();
        let mut damage = |bytes: &[u8], expected: &str| {
            let mut rest = bytes;
            let error = Record::read(&mut rest).expect_err(expected);
            assert_eq!((error.code(), rest), (expected, bytes));
            assert!(!error.help().is_empty() && !error.to_string().contains('\n'));
            kinds.insert(error.code());
        };
        for length in [0, 3, 7, whole.len() - 1] {
            damage(&whole[..length], "journal-cut-short");
        }
        let last = whole.len() - 1;
        whole[last] ^= 1;
        damage(&whole, "journal-checksum");
        damage(&[255; 64], "journal-length");
        let unknown = [200];
        let mut bytes = 1u32.to_le_bytes().to_vec();
        bytes.extend(crc32fast::hash(&unknown).to_le_bytes());
        bytes.extend(unknown);
        damage(&bytes, "journal-form");
        assert_eq!(kinds.len(), 4);
    }
}
