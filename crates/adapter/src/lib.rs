//! The adapter between the simulator's wire and pewterseam's decisions: frames, codec and
//! translation, and nothing else.

pub mod codec;
pub mod instances;
