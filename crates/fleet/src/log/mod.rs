//! The replicated log among the voters: one decision after the other, by `raft`, whose core does no I/O.

mod disk;
mod guard;
mod machine;
mod proof;
mod saved;
mod seats;
mod step;
mod voter;
mod wire;

pub use guard::Wrong;
pub use machine::{Command, Outcome};
pub use proof::{Claim, Floor, Knows, Proof, Verdict};
pub use saved::{Folder, last};
pub use seats::{Seat, next_change};
pub use step::Step;
pub use voter::{Voter, Voters};
pub use wire::Message;
