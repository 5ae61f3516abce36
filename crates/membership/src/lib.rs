//! SWIM membership as a state machine without I/O: which nodes are members, and which of them are alive.
//!
//! [`Membership`] takes datagrams and the time, and returns [`Effect`]s. A driver sends the datagrams, passes member
//! changes on and calls [`Membership::tick`] at the time given by [`Membership::next_wake`].
//!
//! Knowledge about a member is ordered by life, then incarnation, then status. The greater one always wins, so
//! merging is commutative, and repeated or late datagrams do no harm.

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
pub use message::{MAX_DATAGRAM_BYTES, MembershipError};
pub use settings::MembershipSettings;
pub use table::Status;
