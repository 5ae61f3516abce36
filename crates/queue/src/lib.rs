//! Lifecycle of messages at the relay that owns them: accepted, written to the stores, due, running, ended, handed
//! over.
//!
//! [`Queue`] is a state machine without I/O. It sends requests to stores through [`Effect::Ask`] and receives their
//! responses; it submits messages to a runner through [`Effect::Submit`] and receives the results. Its guarantees:
//!
//! - A message is accepted only after a write quorum of its partition's stores has synced it.
//! - A message that may have left a copy at a store is never declined with the promise that it will not run.
//! - A message with an ordering key starts only when each of its predecessors is known to have ended, or is known
//!   never to have been accepted.
//! - An adopted message is run only after a read quorum was asked for facts about it.
//! - A message is sent to a host only with a [`SendPermit`], that is, while no other relay can own it.

mod accept;
mod adopt;
mod calls;
mod clock;
mod io;
mod leases;
mod machine;
mod message;
mod predecessors;
mod quorum_read;
mod releases;
mod routes;
mod run;
mod sending;
mod settle;
mod stop;
mod stores;

pub use io::{
    Answer, AttemptNumber, CallId, ClientToken, Effect, MessageKey, NewMessage, QueueSettings, RunResult,
    Submission,
};
pub use machine::Queue;
pub use quorum_read::{BodyRead, StatusRead, StatusResult};
pub use routes::{RouteChanges, RoutePolicy, RouteTable};
pub use sending::SendPermit;
