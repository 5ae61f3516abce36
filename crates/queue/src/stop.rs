//! Shutdown: a stopping relay finishes the running messages and hands over the rest to other relays through the
//! stores.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::record::MessageName;

use crate::io::{Effect, MessageKey};
use crate::machine::Queue;
use crate::message::Stage;

impl Queue {
    /// Starts no message from now on, and releases the waiting messages to other relays.
    pub fn stop(&mut self, now: Micros) -> Vec<Effect> {
        self.now = now;
        self.is_stopping = true;
        let waiting = self
            .keys(|stage| matches!(stage, Stage::Waiting | Stage::Adopting { .. } | Stage::Claiming { .. }));
        self.release(&waiting);
        self.take_effects()
    }

    /// Releases messages: every store that may hold them is notified and offers them to other relays.
    pub(crate) fn release(&mut self, keys: &[MessageKey]) {
        // The facts go first: a new owner that starts before it knows of a failed attempt would count one attempt
        // too few.
        self.flush();
        let mut by_store: BTreeMap<StoreId, Vec<MessageName>> = BTreeMap::new();
        for key in keys {
            let Some(message) = self.messages.get(key) else { continue };
            for store in self.stores.placement.stores(message.record.partition) {
                by_store.entry(store).or_default().push(message.record.name.clone());
            }
            self.remove(*key);
        }
        for (store, names) in by_store {
            self.send_release(&store, names);
        }
    }

    /// Whether every message has ended or was handed over, and the stores have acknowledged it.
    pub fn is_drained(&self) -> bool {
        self.messages.is_empty() && self.calls.is_empty() && self.outbox.is_empty()
    }

    /// Running messages, oldest first.
    pub fn running_keys(&self) -> Vec<MessageKey> {
        self.keys(|stage| *stage == Stage::Running)
    }

    /// Number of running messages.
    pub fn running(&self) -> usize {
        self.messages.values().filter(|message| message.stage == Stage::Running).count()
    }
}
