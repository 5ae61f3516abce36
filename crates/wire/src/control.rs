//! What all processes agree on: the operator's configuration and the sets of machines.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::identity::NodeName;
use crate::placement::{Placement, StoreId};

/// A configuration as the operator sent it, or as a change to it left it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// 0 before the first.
    pub version: u64,
    /// The JSON text.
    pub text: Bytes,
}

/// The agreed state after the entry with this index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    pub index: u64,
    pub config: Arc<ConfigDocument>,
    pub placement: Arc<Placement>,
    /// Stores that the operator wants emptied and that are not yet.
    pub retiring: Vec<StoreId>,
    /// Stores that were emptied.
    pub retired: Vec<StoreId>,
    /// The relays that may hand out permits of limited services, sorted. No other one does.
    #[serde(default)]
    pub homes: Arc<Vec<NodeName>>,
}
