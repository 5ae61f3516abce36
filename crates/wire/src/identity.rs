//! Who is who: nodes, their lives and their disks.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The name of a machine in the settings, unique in the system and stable over restarts.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeName(pub Arc<str>);

impl NodeName {
    pub fn new(name: &str) -> Self {
        NodeName(Arc::from(name))
    }
}

impl fmt::Debug for NodeName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for NodeName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One life of a process: a later start of the same node has a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life(pub u64);

/// A data folder, drawn at random when the folder is first used. A node whose disk was lost has another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DiskId(pub u64);

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    Relay,
    Store,
}

/// What every process tells of itself through membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    pub name: NodeName,
    pub life: Life,
    pub role: Role,
    /// Where it takes datagrams (UDP) and requests (TCP) of other processes of the system.
    pub peer_address: SocketAddr,
    pub zone: Arc<str>,
    pub region: Arc<str>,
    /// None for a process without a data folder.
    pub disk: Option<DiskId>,
    /// Its loss counts towards `faultTolerance`.
    pub counts_for_quorum: bool,
    /// It takes new work. A relay that is not ready, or is stopping, is handed no messages.
    pub ready: bool,
}

/// A relay in one of its lives, as the owner of messages.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    pub name: NodeName,
    pub life: Life,
}
