//! Delivery of due messages to hosts by one relay.
//!
//! [`Delivery`] drives [`pewterseam::Brain`], which decides which message is sent to which host: it maps the numbers used
//! by the brain to services and hosts, offers it the messages that may be sent, hides hosts that are not available, and
//! reports the outcome of each message to its owner. It does no I/O; `pewterseam-outbound` makes the calls.

mod attempts;
mod backoff;
mod classification;
mod connections;
mod delivery;
mod hosts;
mod interface;
mod messages;
mod numbering;
mod peers;
mod services;
mod settings;
mod spread;

pub use delivery::Delivery;
pub use interface::*;
pub use settings::DeliverySettings;
