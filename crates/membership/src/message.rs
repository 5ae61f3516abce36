//! The datagrams that members exchange.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_wire::frame::{self, FrameError};
use pewterseam_wire::identity::{Life, NodeInfo, NodeName};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::table::Status;

/// Maximum size of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// What one member knows about another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Rumor {
    pub info: Arc<NodeInfo>,
    pub incarnation: u32,
    pub status: Status,
}

/// The purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Only rumors, which the receiver passes on.
    Gossip,
    /// Members of the buckets that differ. The receiver does not pass them on: any process that lacks them finds the
    /// difference in its own comparison.
    Members,
    /// Answered by `Ack`, if `target` is the name of the receiver.
    Ping {
        number: u32,
        target: NodeName,
    },
    Ack {
        number: u32,
    },
    /// Asks the receiver to ping the target and to forward the answer.
    PingRequest {
        number: u32,
        target: NodeName,
        address: SocketAddr,
    },
    /// Hashes of the buckets of the sender's table. The receiver sends the members of the buckets that differ, and
    /// its own hashes if `answer` is set.
    Compare {
        buckets: ByteBuf,
        answer: bool,
    },
}

/// One datagram. Each rumor is encoded separately, so that an unreadable one can be skipped.
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

/// Why a datagram was rejected.
#[derive(Debug)]
pub enum MembershipError {
    /// The datagram is longer than `MAX_DATAGRAM_BYTES`.
    TooLong(usize),
    /// The datagram cannot be decoded.
    Unreadable(FrameError),
}

impl fmt::Display for MembershipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MembershipError::TooLong(length) => {
                write!(f, "datagram of {length} bytes exceeds the maximum size")
            }
            MembershipError::Unreadable(error) => write!(f, "cannot decode membership datagram: {error}"),
        }
    }
}

impl std::error::Error for MembershipError {}

impl Datagram {
    pub(crate) fn read(bytes: &[u8]) -> Result<Self, MembershipError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(MembershipError::TooLong(bytes.len()));
        }
        frame::decode(bytes).map_err(MembershipError::Unreadable)
    }

    pub(crate) fn write(&self) -> Vec<u8> {
        // Encoding plain values into memory does not fail. The receiver ignores an empty datagram.
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
