//! The replicated configuration, placement and core membership of the system, as a state machine without I/O.
//!
//! This is a consensus protocol on a single replicated state. A state is identified by a [`Stamp`]: the epoch (term)
//! of the leader that proposed it, and its index. The core members (relays with a disk) accept states durably; a state
//! is committed once a majority of the members that it names has synced it. A new leader claims an epoch by collecting
//! promises from a majority, adopts the greatest state among them, commits an entry of its own epoch on top of it, and
//! only then serves requests. All other processes learn committed states.
//!
//! Every process runs a [`Control`]. Its driver sends messages, syncs records, and reports membership changes.

mod agreed;
mod backup;
mod calls;
mod catch_up;
mod contact;
mod copied;
mod core_members;
mod core_membership;
mod effect;
mod election;
mod entry;
mod follower;
mod formation;
mod forward;
mod homes;
mod leader;
mod machine;
mod message;
mod operator;
mod peers;
mod placement;
mod replica;
mod serving;
mod settings;
mod spread;
mod storage;
mod transfer;

pub use agreed::{Agreed, ForcedEpoch};
pub use backup::StateBackup;
pub use contact::Contact;
pub use core_membership::CoreMembership;
pub use effect::{ControlError, Effect};
pub use entry::{Change, Command, CoreMember, Entry, RequestId, Stamp};
pub use machine::Control;
pub use message::{ControlMessage, FormationMessage};
pub use operator::{CallId, OperatorRequest, Outcome, Token};
pub use serving::Serving;
pub use settings::ControlSettings;
pub use transfer::{StateKind, StateName, StatePiece};
