//! What a message's effect allows once one of its attempts may have run.

use super::{Host, Message, State};
use crate::interface::{Class, Effect, Group, Micros};

impl State {
    /// Whether a message may be refused: it can safely be submitted again, whatever happened to its attempts.
    pub fn can_refuse(message: &Message, class: &Class, now: Micros) -> bool {
        let ran = message.ran.is_some() || message.in_flight.is_some();
        match class.effect {
            Effect::Free => true,
            Effect::Guarded { group, .. } => {
                !ran || (group == Group::All && !State::is_window_over(message, class, now))
            }
            Effect::SingleShot => !ran,
        }
    }

    /// Whether a message may go to a host without taking effect twice: hosts that drop repeats only within
    /// their own zone would run it again in another.
    pub fn is_safe_at(message: &Message, class: &Class, host: &Host) -> bool {
        !class.is_zoned() || message.ran.is_none_or(|ran| ran.zone == Some(host.zone))
    }

    /// Whether the deduplication window of a guarded message that may have run is over at `at`. A call in
    /// flight counts: it may have run long ago, and a message refused after its window would run twice when
    /// it is submitted again.
    pub fn is_window_over(message: &Message, class: &Class, at: Micros) -> bool {
        let ran = message.ran.map(|ran| ran.at).or(message.in_flight.map(|out| out.sent_at));
        match class.effect {
            Effect::Guarded { window, .. } => ran.is_some_and(|ran| at >= ran + window),
            _ => false,
        }
    }

    /// The time by which a call must end: the message's deadline, or the end of its deduplication window.
    pub fn call_deadline(message: &Message, class: &Class) -> Micros {
        let deadline = message.request.deadline;
        match class.effect {
            Effect::Guarded { window, .. } => {
                message.ran.map_or(deadline, |ran| deadline.min(ran.at + window))
            }
            _ => deadline,
        }
    }
}
