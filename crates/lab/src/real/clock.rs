//! The day's own time.

use std::cell::Cell;
use std::time::Duration;

use pewterseam::interface::Micros;
use tokio::time::Instant;

/// Counts from the day's start; whatever happened before has the time 0.
pub struct Clock {
    /// None before the day's start.
    origin: Cell<Option<Instant>>,
}

impl Clock {
    /// A day that has not begun.
    pub fn new() -> Self {
        Clock { origin: Cell::new(None) }
    }

    /// The day starts now.
    pub fn begin(&self) {
        self.origin.set(Some(Instant::now()));
    }

    pub fn now(&self) -> Micros {
        self.of(Instant::now())
    }

    pub fn of(&self, instant: Instant) -> Micros {
        self.origin.get().map_or(0, |origin| instant.saturating_duration_since(origin).as_micros() as Micros)
    }

    pub fn instant(&self, at: Micros) -> Instant {
        self.origin.get().unwrap_or_else(Instant::now) + Duration::from_micros(at)
    }
}

/// Seconds of a plan in microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}
