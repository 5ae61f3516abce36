//! Notices to the platform: the ends of messages that were taken on and not delivered.

use pewterseam_durable::message::End;

/// The end of a message, to be told until it is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    pub number: u64,
    pub id: String,
    pub end: End,
}
