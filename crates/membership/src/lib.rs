//! SWIM membership as a state machine without I/O: who is in the system, and who is alive.
//!
//! [`Membership`] takes datagrams and the time, and returns [`Effect`]s. A driver sends the datagrams, passes changes
//! on and calls [`Membership::tick`] when [`Membership::next_wake`] comes.
//!
//! What is known of a member is ordered by life, then incarnation, then status, and the greater knowledge wins
//! everywhere, so that merging is commutative and repeated or late datagrams do no harm.

mod anti_entropy;
mod change;
mod machine;
mod message;
mod probing;
mod rumors;
mod settings;
mod table;

pub use change::{Effect, MemberChange};
pub use machine::Membership;
pub use message::{MOST_DATAGRAM_BYTES, MembershipError};
pub use settings::MembershipSettings;
pub use table::Status;
