//! Calls of the operator and their outcomes.

use std::sync::Arc;

use bytes::Bytes;
use pewterseam_wire::control::ConfigDocument;
use pewterseam_wire::identity::NodeName;
use serde::{Deserialize, Serialize};

use crate::entry::Change;

/// Names an operator's call within the process that took it. The driver chooses it; no other process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Names a call between the process that makes it and the leader.
///
/// Answers go to a node by its name, so they may reach a later process of the node than the one that asked. A process
/// counts its calls from a number that is drawn at random, which no other process of the node shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// `PUT` or `PATCH /-/config`.
    Configure { if_match: u64, change: Change },
    /// `GET /-/config`.
    ReadConfig,
    /// `POST /-/retire/NODE`.
    Retire { node: NodeName },
    /// `GET /-/retire/NODE`.
    ReadRetire { node: NodeName },
    /// A process that is out of touch asks for the newest index.
    ReadIndex,
    /// A process that is in touch asks the same, and can wait for the leader's next heartbeat.
    RenewLease,
}

impl OperatorRequest {
    /// `PUT /-/config`.
    pub fn put(if_match: u64, body: Bytes) -> Self {
        OperatorRequest::Configure { if_match, change: Change::Whole(body) }
    }

    /// `PATCH /-/config`.
    pub fn patch(if_match: u64, body: Bytes) -> Self {
        OperatorRequest::Configure { if_match, change: Change::Patch(body) }
    }

    pub(crate) fn size(&self) -> usize {
        match self {
            OperatorRequest::Configure { change, .. } => change.len(),
            _ => 0,
        }
    }
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// 200: this change is durable, now or long since.
    Accepted { version: u64 },
    /// 412: another version is current.
    Conflict { current: u64 },
    /// 400, with all that is wrong.
    Invalid { errors: Vec<String> },
    /// 200 with the newest configuration; version 0 and no text before the first.
    Config(Arc<ConfigDocument>),
    /// 200: the store is being emptied, or is empty.
    Retiring,
    /// 200: `completed` or `in_progress`.
    RetireState { completed: bool },
    /// 404.
    UnknownStore,
    /// 409: too few stores would be left.
    TooFewStores,
    /// The newest index.
    Index(u64),
    /// No clear answer may be given: the connection is closed, or 503.
    Unknown,
}
