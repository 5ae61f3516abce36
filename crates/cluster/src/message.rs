//! What processes send each other over connections, as in `pewterseam-system`, without encoding.

use bytes::Bytes;
use pewterseam_control::ControlMessage;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::record::{Fact, MessageName};
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

impl PeerMessage {
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
