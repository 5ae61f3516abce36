//! Messages given up: every store that may hold them is told until it has heard.
//!
//! Danger: a store that grants a claim and never hears that it was given up takes the claimant for the owner for as long
//! as the claimant lives, and nobody runs the message.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::StoreRequest;

use crate::calls::Purpose;
use crate::clock::Timer;
use crate::machine::Queue;

/// When a release that a store has not taken is sent again.
const RELEASE_AGAIN: Micros = 700_000;
/// Names in one request.
const MOST_NAMES: usize = 256;

/// Releases that were sent in vain.
#[derive(Debug, Default)]
pub(crate) struct Releases {
    failed: BTreeMap<StoreId, BTreeSet<MessageName>>,
    is_retry_set: bool,
}

impl Queue {
    pub(crate) fn send_release(&mut self, store: &StoreId, names: Vec<MessageName>) {
        let owner = self.settings.owner.clone();
        let request = StoreRequest::Release { names: names.clone(), owner };
        self.ask(store, Purpose::Release(names), request);
    }

    /// A store has not answered.
    pub(crate) fn release_failed(&mut self, store: StoreId, names: Vec<MessageName>) {
        self.releases.failed.entry(store).or_default().extend(names);
        self.retry_releases_later();
    }

    fn retry_releases_later(&mut self) {
        if !self.releases.is_retry_set && !self.releases.failed.is_empty() {
            self.releases.is_retry_set = true;
            self.clock.set(self.now + RELEASE_AGAIN, Timer::RetryReleases);
        }
    }

    /// Tells the stores that are there; what is owned again meanwhile is not given up.
    pub(crate) fn retry_releases(&mut self) {
        self.releases.is_retry_set = false;
        for (store, names) in std::mem::take(&mut self.releases.failed) {
            let is_given_up = |name: &MessageName| !self.by_name.contains_key(name);
            let names: Vec<MessageName> = names.into_iter().filter(is_given_up).collect();
            if names.is_empty() || !self.stores.is_placed(&store) {
                continue;
            }
            if !self.stores.is_live(&store) {
                self.releases.failed.insert(store, names.into_iter().collect());
                continue;
            }
            for part in names.chunks(MOST_NAMES) {
                self.send_release(&store, part.to_vec());
            }
        }
        self.retry_releases_later();
    }
}
