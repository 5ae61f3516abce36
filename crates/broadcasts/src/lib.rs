//! Broadcasts: one message for a named group of destinations, and what is done about subscribers that drag
//! them. State machines without I/O: events and the time come in, effects go out.
//!
//! Arrows go one way: `groups` < `detection` < `lanes`; `passing` stands beside them; `machine` drives all of
//! them.

pub mod detection;
pub mod groups;
pub mod lanes;
pub mod machine;
pub mod passing;
