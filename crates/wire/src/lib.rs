//! The identities, records and messages that the processes of the system share, and the frames that carry them.
//!
//! Nothing here does I/O. Times are whole microseconds of the local steady clock unless a name says `wall`.

pub mod control;
pub mod frame;
pub mod identity;
pub mod placement;
pub mod placement_table;
pub mod random;
pub mod record;
pub mod store;
pub mod tree;

/// A point in time of the local steady clock, or a span, in microseconds.
pub type Micros = u64;

/// A point in time of the local time of day, in microseconds since the epoch. It may step.
pub type WallMicros = u64;
