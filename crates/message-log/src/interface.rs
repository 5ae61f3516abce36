//! The inputs and effects (outputs) of the store's state machine, and its settings.

use std::sync::Arc;

use bytes::Bytes;
use pewterseam_storage::Position;
use pewterseam_wire::identity::{NodeInfo, NodeName, Owner};
use pewterseam_wire::placement::{Placement, PlacementEpoch, StoreId};
use pewterseam_wire::store::{StoreNotice, StoreRequest, StoreResponse};
use pewterseam_wire::{Micros, WallMicros};

/// The current time, passed to each step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CurrentTime {
    /// The monotonic clock, which measures all time spans.
    pub steady: Micros,
    /// The time of day (wall clock), used only to determine ages across a restart.
    pub wall: WallMicros,
}

/// The default bound on the error of the time of day.
const CLOCK_ERROR: Micros = 20_000_000;

/// The default number of ends that are remembered beyond `status_ttl`; they take about 25 MB of memory.
const REMEMBERED_ENDS: usize = 100_000;

/// The settings of a store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    pub id: StoreId,
    /// How long the end of a message, and the body of a dead message, is kept.
    pub status_ttl: Micros,
    /// The bound on the error of the time of day, which determines the ages of messages across a restart.
    pub clock_error: Micros,
    /// The limit in bytes for open messages in memory; other messages are read back from the log.
    pub memory_bytes: usize,
    /// The number of ends that are remembered beyond `status_ttl`, for as long as a store may hold their records open.
    /// Once this limit is reached, further ends are remembered for at most 600 s.
    pub remembered_ends: usize,
    /// The limit in bytes for the log on disk.
    pub disk_bytes: u64,
    /// The limit in bytes for unsynced entries; above it, appends are declined as `Busy`.
    pub waiting_bytes: usize,
    /// The log is cleaned only when it is larger than this.
    pub clean_above_bytes: u64,
}

impl StoreSettings {
    /// Creates settings for a disk of the given size, with default values for the rest.
    pub fn new(id: StoreId, status_ttl: Micros, disk_bytes: u64) -> Self {
        StoreSettings {
            id,
            status_ttl,
            clock_error: CLOCK_ERROR,
            memory_bytes: 16 * 1024 * 1024,
            remembered_ends: REMEMBERED_ENDS,
            disk_bytes,
            waiting_bytes: 8 * 1024 * 1024,
            clean_above_bytes: 16 * 1024 * 1024,
        }
    }
}

/// The state of cluster membership.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// The live relays and stores.
    pub live: Vec<NodeInfo>,
    /// The process lives that have ended: the node died, left, or has started again since. Lives that no member
    /// remembers may be missing.
    pub ended: Vec<Owner>,
}

/// An input of the store's state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request has arrived; the response carries the same token.
    Request { token: u64, request: StoreRequest },
    /// The current placement. A placement older than the store's is ignored.
    Placement(Arc<Placement>),
    /// The current members.
    Members(Members),
    /// All tickets up to this one are synced. The positions are those of the entries not reported before, in order.
    Persisted { through: u64, positions: Vec<Position> },
    /// All tickets up to this one that were not reported before have failed.
    PersistFailed { through: u64 },
    /// An entry that was read back, or `None` if it could not be read.
    ReadBack { token: u64, payload: Option<Bytes> },
    /// The response of another store, or `None` if none came.
    StoreResponded { token: u64, response: Option<StoreResponse> },
    /// Time has passed.
    Tick,
}

/// An action that the driver must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the response to a request.
    Respond { token: u64, response: StoreResponse },
    /// Send a notice to a relay, without guaranteed delivery.
    Notify { to: NodeName, notice: StoreNotice },
    /// Append entries to the log and sync them. Each ticket is one greater than the previous one.
    Persist { ticket: u64, entries: Vec<Bytes> },
    /// Read an entry of the log.
    ReadBack { token: u64, position: Position },
    /// Remove the segments with numbers below this one, which hold nothing that is still needed.
    RemoveSegments { before: u64 },
    /// Send a request to another store.
    SendStoreRequest { to: StoreId, token: u64, request: StoreRequest },
    /// Everything that this store must hold under this placement is copied and synced.
    Copied { epoch: PlacementEpoch },
    /// Pass [`Input::Tick`] at this time at the latest. Replaces earlier `WakeAt` effects.
    WakeAt(Micros),
}
