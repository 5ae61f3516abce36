//! Clients: open-loop load, handed in through a front that deals out relays.

mod connections;
mod front;
mod load;

pub use connections::Relays;
pub use front::Front;
pub use load::Clients;
