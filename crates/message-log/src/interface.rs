//! What goes into the store's state machine and what comes out of it.

use std::sync::Arc;

use bytes::Bytes;
use pewterseam_storage::Position;
use pewterseam_wire::identity::{NodeInfo, NodeName, Owner};
use pewterseam_wire::placement::{Placement, PlacementEpoch, StoreId};
use pewterseam_wire::store::{StoreNotice, StoreRequest, StoreResponse};
use pewterseam_wire::{Micros, WallMicros};

/// The time at a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// The steady clock: all spans are measured by it.
    pub steady: Micros,
    /// The time of day: only used to tell ages over a restart.
    pub wall: WallMicros,
}

/// How far the time of day may be wrong where settings do not say.
const CLOCK_ERROR: Micros = 20_000_000;

/// Ends that are remembered for the sake of their records, where settings do not say; they take some 25 MB.
const REMEMBERED_ENDS: usize = 100_000;

/// How a store is kept.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    pub id: StoreId,
    /// How long the end of a message, and the body of a dead one, is kept.
    pub status_ttl: Micros,
    /// How far the time of day may be wrong: over a restart, ages of messages go by it.
    pub clock_error: Micros,
    /// Bytes of open messages that stay in memory; the rest is read back from the log.
    pub memory_bytes: usize,
    /// Ends that are remembered beyond `status_ttl`, for as long as a record of theirs may be open. Once there are so many,
    /// further ones are remembered for 600 s at the most.
    pub remembered_ends: usize,
    /// Bytes that the log may take on the disk.
    pub disk_bytes: u64,
    /// Bytes that may wait for the disk before appends are declined as `Busy`.
    pub waiting_bytes: usize,
    /// The log is cleaned only when it is larger than this.
    pub clean_above_bytes: u64,
}

impl StoreSettings {
    /// Settings for a disk of a size, with the usual values for the rest.
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

/// What membership knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Relays and stores that live.
    pub live: Vec<NodeInfo>,
    /// Lives that are over: the node died, left, or has since started again. Those of which nobody knows any more may
    /// be missing.
    pub ended: Vec<Owner>,
}

/// What happens to a store.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request came; its answer carries the same token.
    Request { token: u64, request: StoreRequest },
    /// The placement in force. An older one than the store's is ignored.
    Placement(Arc<Placement>),
    /// The members in force.
    Members(Members),
    /// All tickets up to this one are synced; where the entries of those not told of before lie, in order.
    Persisted { through: u64, positions: Vec<Position> },
    /// All tickets up to this one that were not told of before have failed.
    PersistFailed { through: u64 },
    /// An entry that was read back, or none if it could not be read.
    ReadBack { token: u64, payload: Option<Bytes> },
    /// The answer to a request to another store, or none if none came.
    PullAnswered { token: u64, response: Option<StoreResponse> },
    /// Time has passed.
    Tick,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Answer a request.
    Respond { token: u64, response: StoreResponse },
    /// Tell a relay; it may get lost.
    Notify { to: NodeName, notice: StoreNotice },
    /// Append entries to the log and sync them. Tickets rise by one.
    Persist { ticket: u64, entries: Vec<Bytes> },
    /// Read an entry of the log.
    ReadBack { token: u64, position: Position },
    /// Remove the segments with lower numbers; they hold nothing that is still needed.
    RemoveSegments { before: u64 },
    /// Send a request to another store.
    SendPull { to: StoreId, token: u64, request: StoreRequest },
    /// All that this store has to know for this placement is copied and synced.
    Copied { epoch: PlacementEpoch },
    /// Come with [`Input::Tick`] at this time at the latest. Replaces earlier ones.
    WakeAt(Micros),
}
