//! The entries of a store's log.
//!
//! Entries may be applied in any order and more than once: the state of a store is their union. The serialized variant
//! names are short because they are part of every entry on disk; they must not change. Times are those of the log clock.

use bytes::Bytes;
use pewterseam_wire::WallMicros;
use pewterseam_wire::frame::{self, FrameError};
use pewterseam_wire::identity::Owner;
use pewterseam_wire::placement::PlacementEpoch;
use pewterseam_wire::record::{End, MessageName};
use pewterseam_wire::store::StoredMessage;
use serde::{Deserialize, Serialize};

use crate::message::Moment;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LogEntry {
    /// Everything that was known of a message when the entry was written.
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
    /// The store holds everything that members of this set of stores must hold under the placement of this epoch.
    #[serde(rename = "s")]
    CopiedSet { set: u64, epoch: PlacementEpoch },
    /// An entry without content, written to test whether the disk accepts entries again.
    #[serde(rename = "p")]
    Probe,
    /// The log clock and the time of day (wall clock) at one moment.
    #[serde(rename = "t")]
    Time { at: Moment, wall: WallMicros, away: Moment },
}

/// A message with the state that is local to this store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptMessage {
    pub stored: StoredMessage,
    /// When this store accepted the record, or first learned of the message.
    pub taken: Moment,
    /// When this store learned of the end; meaningless for a message without an end.
    pub ended: Moment,
    pub is_released: bool,
    /// The log clock's uncounted downtime when the record was accepted.
    #[serde(default, rename = "away_before")]
    pub downtime_before: Moment,
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
