//! How committed states reach processes that lack them.

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::agreed::Agreed;
use crate::entry::{Entry, Stamp};
use crate::machine::Control;
use crate::message::ControlMessage;

/// An unanswered fetch is repeated elsewhere after this.
const FETCH_TIMEOUT: Micros = 400_000;

/// What this process knows it lacks.
#[derive(Clone, Default)]
pub(crate) struct CatchUp {
    /// The highest index that was heard of, and who has it.
    newest: u64,
    holder: Option<NodeName>,
    fetch_at: Option<Micros>,
    turn: usize,
}

impl CatchUp {
    pub(crate) fn next_wake(&self) -> Micros {
        self.fetch_at.unwrap_or(Micros::MAX)
    }
}

impl Control {
    /// A node knows a state with this index.
    pub(crate) fn heard_of_index(&mut self, index: u64, holder: NodeName) {
        if index <= self.replica.committed.stamp.index || holder == self.name {
            return;
        }
        if index > self.catch_up.newest || self.catch_up.holder.is_none() {
            self.catch_up.newest = self.catch_up.newest.max(index);
            self.catch_up.holder = Some(holder);
        }
        if self.catch_up.fetch_at.is_none() {
            self.catch_up.fetch_at = Some(self.now);
        }
    }

    pub(crate) fn run_catch_up(&mut self) {
        let Some(at) = self.catch_up.fetch_at else { return };
        if self.catch_up.newest <= self.replica.committed.stamp.index {
            self.catch_up.fetch_at = None;
            self.catch_up.holder = None;
            return;
        }
        if at > self.now {
            return;
        }
        self.catch_up.fetch_at = Some(self.now + FETCH_TIMEOUT);
        let holder = self.catch_up.holder.take().or_else(|| self.leader_hint.clone()).or_else(|| {
            let core = self.live_core();
            self.catch_up.turn += 1;
            core.get(self.catch_up.turn % core.len().max(1)).cloned()
        });
        if let Some(holder) = holder {
            let have = self.replica.committed.stamp;
            self.send(holder, ControlMessage::Fetch { have });
        }
    }

    pub(crate) fn fetch(&mut self, from: &NodeName, have: Stamp) {
        if have.index >= self.replica.committed.stamp.index {
            return;
        }
        let message = match self.replica.entries_after(have) {
            Some(entries) => ControlMessage::Entries { entries },
            None => ControlMessage::Committed { agreed: self.replica.committed.clone() },
        };
        self.send(from.clone(), message);
    }

    pub(crate) fn push(&mut self, from: &NodeName, entry: Entry) {
        self.leader_hint = Some(from.clone());
        let index = entry.stamp.index;
        if index <= self.replica.committed.stamp.index {
            return;
        }
        if self.replica.learn(entry, &mut self.effects).is_err() {
            self.heard_of_index(index, from.clone());
        }
    }

    pub(crate) fn entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.stamp.index > self.replica.committed.stamp.index
                && self.replica.learn(entry, &mut self.effects).is_err()
            {
                // They do not fit: the next fetch goes to another node.
                return;
            }
        }
    }

    pub(crate) fn committed(&mut self, agreed: Agreed) {
        if agreed.stamp.index > self.replica.committed.stamp.index {
            self.replica.learn_state(agreed, &mut self.effects);
        }
    }
}
