//! Faults of the program that are planted in relays.

use bytes::Bytes;
use pewterseam_control::{Change, OperatorRequest, Outcome, Token};
use pewterseam_queue::MessageKey;
use pewterseam_wire::placement::{StoreId, hash};
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::{Status, StoreRequest, StoreResponse};

use crate::event::Output;
use crate::plan::Planted;
use crate::relay::RelayProcess;

impl RelayProcess {
    pub(crate) fn has(&self, planted: Planted) -> bool {
        self.planted == Some(planted)
    }

    /// Whether a planted fault has the relay forget a message that is to run.
    pub(crate) fn forgets(&self, key: MessageKey) -> bool {
        let is_drawn =
            |name: &MessageName| hash(name.request_id().as_bytes(), 0).is_multiple_of(FORGOTTEN_OF);
        self.has(Planted::ForgottenMessages)
            && self.queue.record(key).is_some_and(|record| is_drawn(&record.name))
    }

    /// An operator calls.
    pub(crate) fn operator(&mut self, token: Token, request: OperatorRequest) {
        match (self.planted, request) {
            (Some(Planted::StaleReads), OperatorRequest::ReadConfig) => {
                let outcome = Outcome::Config(self.node.state().config.clone());
                self.node.out.push(Output::Operator { token, outcome });
            }
            (Some(Planted::ForgottenChanges), OperatorRequest::Configure { if_match, change }) => {
                let change = spaced(&change, token.0 as usize % MOST_SPACES);
                self.node.operator(token, OperatorRequest::Configure { if_match, change });
            }
            (_, request) => self.node.operator(token, request),
        }
    }

    /// What a planted fault has the relay believe of a store that it does not ask.
    pub(crate) fn forged(&self, store: &StoreId, request: &StoreRequest) -> Option<StoreResponse> {
        match (self.planted, request) {
            (Some(Planted::OneStoreTooFew), StoreRequest::ListOpen { partition, .. }) => {
                let asked = self.node.state().placement.stores(*partition);
                let is_passed_over = asked.iter().next() == Some(store);
                is_passed_over
                    .then(|| StoreResponse::OpenMessages { store: store.clone(), names: Vec::new() })
            }
            (Some(Planted::NoClaims), StoreRequest::Claim { .. }) => {
                Some(StoreResponse::Done { store: store.clone() })
            }
            (Some(Planted::NoConfirmation | Planted::NoClaims), StoreRequest::Confirm { names, .. }) => {
                let statuses = vec![Status::Unknown; names.len()];
                Some(StoreResponse::Statuses { store: store.clone(), statuses })
            }
            _ => None,
        }
    }
}

const MOST_SPACES: usize = 64;
/// One message of so many is forgotten.
const FORGOTTEN_OF: u64 = 40;

/// The same change in other bytes.
fn spaced(change: &Change, spaces: usize) -> Change {
    let with_spaces = |text: &Bytes| Bytes::from([text.as_ref(), &vec![b' '; spaces]].concat());
    match change {
        Change::Whole(text) => Change::Whole(with_spaces(text)),
        Change::Patch(text) => Change::Patch(with_spaces(text)),
    }
}
