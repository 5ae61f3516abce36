//! What a rate gives in a span, and the steps in which times of permits are kept.

use pewterseam_wire::Micros;

/// Times of grants and of their ends are rounded up to this.
pub(crate) const STEP: Micros = 10_000;

/// Rounds a time up to the next step.
pub(crate) fn rounded_up(at: Micros) -> Micros {
    at.div_ceil(STEP) * STEP
}

/// Permits that a rate gives in a span.
pub(crate) fn permits_in(rate_per_s: f64, span: Micros) -> f64 {
    rate_per_s * span as f64 / 1e6
}
