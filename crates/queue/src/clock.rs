//! Timers of the queue: a heap ordered by due time. A timer is checked against the state of its message when it
//! fires.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use pewterseam_wire::Micros;

use crate::io::{AttemptNumber, CallId, MessageKey};

/// What a timer triggers. A timer that no longer applies to its message has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A write or a listing has waited long enough: another store is asked.
    Hedge(MessageKey),
    /// The client must be answered now.
    ClientDeadline(MessageKey),
    /// The stores had to list the open messages of the ordering key by now.
    ListingDeadline(MessageKey),
    /// The delay of the message has passed.
    Due(MessageKey),
    /// The backoff after a failed run has passed.
    RetryRun(MessageKey),
    /// Stores are asked for the status of predecessors.
    CheckPredecessors(MessageKey),
    /// Facts about an orphaned message are requested again.
    RetryAdoption(MessageKey),
    /// The retention of the message (`retentionS`) has passed.
    Expire(MessageKey),
    /// A store has not responded in time.
    CallTimeout(CallId),
    /// Unreachable stores are probed.
    ProbeStores,
    /// Queued facts are sent.
    Flush,
    /// The stores had to confirm the ownership of a message by now.
    ConfirmTimeout(MessageKey, AttemptNumber),
    /// Releases that failed at some stores are sent again.
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
