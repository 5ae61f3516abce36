//! The life of messages at the relay that owns them: taken, written to the stores, due, running, ended, handed over.
//!
//! [`Queue`] is a state machine without I/O. It asks stores through [`Effect::Ask`] and is told what they said; it has
//! messages run through [`Effect::Submit`] and is told what became of the run. What it promises:
//!
//! - A message is accepted only when the stores of its partition have synced it on a write quorum.
//! - A message that may have left a copy at a store is never declined with a promise that it will not run.
//! - A message of an ordering key starts only when every message that it names as predecessor is known to have ended,
//!   or is known never to have been accepted.
//! - A message that is taken over is run only after a read quorum was asked for facts about it.
//! - A message is sent to a host only with a [`SendPermit`]: while no other relay can own it.

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
