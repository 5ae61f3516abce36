//! The door for clients: messages in, their state and bytes out, over HTTP/1.1.
//!
//! The door reads a request whole, finds its route and hands it on as a [`FrontRequest`]; the answer comes back on a
//! channel. It keeps no state of messages. Everything runs on one thread, in a `tokio::task::LocalSet`.

mod answers;
mod front;
mod message;
mod requests;
mod stop;

pub use front::{Front, FrontError, FrontSettings};
pub use requests::{BodyAnswer, Configured, FrontRequest, RequestRoute, RouteChoice, Router, StatusAnswer};
pub use stop::{Phase, Stopper};
