//! Actions and reports of the state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::{Life, NodeInfo, NodeName};

/// An action that the driver must carry out, or a report to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram. It may be lost.
    Send { to: SocketAddr, datagram: Vec<u8> },
    /// A member joined, changed or went down.
    Changed(MemberChange),
    /// A member sent a higher digest than any before in its life.
    PeerDigest { name: NodeName, digest: u64 },
    /// Other members knew a later life of this node's name, so this process now uses the given life.
    Restarted { life: Life },
    /// Call `tick` at this time instead of the time requested before.
    Wake(Micros),
}

/// A change of a member other than this process. A later life of a known name is reported as `Down` of the old life
/// and `Up` of the new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// A node joined, or a node that was declared dead is alive.
    Up(Arc<NodeInfo>),
    /// A property of a live node changed, such as `ready`.
    Updated(Arc<NodeInfo>),
    /// A node died, or left on its own account (`left`).
    Down { info: Arc<NodeInfo>, left: bool },
}
