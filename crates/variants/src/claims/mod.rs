//! What the owners of keys keep: who claimed a message, whether it ran, and how it ended.
//!
//! Arrows go one way: `claim` < `wire` < `table`; `roster` < `handover`.

mod claim;
mod handover;
mod roster;
mod table;
mod wire;

pub use claim::{Claim, End, Holder, MOST_ANSWER_BYTES, Phase};
pub use handover::Handover;
pub use roster::{MOST_PAST, MOST_SEATS, OWNERS, Owners, Past, Roster, Seat, quorum};
pub use table::{Faults, Limits, Outcome, Table};
pub use wire::{Ask, ClaimOp, Item, Kept, Op, Reply, Said};
