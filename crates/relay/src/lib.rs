//! The relay on sockets: one reducer around the decisions, and a module for each peer it speaks to.
//!
//! `docs/relay.md` tells how the parts fit.

pub mod agent;
pub mod clients;
pub mod clock;
pub mod config;
pub mod discovery;
pub mod fleet_log;
pub mod forming;
pub mod hosts;
pub mod inputs;
pub mod intake;
pub mod journal;
pub mod learnt;
pub mod limits;
pub mod maintenance;
pub mod members;
pub mod notices;
pub mod ops;
pub mod peers;
pub mod ring;
pub mod serve;
pub mod sockets;
pub mod unread;
pub mod unusable;
