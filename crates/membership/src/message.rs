//! The datagrams of membership.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_wire::frame::{self, FrameError};
use pewterseam_wire::identity::{Life, NodeInfo, NodeName};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::table::Status;

/// The largest datagram that is sent.
pub const MOST_DATAGRAM_BYTES: usize = 1200;

/// What one member knows of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Rumor {
    pub info: Arc<NodeInfo>,
    pub incarnation: u32,
    pub status: Status,
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Rumors only, to be passed on.
    Gossip,
    /// Members of parts of the table that differ. They are not passed on: whoever lacks them finds a difference too.
    Members,
    /// Answered by `Ack`, if the name is the receiver's.
    Ping {
        number: u32,
        target: NodeName,
    },
    Ack {
        number: u32,
    },
    /// Ping the target and pass its answer back.
    PingRequest {
        number: u32,
        target: NodeName,
        address: SocketAddr,
    },
    /// Hashes of the sender's table. The receiver sends the members of the parts that differ, and its own hashes if
    /// `answer` is asked for.
    Compare {
        buckets: ByteBuf,
        answer: bool,
    },
}

/// One datagram. The rumors follow, each encoded by itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Datagram {
    pub sender: NodeName,
    pub life: Life,
    /// The sender's digest.
    pub digest: u64,
    pub body: Body,
    /// Encoded [`Rumor`]s.
    pub rumors: Vec<ByteBuf>,
}

/// Why a datagram was not taken.
#[derive(Debug)]
pub enum MembershipError {
    /// It is longer than any that a member sends.
    TooLong(usize),
    /// It is not one of membership's.
    Unreadable(FrameError),
}

impl fmt::Display for MembershipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MembershipError::TooLong(length) => write!(f, "a datagram of {length} bytes is too long"),
            MembershipError::Unreadable(error) => write!(f, "a datagram is not one of membership's: {error}"),
        }
    }
}

impl std::error::Error for MembershipError {}

impl Datagram {
    pub(crate) fn read(bytes: &[u8]) -> Result<Self, MembershipError> {
        if bytes.len() > MOST_DATAGRAM_BYTES {
            return Err(MembershipError::TooLong(bytes.len()));
        }
        frame::decode(bytes).map_err(MembershipError::Unreadable)
    }

    pub(crate) fn write(&self) -> Vec<u8> {
        // Encoding plain values into memory does not fail; an empty datagram is ignored by its receiver.
        frame::encode(self).unwrap_or_default()
    }
}

impl Rumor {
    pub(crate) fn read(bytes: &[u8]) -> Result<Self, MembershipError> {
        frame::decode(bytes).map_err(MembershipError::Unreadable)
    }

    pub(crate) fn write(&self) -> ByteBuf {
        ByteBuf::from(frame::encode(self).unwrap_or_default())
    }
}
