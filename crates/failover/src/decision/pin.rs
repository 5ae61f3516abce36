//! An operator's word, which goes before what is seen.

use pewterseam_fleet::interface::{Kind, Matter};
use serde::{Deserialize, Serialize};

use crate::interface::DestinationId;

/// Of the hosts of a zone: all callers leave them, or none does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    pub destination: DestinationId,
    pub zone: String,
    pub away: bool,
    /// Seconds since 1970 at which it runs out.
    pub until: u64,
}

impl Matter for Pin {
    const KIND: Kind = Kind(Kind::FAILOVER.0 + 1);
    type Subject = (DestinationId, String);

    fn subject(&self) -> (DestinationId, String) {
        (self.destination, self.zone.clone())
    }
}
