//! Hollow relays: the real machines of membership, control, discovery and delivery, thousands of them in one process
//! over a simulated network, without traffic. They show what grows with the number of relays.
//!
//! Messages are encoded and decoded as on sockets, so that their bytes count; the time inside the machines is measured.
//! What sockets, the kernel and the message log cost is not in the figures.

pub mod experiments;
pub mod member;
pub mod memory;
pub mod network;
pub mod site;
pub mod usage;
