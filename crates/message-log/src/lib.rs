//! The message log of a store: replicated records of messages, the facts about them, and their owners.
//!
//! [`Store`] is a state machine without I/O. A driver feeds it [`Input`]s with the time and carries out the
//! [`Effect`]s that it returns: responses and notices go to sockets, entries to a `pewterseam_storage::LogWriter`.

mod claims;
mod cleaning;
mod contents;
mod copying;
mod entry;
mod expiry;
mod gathering;
mod interface;
mod late_facts;
mod leases;
mod log_clock;
mod message;
mod messages;
mod offers;
mod owners;
mod persistence;
mod placement_view;
mod recovery;
mod requests;
mod store;
mod successors;

pub use interface::{CurrentTime, Effect, Input, Members, StoreSettings};
pub use recovery::{RecoverError, StoreRecovery};
pub use store::Store;
