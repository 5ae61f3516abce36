//! Times at which the next periodic work is due.

use crate::interface::Micros;

/// Times at which the next periodic work is due.
#[derive(Debug, Default)]
pub struct Timers {
    /// End of the round, next check of the held messages, next requested timer.
    pub round_at: Micros,
    pub check_at: Micros,
    pub wake_at: Micros,
    /// When the registry is asked next, and the last backoff before that.
    pub ask_at: Option<Micros>,
    pub ask_pause: Micros,
}

impl Timers {
    /// Returns the next timer to request, unless it is already set. No check is due while no message is held.
    pub fn next_wake(&mut self, holds_nothing: bool, now: Micros) -> Option<Micros> {
        let look = if holds_nothing { Micros::MAX } else { self.check_at };
        let next = look.min(self.round_at).min(self.ask_at.unwrap_or(Micros::MAX)).max(now + 1);
        let sets = self.wake_at <= now || next < self.wake_at;
        self.wake_at = if sets { next } else { self.wake_at };
        sets.then_some(next)
    }
}
