//! What records tell, one after another: the messages that were on hand at the end.

use std::collections::BTreeMap;
use std::fmt;

use pewterseam::interface::Micros;

use crate::message::{End, Message};
use crate::record::{Past, Record, Zone};

/// A message as the journal tells of it at a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restored {
    pub number: u64,
    pub message: Message,
    pub past: Past,
    /// An attempt was out when the process ended; it may have run.
    pub cut: bool,
    pub closing: Option<End>,
}

impl fmt::Display for Restored {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}{}", self.number, self.message, self.past)?;
        match self.closing {
            Some(end) => write!(f, ", given up, {end}"),
            None => Ok(()),
        }
    }
}

/// All that a journal tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// By number, which is the order in which they were taken on.
    pub messages: Vec<Restored>,
    /// The next number to give.
    pub next: u64,
    /// Bytes that could not be read.
    pub dropped: u64,
}

/// Takes records in their order.
#[derive(Debug, Default)]
pub struct Replay {
    messages: BTreeMap<u64, Restored>,
    /// When, and where if that is known, the attempts without an outcome were sent.
    out: BTreeMap<u64, (Micros, Option<Zone>)>,
    next: u64,
}

impl Replay {
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Anew { next } => *self = Replay { next, ..Replay::default() },
            Record::Taken { number, message, past } => {
                self.next = self.next.max(number + 1);
                let restored = Restored { number, message, past, cut: false, closing: None };
                self.messages.insert(number, restored);
            }
            Record::Started { number, at } => {
                if let Some(restored) = self.messages.get_mut(&number) {
                    restored.past.attempts += 1;
                    // Danger: an attempt that an earlier death cut off, in a journal not written anew since, is
                    // forgotten over the next, and its window with it.
                    if let Some((at, zone)) = self.out.insert(number, (at, None)) {
                        restored.past.may_have_run(at, zone);
                    }
                }
            }
            Record::Over { number, how } => {
                if let (Some(restored), Some((at, zone))) =
                    (self.messages.get_mut(&number), self.out.remove(&number))
                {
                    restored.past.book(at, zone, how);
                }
            }
            Record::Closing { number, end } => {
                if let Some(restored) = self.messages.get_mut(&number) {
                    restored.closing = Some(end);
                }
            }
            Record::Ended { number } => {
                self.messages.remove(&number);
                self.out.remove(&number);
            }
            Record::FailedAt { number, at } => {
                if let Some(restored) = self.messages.get_mut(&number) {
                    (restored.past.failed, restored.past.failed_at) = (true, Some(at));
                }
            }
            Record::StartedIn { number, zone } => {
                if let Some((_, of_call)) = self.out.get_mut(&number) {
                    *of_call = Some(zone);
                }
            }
            Record::RanIn { number, zone } => {
                if let Some(restored) = self.messages.get_mut(&number) {
                    restored.past.ran_in = Some(zone);
                }
            }
        }
    }

    /// Attempts without an outcome may have run. So many bytes were `dropped`.
    pub fn finish(mut self, dropped: u64) -> History {
        for (number, (at, zone)) in self.out {
            if let Some(restored) = self.messages.get_mut(&number) {
                restored.past.may_have_run(at, zone);
                restored.cut = true;
            }
        }
        History { messages: self.messages.into_values().collect(), next: self.next, dropped }
    }
}
