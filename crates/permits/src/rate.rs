//! Conversion of rates to permits, and the time resolution of permit records.

use pewterseam_wire::Micros;

/// Grant and expiry times are rounded up to a multiple of this.
pub(crate) const STEP: Micros = 10_000;

/// Rounds a time up to the next multiple of [`STEP`].
pub(crate) fn rounded_up(at: Micros) -> Micros {
    at.div_ceil(STEP) * STEP
}

/// Number of permits that a rate yields in a time span.
pub(crate) fn permits_in(rate_per_s: f64, span: Micros) -> f64 {
    rate_per_s * span as f64 / 1e6
}
