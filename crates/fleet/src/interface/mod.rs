//! What others build upon: members, decisions, and what goes into a fleet's machine and comes out of it.
//! Types only.

mod config;
mod decision;
mod io;
mod member;
mod saved;

pub use config::{Config, Times};
pub use decision::{Decision, Epoch, InForce, Kind, Matter, Proposal};
pub use io::{CallId, Effect, Input, Part, Refusal, Severity, Ticket, Unanswered};
pub use member::{Living, Member, MemberId, MemberState, Members};
pub use saved::{Batch, Entry, Record, Saved, Snapshot, VoterId};

pub use pewterseam::interface::Micros;

/// Longest datagram that may be sent, in bytes: the protocol's bound between relays.
pub const MOST_DATAGRAM_BYTES: usize = 256;
/// Longest body of [`Input::Tell`], in bytes: what a datagram leaves behind the envelope and its keyed hash.
pub const MOST_TOLD_BYTES: usize = 200;
/// Longest body of a call or of its answer, sealed, in bytes. A relay holds a call whole; this is what one
/// may cost it.
pub const MOST_CALL_BYTES: usize = 1024 * 1024;
/// Longest `what` of a decision, in bytes. All voters keep all decisions in force in memory and on disk.
pub const MOST_DECISION_BYTES: usize = 32 * 1024;
/// All decisions in force together, in bytes: they have to go into one call, to a voter that is new. What
/// would exceed it is refused.
pub const MOST_IN_FORCE_BYTES: usize = 768 * 1024;
