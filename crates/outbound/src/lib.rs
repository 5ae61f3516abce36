//! Calls to hosts and to the platform's list, over HTTP/1.1 on a small pool of connections.
//!
//! [`Outbound`] carries out the effects of `pewterseam-delivery` and tells what became of them; [`PlatformList`] those
//! of `pewterseam-discovery`. Both need a tokio runtime; nothing is decided here.

mod answer;
mod attempt;
mod connection;
mod dialer;
mod list;
mod outbound;
mod pool;
mod reading;
mod request;

pub use dialer::{ByteStream, Dialer, Dialing, TcpDialer};
pub use list::{ListEvent, PlatformList, instances};
pub use outbound::{CallNotes, CallTimes, Outbound, OutboundEvent, OutboundSettings};
pub use reading::{Reading, read_as};
pub use request::DeliveryRequest;
