//! What `GET /-/status` tells of a relay. Read-only; operators' tools read the same types back.

use serde::{Deserialize, Serialize};

/// A relay as it sees itself and the system at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RelayStatus {
    pub node: NodeStatus,
    /// It takes new connections and messages.
    pub ready: bool,
    /// It was told to stop.
    pub stopping: bool,
    /// The configuration that requests are handled by; 0 before the first.
    pub config_version: u64,
    pub messages: MessageCounts,
}

/// Messages that the relay has in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageCounts {
    /// Messages that it owns and that have not ended.
    pub held: usize,
    /// Those of them that are out at hosts, or wait for one.
    pub running: usize,
}

/// What every process of the system knows of the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct NodeStatus {
    pub name: String,
    pub life: u64,
    /// It has met others.
    pub joined: bool,
    pub contact: ContactStatus,
    /// The index of the agreed state.
    pub index: u64,
    /// It leads the core, as far as it knows.
    pub leads: bool,
    /// The members of the core.
    pub core: Vec<String>,
    /// All that live, this one included.
    pub members: Vec<MemberStatus>,
    /// Lives that are known to be over, by name.
    pub ended: Vec<EndedLife>,
    pub placement: PlacementStatus,
    /// Stores that are being emptied, and those that were.
    pub retiring: Vec<String>,
    pub retired: Vec<String>,
}

/// Whether a process is in touch with a majority of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", rename_all_fields = "camelCase")]
pub enum ContactStatus {
    /// What it knows was lately proven the newest.
    InTouch,
    /// A majority answers; the newest state is on its way.
    CatchingUp,
    /// No majority has answered a question that was sent in the last `for_ms`.
    Lost { for_ms: u64 },
}

/// A member that lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    /// `relay` or `store`.
    pub role: String,
    pub life: u64,
    pub zone: String,
    pub address: String,
    pub ready: bool,
    /// It did not answer lately.
    pub suspect: bool,
}

/// A life of a process that is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedLife {
    pub name: String,
    pub life: u64,
}

/// Which stores hold messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementStatus {
    pub epoch: u64,
    /// Stores that may be lost at one time.
    pub tolerated: u16,
    /// The sets in force. More than one: messages move to the last one.
    pub sets: Vec<Vec<String>>,
}
