//! The time as the decisions count it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pewterseam::interface::Micros;

/// Microseconds of Unix time, read once at the start and counted steadily from there, so that times in the
/// journal hold across restarts and never run backwards within one.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { unix: unix.as_micros() as Micros, start: Instant::now() }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    /// The instant of a time of this clock; the start for one before it.
    pub fn instant(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(time.saturating_sub(self.unix))
    }
}
