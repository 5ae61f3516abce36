//! Records of what happened to messages, and their bytes.
//!
//! A record's frame is its length, the CRC-32 of its payload (both u32, little-endian) and the payload, the record in
//! postcard's format.

use std::fmt;
use std::io;

use pewterseam::interface::Micros;
use serde::{Deserialize, Serialize};

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
    pub fn write(&self, bytes: &mut Vec<u8>) -> io::Result<()> {
        let payload = postcard::to_stdvec(self).map_err(io::Error::other)?;
        bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
        bytes.extend_from_slice(&payload);
        Ok(())
    }

    /// Takes a record off the front of `bytes`; none where it is cut short or damaged.
    pub fn read(bytes: &mut &[u8]) -> Option<Record> {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let (sum, rest) = rest.split_first_chunk::<4>()?;
        let length = u32::from_le_bytes(*length) as usize;
        if length > MOST_PAYLOAD || length > rest.len() {
            return None;
        }
        let (payload, rest) = rest.split_at(length);
        if crc32fast::hash(payload) != u32::from_le_bytes(*sum) {
            return None;
        }
        let record = postcard::from_bytes(payload).ok()?;
        *bytes = rest;
        Some(record)
    }
}

/// Bytes of the journal that a message takes when it is written anew, at the most.
pub fn footprint(message: &Message) -> u64 {
    let key = message.key.as_ref().map_or(0, String::len);
    let texts = message.id.len() + message.class.len() + message.tenant.len() + key;
    let idempotency = message.idempotency_key.as_ref().map_or(0, Vec::len);
    (texts + idempotency + message.body.len()) as u64 + LIFE
}
