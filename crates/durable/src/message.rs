//! A message as clients hand it in, and what the relay owes for it.

use std::fmt;

use bytes::Bytes;
use pewterseam::interface::Micros;
use serde::{Deserialize, Serialize};

/// A message that was taken on, unchanged but for what the decisions need to read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The client's id, opaque.
    pub id: String,
    pub class: String,
    pub tenant: String,
    /// The key of its order.
    pub key: Option<String>,
    pub destination: u32,
    /// Unix time in microseconds.
    pub deadline: Micros,
    pub idempotency_key: Option<Vec<u8>>,
    pub body: Bytes,
}

impl fmt::Display for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Message { id, class, tenant, destination, deadline, body, .. } = self;
        write!(f, "{id:?} class {class:?} tenant {tenant:?} to {destination} by {deadline}")?;
        if let Some(key) = &self.key {
            write!(f, " key {key:?}")?;
        }
        write!(f, ", {} bytes", body.len())
    }
}

/// The end of a message that is not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    Failed,
    /// Safe to hand in again, after this many milliseconds if above 0.
    Returned {
        after_ms: u64,
    },
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            End::Failed => f.write_str("failed"),
            End::Returned { after_ms } => write!(f, "returned for {after_ms} ms"),
        }
    }
}
