//! Releases of messages: a release is retried until each store that may hold the message has acknowledged it.
//!
//! Without the retry, a store that granted a claim and missed the release would take the claimant for the owner for
//! as long as the claimant lives, and nobody would run the message.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::StoreRequest;

use crate::calls::Purpose;
use crate::clock::Timer;
use crate::machine::Queue;

/// Delay before a failed release is sent again.
const RELEASE_RETRY_DELAY: Micros = 700_000;
/// Maximum number of names in one request.
const MAX_NAMES_PER_REQUEST: usize = 256;

/// Releases that failed, by store.
#[derive(Debug, Default)]
pub(crate) struct Releases {
    failed: BTreeMap<StoreId, BTreeSet<MessageName>>,
    is_retry_scheduled: bool,
}

impl Queue {
    pub(crate) fn send_release(&mut self, store: &StoreId, names: Vec<MessageName>) {
        let owner = self.settings.owner.clone();
        let request = StoreRequest::Release { names: names.clone(), owner };
        self.ask(store, Purpose::Release(names), request);
    }

    /// Keeps a release that the store has not acknowledged for a later retry.
    pub(crate) fn release_failed(&mut self, store: StoreId, names: Vec<MessageName>) {
        self.releases.failed.entry(store).or_default().extend(names);
        self.schedule_release_retry();
    }

    fn schedule_release_retry(&mut self) {
        if !self.releases.is_retry_scheduled && !self.releases.failed.is_empty() {
            self.releases.is_retry_scheduled = true;
            self.clock.set(self.now + RELEASE_RETRY_DELAY, Timer::RetryReleases);
        }
    }

    /// Sends failed releases again to the live stores. Messages that this relay owns again meanwhile are not
    /// released.
    pub(crate) fn retry_releases(&mut self) {
        self.releases.is_retry_scheduled = false;
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
            for part in names.chunks(MAX_NAMES_PER_REQUEST) {
                self.send_release(&store, part.to_vec());
            }
        }
        self.schedule_release_retry();
    }
}
