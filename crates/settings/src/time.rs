//! Seconds on the wire, microseconds inside.

use pewterseam::interface::Micros;

const PER_SECOND: f64 = 1e6;
/// Beyond this many microseconds a float no longer counts them one by one.
const LARGEST: f64 = 9e15;

/// The nearest whole microsecond; none for what is no time.
pub fn micros(seconds: f64) -> Option<Micros> {
    let scaled = seconds * PER_SECOND;
    (scaled.is_finite() && (0.0..LARGEST).contains(&scaled)).then(|| scaled.round() as Micros)
}

/// Seconds that never read back as an earlier microsecond.
pub fn seconds(time: Micros) -> f64 {
    let seconds = time as f64 / PER_SECOND;
    if ((seconds * PER_SECOND).floor() as Micros) < time { seconds.next_up() } else { seconds }
}
