//! What processes send each other over connections, as in `pewterseam-system`, in the frames of `pewterseam-wire`.

use bytes::{Bytes, BytesMut};
use pewterseam_control::ControlMessage;
use pewterseam_wire::frame::{FrameError, read_frame, write_frame};
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::record::{Fact, MessageName};
use pewterseam_wire::store::{StoreNotice, StoreRequest, StoreResponse};
use serde::{Deserialize, Serialize};

/// A message between processes.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    StoreRequest { call: u64, request: Box<StoreRequest> },
    StoreResponse { call: u64, response: Box<StoreResponse> },
    Notice(StoreNotice),
    Control { from: NodeName, message: Box<ControlMessage> },
    Delivery { from: NodeName, bytes: Bytes },
}

impl PeerMessage {
    /// The frame that goes over the connection.
    pub fn encode(&self) -> Result<Bytes, FrameError> {
        let mut buffer = BytesMut::new();
        write_frame(&mut buffer, self)?;
        Ok(buffer.freeze())
    }

    /// Reads a frame at the other end. None if it is not whole, or if it reads as another message than was sent.
    pub fn decode(frame: &Bytes) -> Result<Option<Self>, FrameError> {
        let mut buffer = BytesMut::from(frame.as_ref());
        let message: Option<Self> = read_frame(&mut buffer)?;
        let Some(message) = message.filter(|_| buffer.is_empty()) else { return Ok(None) };
        let is_same = message.encode()? == *frame;
        Ok(is_same.then_some(message))
    }

    /// The messages whose fate this may decide, and how, for traces.
    pub fn fates(&self) -> Vec<(&MessageName, String)> {
        match self {
            PeerMessage::StoreRequest { request, .. } => request_fates(request),
            PeerMessage::Notice(StoreNotice::TakeOver { messages }) => {
                let told = |claim| format!("is offered above claim {claim}");
                messages.iter().map(|orphan| (&orphan.record.name, told(orphan.claim))).collect()
            }
            _ => Vec::new(),
        }
    }
}

fn request_fates(request: &StoreRequest) -> Vec<(&MessageName, String)> {
    match request {
        StoreRequest::Append { record, .. } => vec![(&record.name, "record".to_owned())],
        StoreRequest::Settle { facts } => {
            let told = |fact: &Fact| match fact {
                Fact::Ended { end, .. } => format!("end {end:?}"),
                Fact::Attempted { failures, .. } => format!("{failures} failures"),
            };
            facts.iter().map(|fact| (fact.name(), told(fact))).collect()
        }
        StoreRequest::Confirm { names, owner } => {
            names.iter().map(|name| (name, format!("is confirmed for {}", owner.name))).collect()
        }
        StoreRequest::Claim { names, owner, claim } => {
            names.iter().map(|name| (name, format!("claim {claim} of {}", owner.name))).collect()
        }
        StoreRequest::Release { names, owner } => {
            names.iter().map(|name| (name, format!("release of {}", owner.name))).collect()
        }
        _ => Vec::new(),
    }
}
