//! The relay on sockets: one reducer around the decisions, and a module for each peer it speaks to.
//!
//! `docs/relay.md` tells how the parts fit.

pub mod clients;
pub mod clock;
pub mod config;
pub mod counters;
pub mod discovery;
pub mod hosts;
pub mod http;
pub mod journal;
pub mod message;
pub mod notices;
pub mod peers;
pub mod reducer;
pub mod serve;
