//! The clocks of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pewterseam_wire::{Micros, WallMicros};

/// Microseconds of a millisecond.
pub const MICROS_A_MILLISECOND: Micros = 1_000;

/// The steady clock, counted from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    start: Instant,
}

/// The steady clock begins at a second, so that points before the start of the process can be written.
const FIRST_MOMENT: Micros = 1_000_000;

impl SteadyClock {
    pub fn start() -> Self {
        SteadyClock { start: Instant::now() }
    }

    pub fn now(&self) -> Micros {
        FIRST_MOMENT + self.start.elapsed().as_micros() as Micros
    }

    /// The moment of a point in time, for timers.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + std::time::Duration::from_micros(at.saturating_sub(FIRST_MOMENT))
    }
}

/// The time of day.
pub fn wall() -> WallMicros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as WallMicros)
}
