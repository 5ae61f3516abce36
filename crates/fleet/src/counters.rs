//! What is counted, for `/status` and its metrics.

use serde::Serialize;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Datagrams and their bytes, both ways.
    pub datagrams_out: u64,
    pub datagram_bytes_out: u64,
    pub datagrams_in: u64,
    /// Datagrams that were refused: not by the fleet's key; malformed or of another format; heard before;
    /// of a process that was followed by another.
    pub datagrams_of_strangers: u64,
    pub datagrams_malformed: u64,
    pub datagrams_replayed: u64,
    pub datagrams_older: u64,
    /// Datagrams that were too long to be sent, or gossip that made no sense. Never anything but 0.
    pub datagrams_confused: u64,
    pub calls_out: u64,
    pub call_bytes_out: u64,
    pub calls_unanswered: u64,
    pub calls_in: u64,
    pub calls_of_strangers: u64,
    pub calls_malformed: u64,
    pub calls_replayed: u64,
    pub calls_not_understood: u64,
    /// Members that were declared dead, and those of them that came back as the same process: false alarms,
    /// or stalls.
    pub deaths: u64,
    pub back_as_same: u64,
    /// Stalls of this process.
    pub stalls: u64,
    /// Decisions that came into force here, and answers that told older ones than those that were known.
    pub decisions: u64,
    pub older_epochs: u64,
    /// Proposals of this member: decided, refused.
    pub proposals_decided: u64,
    pub proposals_refused: u64,
    /// Records that could not be written.
    pub writes_failed: u64,
    /// Messages between voters that were refused: of another life, or against what was promised.
    pub voter_messages_refused: u64,
    /// Seats found lost: the folder was lost or an old one.
    pub seats_lost: u64,
    /// Invariants that did not hold. Never anything but 0.
    pub broken: u64,
}
