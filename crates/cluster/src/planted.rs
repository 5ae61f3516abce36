//! Faults of the program that are planted in relays.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_config::CompiledConfig;
use pewterseam_control::{Change, OperatorRequest, Outcome, Token};
use pewterseam_delivery::Input as DeliveryInput;
use pewterseam_queue::{MessageKey, RouteTable};
use pewterseam_wire::Micros;
use pewterseam_wire::control::ConfigDocument;
use pewterseam_wire::placement::{StoreId, hash};
use pewterseam_wire::record::{MessageName, RouteKey};
use pewterseam_wire::store::{Status, StoreRequest, StoreResponse};

use crate::event::Output;
use crate::plan::{MILLISECOND, Planted, SECOND};
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

    /// What a planted fault has the relay take for the news of a host.
    pub(crate) fn believed(&self, input: DeliveryInput) -> DeliveryInput {
        match input {
            DeliveryInput::Hosts(mut hosts) if self.has(Planted::KeptHosts) => {
                hosts.iter_mut().for_each(|host| host.ready = true);
                DeliveryInput::Hosts(hosts)
            }
            input => input,
        }
    }

    /// Whether a planted fault keeps a configuration that was agreed upon from being used now.
    pub(crate) fn holds_back(&mut self, document: &Arc<ConfigDocument>) -> bool {
        let now = self.node.now;
        let before = self.held_back.newest.replace(document.clone());
        let Some(before) = before.filter(|_| self.config.version > 0) else { return false };
        match self.planted {
            Some(Planted::KeptRoutes) => true,
            Some(Planted::LateConfigurations) => {
                self.held_back.due.push_back((now + LATE_BY, document.clone()));
                true
            }
            Some(Planted::ReturningConfigurations) => {
                self.held_back.due.push_back((now + RETURN_AFTER, before));
                false
            }
            _ => false,
        }
    }

    /// The routes of a configuration. With a planted fault, each keeps the key that the first route of its name had.
    pub(crate) fn route_table(&mut self, config: &CompiledConfig) -> RouteTable {
        let mut table = RouteTable::from_config(config);
        if self.has(Planted::RoutesByName) {
            let named = table.routes.clone();
            for route in config.routes() {
                let first = self.held_back.first_keys.entry(route.name.clone());
                let first = first.or_insert_with(|| route.key()).clone();
                table.routes.extend(named.get(&route.key()).map(|policy| (first, policy.clone())));
            }
        }
        table
    }

    /// Uses what a planted fault has held back long enough.
    pub(crate) fn use_held_back(&mut self) {
        let now = self.node.now;
        while let Some((_, document)) = self.held_back.due.pop_front_if(|(due, _)| *due <= now) {
            self.use_config(&document);
        }
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

/// Configurations that planted faults have in hand.
#[derive(Default)]
pub struct HeldBack {
    newest: Option<Arc<ConfigDocument>>,
    /// Those that are to be used, and when.
    due: VecDeque<(Micros, Arc<ConfigDocument>)>,
    /// The key of the first route of each name.
    first_keys: BTreeMap<Arc<str>, RouteKey>,
}

const LATE_BY: Micros = 4 * SECOND;
const RETURN_AFTER: Micros = 600 * MILLISECOND;
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
