//! The state of a sender and its bookkeeping. `src/brain` makes the decisions.

mod calls;
mod host;
mod learnt;
mod listing;
mod message;
mod messages;
mod numbers;
mod placements;
mod repeats;
mod report;
mod route;
mod timers;

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{DestinationId, HostId, MessageId};

pub use host::{Health, Host};
pub use message::{Attempt, Call, KeyQueue, Message};
pub use numbers::{chance, scattered, seconds};
pub use report::Report;
pub use route::{Route, RouteId};
pub use timers::Timers;

/// The whole state of a sender.
#[derive(Debug, Default)]
pub struct State {
    pub hosts: BTreeMap<HostId, Host>,
    pub routes: BTreeMap<RouteId, Route>,
    pub messages: BTreeMap<MessageId, Message>,
    pub keys: BTreeMap<u64, KeyQueue>,
    pub calls: BTreeMap<u64, Call>,
    /// Messages of each tenant in this round, and their moving average per round.
    pub demand: BTreeMap<usize, (f64, f64)>,
    /// Rank of each zone of a destination, and the part of the messages that it takes; a zone without an
    /// entry takes all.
    placements: BTreeMap<(DestinationId, u16), (u8, f64)>,
    /// The hosts of each destination.
    index: BTreeMap<DestinationId, BTreeSet<HostId>>,
    /// Hosts with idle connections.
    idle: BTreeSet<HostId>,
    last_call: u64,
}
