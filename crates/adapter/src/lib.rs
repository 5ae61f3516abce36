//! Adapter between the simulator's wire protocol and pewterseam's decisions: frames, codec and translation,
//! and nothing else.

pub mod codec;
pub mod instances;
