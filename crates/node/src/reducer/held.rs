//! What is kept of a message on hand and of a connection in use.

use std::net::SocketAddr;

use pewterseam::interface::{HostId, MessageId, Micros};
use pewterseam_durable::message::{End, Message};
use pewterseam_durable::record::{Past, Zone};

use crate::pool::ConnectionId;

/// A message on hand.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) message: Message,
    pub(super) past: Past,
    pub(super) out: Option<Out>,
    /// Given up; the notice of it is not answered yet.
    pub(super) closing: Option<End>,
    pub(super) footprint: u64,
}

/// The attempt of a message that is out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Out {
    pub(super) attempt: u32,
    /// When it was decided, and when it was written, if it was.
    pub(super) at: Micros,
    pub(super) written_at: Option<Micros>,
    /// To which zone, where that matters.
    pub(super) zone: Option<Zone>,
    pub(super) connection: ConnectionId,
}

/// What a connection is for that is being opened, or carries a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Carried {
    pub(super) id: MessageId,
    pub(super) attempt: u32,
    pub(super) host: HostId,
    pub(super) address: SocketAddr,
    /// When the attempt was decided, and until when it may take.
    pub(super) at: Micros,
    pub(super) until: Micros,
    pub(super) connect: Micros,
    /// How long the connection had been idle; none for a new one.
    pub(super) idle_for: Option<Micros>,
}
