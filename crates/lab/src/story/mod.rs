//! What the world around the relays saw, in order of time: what clients handed in and were answered, what hosts got
//! and answered, what discovery told. A relay's own word is no part of it, but for its decisions, which are told
//! beside a breach.

mod file;

use std::collections::BTreeMap;

use pewterseam::interface::Micros;
use serde::{Deserialize, Serialize};

/// A message by the number that the day gave it; each occasion on which it is handed in has an id of its own.
pub type MessageNumber = u64;
pub type RelayNumber = u16;
/// A host by its number in the day; a new one that replaces another has a number of its own.
pub type HostNumber = u32;
/// One call of a relay to a host.
pub type CallNumber = u64;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub at: Micros,
    pub what: Happened,
}

/// What a message is; told once, before anything else of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageFacts {
    /// Place of its class in the plan.
    pub class: usize,
    pub destination: u32,
    pub key: Option<u32>,
}

/// How a call ended at its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    Served,
    Error,
    /// Never ran; with a wait in microseconds, or 0.
    Refused {
        wait: Micros,
    },
    /// The caller closed the connection or it broke before an answer; it ran if `ran`.
    Left {
        ran: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Happened {
    /// The last byte of a request was written to a relay; `times` counts from 0.
    HandedIn {
        message: MessageNumber,
        times: u32,
        relay: RelayNumber,
        deadline: Micros,
        facts: MessageFacts,
    },
    /// Its answer was read: taken on (2xx), refused (429, 503), or failed.
    Answered {
        message: MessageNumber,
        times: u32,
        relay: RelayNumber,
        status: u16,
    },
    /// The connection ended without an answer, or the client would wait no longer.
    Unanswered {
        message: MessageNumber,
        times: u32,
        relay: RelayNumber,
        broken: bool,
    },
    /// The platform read a notice, of the id of that occasion.
    Noticed {
        message: MessageNumber,
        times: u32,
        relay: RelayNumber,
        failed: bool,
    },
    /// A call's first and last byte came to a host.
    Arrived {
        call: CallNumber,
        message: MessageNumber,
        times: u32,
        relay: RelayNumber,
        host: HostNumber,
        began: Micros,
    },
    /// The host had it take effect.
    Ran {
        call: CallNumber,
    },
    Ended {
        call: CallNumber,
        how: Ending,
    },
    /// A probe or a connect that came or failed at a host.
    Probed {
        relay: RelayNumber,
        host: HostNumber,
        failed: bool,
    },
    /// Discovery wrote it to the relay, or it counts as told.
    ListTold {
        relay: RelayNumber,
        host: HostNumber,
        state: Listed,
    },
    /// What a host can do now, in calls a second; 0 while it is out.
    Capacity {
        host: HostNumber,
        a_second: f64,
    },
    Ready {
        relay: RelayNumber,
    },
    Stopping {
        relay: RelayNumber,
    },
    Dead {
        relay: RelayNumber,
    },
    /// A fault took its folder, or put an old one in its place: what it held is lost, and it owes no end of it.
    FolderLost {
        relay: RelayNumber,
    },
    /// A fault of the plan, by its place, begins or ends.
    Fault {
        place: usize,
        begins: bool,
    },
    /// What a relay logged of its decisions.
    Said {
        relay: RelayNumber,
        text: String,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

/// Where a host stands, and to whom it belongs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostFacts {
    pub destination: u32,
    pub zone: usize,
}

/// A whole day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Story {
    pub hosts: BTreeMap<HostNumber, HostFacts>,
    /// In order of time.
    pub told: Vec<Told>,
}

impl Story {
    /// All that was told of one message, for who has to understand what became of it.
    pub fn of_message(&self, number: MessageNumber) -> Vec<&Told> {
        let mut calls = Vec::new();
        let mut of_message = |told: &&Told| match &told.what {
            Happened::HandedIn { message, .. }
            | Happened::Answered { message, .. }
            | Happened::Unanswered { message, .. }
            | Happened::Noticed { message, .. } => *message == number,
            Happened::Arrived { message, call, .. } if *message == number => {
                calls.push(*call);
                true
            }
            Happened::Ran { call } | Happened::Ended { call, .. } => calls.contains(call),
            _ => false,
        };
        self.told.iter().filter(|told| of_message(told)).collect()
    }
}
