//! What is kept beyond the process.

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::MemberId;
use serde::{Deserialize, Serialize};

use super::io::{Folder, Hand, Pass};
use crate::groups::{PartEnd, PartId};

/// Replayed in their order. What an earlier process promised holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The first of a folder.
    Folder(Folder),
    /// The taker owns it no more, whether or not it was sent.
    Passing { hand: Hand, to: MemberId },
    /// The gateway has it.
    Passed { part: PartId },
    /// The taker owns it again.
    Back { part: PartId },
    /// The taker knows its end.
    Over { part: PartId, end: PartEnd },
    /// The gateway owns it.
    Taken { hand: Hand, from: MemberId },
    /// The gateway takes on no pass up to this one.
    Never { part: PartId, pass: Pass, deadline: Micros },
    /// It ended at the gateway; its taker is to be told.
    Ended { part: PartId, end: PartEnd },
    /// The taker knows.
    Told { part: PartId },
}
