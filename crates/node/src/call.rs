//! Calls to hosts, whatever protocol they speak.

use bytes::Bytes;
use pewterseam::interface::{HostId, MessageId, Micros, Outcome};

use crate::pool::ConnectionId;

/// One attempt of a message at a host, on a connection that is open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub connection: ConnectionId,
    pub id: MessageId,
    pub attempt: u32,
    pub host: HostId,
    /// The client's id, its idempotency key and the body, as they were handed in.
    pub message: String,
    pub idempotency_key: Option<Vec<u8>>,
    pub body: Bytes,
    /// Time to wait for the answer.
    pub timeout: Micros,
}

/// What came of a call or a probe.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub outcome: Outcome,
    /// The message is over by the host's word.
    pub closed: bool,
    /// Until the first byte of an answer, or the end.
    pub took: Micros,
    /// The load report, as it was written.
    pub report: Option<String>,
    /// The connection is idle now, and may carry another call.
    pub kept: bool,
}
