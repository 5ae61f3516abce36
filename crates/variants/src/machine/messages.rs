//! Messages of this relay that are claimed or wait. Bounded: what is beyond goes unmerged as its class says.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam::interface::Micros;

use crate::claimant::Message;
use crate::rules::Key;

/// A message, and what is learnt with it.
#[derive(Debug)]
struct Kept {
    message: Message,
    wake: Option<Micros>,
    keys: Vec<Key>,
}

#[derive(Debug, Default)]
pub struct Messages {
    by_handle: BTreeMap<u64, Kept>,
    by_key: BTreeMap<Key, BTreeSet<u64>>,
    wakes: BTreeSet<(Micros, u64)>,
}

impl Messages {
    pub fn len(&self) -> usize {
        self.by_handle.len()
    }

    pub fn get(&self, handle: u64) -> Option<&Message> {
        self.by_handle.get(&handle).map(|kept| &kept.message)
    }

    /// Takes one out to work with it; [`Messages::put`] takes it back.
    pub fn take(&mut self, handle: u64) -> Option<Message> {
        let kept = self.by_handle.remove(&handle)?;
        if let Some(wake) = kept.wake {
            self.wakes.remove(&(wake, handle));
        }
        for key in kept.keys {
            if let Some(handles) = self.by_key.get_mut(&key) {
                handles.remove(&handle);
                if handles.is_empty() {
                    self.by_key.remove(&key);
                }
            }
        }
        Some(kept.message)
    }

    /// Unless it is over.
    pub fn put(&mut self, message: Message) {
        if message.is_over() {
            return;
        }
        let (handle, wake) = (message.plan().handle, message.wake());
        let keys: Vec<Key> = message.keys().collect();
        self.wakes.extend(wake.map(|wake| (wake, handle)));
        for key in &keys {
            self.by_key.entry(*key).or_default().insert(handle);
        }
        self.by_handle.insert(handle, Kept { message, wake, keys });
    }

    pub fn handles(&self) -> Vec<u64> {
        self.by_handle.keys().copied().collect()
    }

    pub fn of_key(&self, key: Key) -> Vec<u64> {
        self.by_key.get(&key).into_iter().flatten().copied().collect()
    }

    pub fn next_wake(&self) -> Option<Micros> {
        self.wakes.first().map(|first| first.0)
    }

    /// One whose time has come.
    pub fn due(&self, now: Micros) -> Option<u64> {
        self.wakes.first().filter(|first| first.0 <= now).map(|first| first.1)
    }
}
