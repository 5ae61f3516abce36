//! Messages, their attempts and calls, and the queues of ordering keys.

use std::collections::VecDeque;

use crate::interface::{Class, HostId, MessageId, Micros, PossibleRun, Request};

/// An attempt without an outcome.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub number: u32,
    pub call: u64,
    pub host: HostId,
    pub sent_at: Micros,
    /// Part of the attempt's call waits to be written.
    pub stalled: bool,
}

/// An accepted message.
#[derive(Debug)]
pub struct Message {
    pub request: Request,
    pub attempts: u32,
    /// The attempt in flight.
    pub in_flight: Option<Attempt>,
    /// The first attempt that may have run.
    pub ran: Option<PossibleRun>,
    /// Whether the message has its final answer; it is kept only until its attempt has an outcome and its
    /// final result is reported.
    pub finished: bool,
    /// The final result has yet to be reported.
    pub unreported: bool,
}

impl Message {
    /// Time since the message was first submitted.
    pub fn age(&self, class: &Class, at: Micros) -> Micros {
        at.saturating_sub(self.request.deadline.saturating_sub(class.deadline))
    }
}

/// One call, with one message or more.
#[derive(Debug)]
pub struct Call {
    pub host: HostId,
    pub sent_at: Micros,
    pub members: usize,
    /// Messages that may still join it.
    pub room: usize,
    pub trial: bool,
    /// An attempt of the call has ended, and its outcome is recorded.
    pub outcome_recorded: bool,
    /// How long its connection had been idle; `None` for a new one.
    pub idle_for: Option<Micros>,
}

/// The messages of one ordering key, in the order in which they were accepted.
#[derive(Debug, Default)]
pub struct KeyQueue {
    pub queue: VecDeque<MessageId>,
    pub paused_until: Micros,
}
