//! The adapter between the simulator's wire and pewterseam's decisions: frames, codec, settings and
//! translation, and nothing else.

pub mod codec;
pub mod instances;
pub mod settings;
pub mod time;
