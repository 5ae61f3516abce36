//! What the machine wants done, and what it reports.

use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::{Life, NodeInfo, NodeName};

/// What a driver does for the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram. It may be lost.
    Send { to: SocketAddr, datagram: Vec<u8> },
    /// A member came, changed or went.
    Changed(MemberChange),
    /// A member told a higher digest than any before in its life.
    PeerDigest { name: NodeName, digest: u64 },
    /// The system knew a later life of this node's name: this process now lives under the given one.
    Restarted { life: Life },
    /// Call `tick` at this time, and no longer at the one asked for before.
    Wake(Micros),
}

/// A change of the members other than this process itself. A later life of a known name is told as `Down` of the old
/// life and `Up` of the new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// A node came, or is alive after all.
    Up(Arc<NodeInfo>),
    /// Something about a live node changed, such as `ready`.
    Updated(Arc<NodeInfo>),
    /// A node died, or said that it goes (`left`).
    Down { info: Arc<NodeInfo>, left: bool },
}
