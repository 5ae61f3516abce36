//! Timers of the queue: a heap of due points, checked against the message when they fire.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use pewterseam_wire::Micros;

use crate::io::{AttemptNumber, CallId, MessageKey};

/// What is due. A timer that no longer fits its message does nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A write or a query has waited long enough to ask a further store.
    Hedge(MessageKey),
    /// The client's patience is over.
    Patience(MessageKey),
    /// The stores have had their time to tell of open messages of the key.
    Listing(MessageKey),
    /// The delay is over.
    Due(MessageKey),
    /// A pause after a failed run is over.
    RetryRun(MessageKey),
    /// Predecessors are asked for.
    CheckPredecessors(MessageKey),
    /// Facts about an orphan are asked for again.
    RetryAdoption(MessageKey),
    /// `retentionS` is over.
    Expire(MessageKey),
    /// A store has not answered.
    CallTimeout(CallId),
    /// Stores out of reach are tried.
    ProbeStores,
    /// Facts that wait are sent.
    Flush,
    /// The stores have had their time to confirm the ownership of a message.
    ConfirmTimeout(MessageKey, AttemptNumber),
    /// Releases that stores have not taken are sent again.
    RetryReleases,
    /// Ends that too few stores have acknowledged are sent again.
    RetrySettle(MessageKey),
}

#[derive(Debug, Default)]
pub(crate) struct Clock {
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
}

impl Clock {
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    pub fn next(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.timers.pop().map(|Reverse((_, timer))| timer)
    }
}
