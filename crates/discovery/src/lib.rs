//! The platform's list of hosts: one relay reads it, all relays have it.
//!
//! The reader of a region asks about every 0.7 s and passes on what changed through a tree over the live relays. A
//! list is named by a digest of its content, so that a relay that has it already needs no more than the word that it is
//! still so. A relay without fresh word reads the list itself and passes it on in the same way; who does so first is
//! left to chance, at a pace that keeps all relays together within the platform's limit.

mod budget;
mod discovery;
mod interface;
mod list;
mod message;
mod read;

pub use discovery::{Discovery, DiscoverySettings};
pub use interface::{CallFailure, CallId, Effect, Input, ListedInstance, Page};
pub use list::List;
