//! What processes of the system send each other over TCP.

use bytes::Bytes;
use pewterseam_control::ControlMessage;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::store::{StoreNotice, StoreRequest, StoreResponse};
use serde::{Deserialize, Serialize};

/// A message between processes.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A request to a store; the answer comes on the same connection with the same number.
    StoreRequest {
        call: u64,
        request: Box<StoreRequest>,
    },
    StoreResponse {
        call: u64,
        response: Box<StoreResponse>,
    },
    /// A store tells a relay something unasked.
    Notice(StoreNotice),
    Control {
        from: NodeName,
        message: Box<ControlMessage>,
    },
    /// Reports and permits between the delivery planes of relays.
    Delivery {
        from: NodeName,
        bytes: Bytes,
    },
    /// The platform's list, passed on.
    List {
        from: NodeName,
        bytes: Bytes,
    },
}
