//! The entries of a store's log.
//!
//! Entries may be applied in any order and more than once: what a store knows is their union. The field and variant
//! names are short, as they are written out; they must not change. Times are those of the log's clock.

use bytes::Bytes;
use pewterseam_wire::WallMicros;
use pewterseam_wire::frame::{self, FrameError};
use pewterseam_wire::identity::Owner;
use pewterseam_wire::placement::PlacementEpoch;
use pewterseam_wire::record::{End, MessageName};
use pewterseam_wire::store::StoredMessage;
use serde::{Deserialize, Serialize};

use crate::message::Moment;

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LogEntry {
    /// All that was known of a message.
    #[serde(rename = "m")]
    Message(Box<KeptMessage>),
    #[serde(rename = "e")]
    Ended { name: MessageName, end: End, at: Moment },
    #[serde(rename = "a")]
    Attempted { name: MessageName, failures: u32, at: Moment },
    #[serde(rename = "c")]
    Claimed { names: Vec<MessageName>, owner: Owner, claim: u32 },
    #[serde(rename = "r")]
    Released { names: Vec<MessageName>, owner: Owner },
    /// The store holds all that members of this set of stores must, under the placement of this epoch.
    #[serde(rename = "s")]
    CopiedSet { set: u64, epoch: PlacementEpoch },
    /// Nothing; written to find out whether the disk takes entries again.
    #[serde(rename = "p")]
    Probe,
    /// The log's clock and the time of day at one moment.
    #[serde(rename = "t")]
    Time { at: Moment, wall: WallMicros, away: Moment },
}

/// A message with what a store alone knows of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptMessage {
    pub stored: StoredMessage,
    /// When this store took the record, or first heard of the message.
    pub taken: Moment,
    /// When this store learnt of the end; only meant where there is one.
    pub ended: Moment,
    pub is_released: bool,
    /// Where the clock's count of times away stood when the record was taken.
    #[serde(default)]
    pub away_before: Moment,
}

impl LogEntry {
    pub fn encode(&self) -> Result<Bytes, FrameError> {
        let mut bytes = frame::encode(self)?;
        // Records stay in memory for as long as their messages are open.
        bytes.shrink_to_fit();
        Ok(Bytes::from(bytes))
    }

    pub fn decode(payload: &[u8]) -> Result<Self, FrameError> {
        frame::decode(payload)
    }
}
