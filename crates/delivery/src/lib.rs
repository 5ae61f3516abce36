//! Delivery of due messages to hosts, as one relay does it.
//!
//! [`Delivery`] drives the decisions of [`pewterseam::Brain`]: it gives names to what the decisions number, hands them
//! the messages that may go, keeps hosts from them that take nothing now, and tells the owner of each message what
//! became of it. It does no I/O; `pewterseam-outbound` makes the calls.

mod attempts;
mod backoff;
mod connections;
mod delivery;
mod hosts;
mod interface;
mod judging;
mod messages;
mod numbering;
mod peers;
mod services;
mod settings;
mod spread;

pub use delivery::Delivery;
pub use interface::*;
pub use settings::DeliverySettings;
