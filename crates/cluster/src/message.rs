//! What processes send each other over connections, as in `pewterseam-system`, without encoding.

use bytes::Bytes;
use pewterseam_control::ControlMessage;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::store::{StoreNotice, StoreRequest, StoreResponse};

/// A message between processes.
#[derive(Debug)]
pub enum PeerMessage {
    StoreRequest { call: u64, request: Box<StoreRequest> },
    StoreResponse { call: u64, response: Box<StoreResponse> },
    Notice(StoreNotice),
    Control { from: NodeName, message: Box<ControlMessage> },
    Delivery { from: NodeName, bytes: Bytes },
}
