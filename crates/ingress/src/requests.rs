//! What the door asks of the rest of the relay.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_queue::{Answer, NewMessage};
use pewterseam_wire::record::RouteKey;
use tokio::sync::oneshot;

/// A client's request, with the channel for its answer.
#[derive(Debug)]
pub enum FrontRequest {
    /// The token is set by the receiver.
    Message {
        new: NewMessage,
        reply: oneshot::Sender<Answer>,
    },
    Status {
        name: Arc<str>,
        reply: oneshot::Sender<StatusAnswer>,
    },
    Body {
        name: Arc<str>,
        reply: oneshot::Sender<BodyAnswer>,
    },
}

/// What is known of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusAnswer {
    Pending,
    Completed {
        signature: Arc<str>,
    },
    DeadLetter,
    Unknown,
    /// Too few stores answered.
    Unavailable,
}

/// The bytes of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyAnswer {
    Found(Bytes),
    Unknown,
    Unavailable,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// No configuration is known yet.
    NotConfigured,
    NoRoute,
    Route(RequestRoute),
}

/// What the configuration says of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRoute {
    pub name: Arc<str>,
    pub key: RouteKey,
    /// Its ordering key counts.
    pub is_ordered: bool,
    pub most_body_bytes: usize,
}

/// Becomes true once a configuration is known.
pub type Configured = tokio::sync::watch::Receiver<bool>;

/// Finds the route of a host and a path in the configuration in force.
pub type Router = Rc<dyn Fn(&str, &str) -> RouteChoice>;
