//! Which answers on the connection of a call end it.

/// What an answer on the connection of a call means to the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// It is the answer to the message that is out.
    Own,
    /// It is to another message, or to none. The call goes on: the own answer may stand right behind it.
    PassedOver,
}

/// Reads an answer by the id that it carries. Every answer carries the `X-Request-Id` of its message.
pub fn read_as(told: Option<&str>, request_id: &str) -> Reading {
    if told == Some(request_id) { Reading::Own } else { Reading::PassedOver }
}
