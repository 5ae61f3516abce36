//! Operator calls and their outcomes.

use std::sync::Arc;

use bytes::Bytes;
use pewterseam_wire::control::ConfigDocument;
use pewterseam_wire::identity::NodeName;
use serde::{Deserialize, Serialize};

use crate::entry::Change;

/// Identifies an operator's call within the process that took it. The driver chooses the token; no other process sees
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Identifies a call between the process that makes it and the leader.
///
/// Answers are addressed to a node by name, so they may reach a later process of that node than the one that made the
/// call. Each process numbers its calls from a random start, so that the numbers of two processes of a node do not
/// overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A request to the leader, from an operator or from a process that renews its lease.
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
    /// A process without contact asks for the newest index.
    ReadIndex,
    /// A process in contact asks for the newest index, and can wait for the leader's next heartbeat.
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

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// 200: the change is durable, accepted by this call or by an earlier one.
    Accepted { version: u64 },
    /// 412: another version is current.
    Conflict { current: u64 },
    /// 400, with all errors found.
    Invalid { errors: Vec<String> },
    /// 200 with the newest configuration; version 0 and an empty text before the first configuration.
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
    /// The outcome is unknown: the connection is closed, or the answer is 503.
    Unknown,
}
