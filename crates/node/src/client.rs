//! What clients ask and are answered, whatever protocol they speak.

use bytes::Bytes;
use pewterseam::interface::Micros;
use pewterseam_durable::message::Message;

/// A request that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A message as a client hands it in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The client's id, opaque.
    pub id: String,
    pub class: String,
    pub tenant: String,
    /// The key of its order.
    pub key: Option<String>,
    pub destination: u32,
    /// How long it may take from now.
    pub lifetime: Micros,
    pub idempotency_key: Option<Vec<u8>>,
    pub body: Bytes,
}

impl Offer {
    /// The message that is handed in at `now`.
    pub fn message(self, now: Micros) -> Message {
        let Offer { id, class, tenant, key, destination, lifetime, idempotency_key, body } = self;
        let deadline = now.saturating_add(lifetime);
        Message { id, class, tenant, key, destination, deadline, idempotency_key, body }
    }
}

/// What else a client may ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// Whether messages are taken here.
    Ready,
    Counters,
}

/// The one answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The message is taken on: its end is owed.
    Taken,
    /// One of this id is on hand already, or was delivered, or was given up.
    OnHand,
    Delivered,
    GivenUp,
    /// Not taken; safe to hand in again, after so many milliseconds if above 0.
    Refused {
        after_ms: u64,
    },
    /// Not taken, with no promise about its effect.
    Failed,
    /// Not taken, as the process does not serve yet or any more; a `last` one ends the connection.
    NotReady {
        last: bool,
    },
    /// Not taken, as there is no room for its bytes.
    NoRoom,
    /// Not taken, as it can't be kept.
    NotKept,
    /// Not taken, as it names what the settings don't have.
    Unknown(&'static str),
    /// The answer to [`Question::Ready`].
    Ready(bool),
    /// The answer to [`Question::Counters`], one `name value` a line.
    Counters(String),
    /// The answer to a member's call, as its machine gives it.
    Member {
        status: u16,
        body: Vec<u8>,
    },
    /// A member's call, where no fleet is formed.
    NoFleet,
}

impl Answer {
    /// What was asked can't be done for a reason that lies with who asks.
    pub fn is_fault_of_client(&self) -> bool {
        matches!(self, Answer::Unknown(_) | Answer::GivenUp)
    }
}
