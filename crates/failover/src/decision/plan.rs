//! The matter that is decided.

use pewterseam_fleet::interface::{Kind, Matter};
use serde::{Deserialize, Serialize};

use crate::interface::DestinationId;

/// How callers stand to the hosts of a zone. Near, the usual, is said by no word at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The hosts bear so many thousandths of their limit; what is beyond goes elsewhere.
    Spilling(u16),
    /// Nothing goes there.
    Away,
    /// By steps from so many thousandths of the limit to all of it, as long as the hosts are well.
    Returning(u16),
}

/// Callers, of all zones or of one, and the hosts of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    pub caller: Option<String>,
    pub host: String,
    pub state: State,
}

/// Permits of a zone's relays at the hosts of another, in tenths of a call a second. By place in
/// [`Plan::zones`], as all numbers of zones in a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub caller: u8,
    pub host: u8,
    pub permits: u32,
    /// The same once all returns are done.
    pub after: u32,
}

/// What a zone's relays were handed when it was decided, in tenths of a message a second: permits are parts of
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    pub caller: u8,
    pub rate: u32,
}

/// Who of a destination's callers goes where. Zones are told by name, since members may number them otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub destination: DestinationId,
    pub moves: Vec<Move>,
    pub zones: Vec<String>,
    /// Callers without a demand go where they go without a plan.
    pub demands: Vec<Demand>,
    pub rows: Vec<Row>,
    /// How long ago earlier moves were, in tenths of a second: who did not learn of them counts them too.
    pub before: Vec<u16>,
}

impl Matter for Plan {
    const KIND: Kind = Kind::FAILOVER;
    type Subject = DestinationId;

    fn subject(&self) -> DestinationId {
        self.destination
    }
}
