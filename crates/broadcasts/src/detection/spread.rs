//! Median and deviation of a group that a part of it can't move.

/// Of logarithms of service times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    pub quarter: f64,
    pub median: f64,
    pub three_quarters: f64,
    /// Standard deviation as the median distance to the median tells it (times 1.4826, as for a normal one).
    pub deviation: f64,
}

impl Spread {
    /// None of no values.
    pub fn of(values: &[f64]) -> Option<Self> {
        let mut sorted = values.to_vec();
        sorted.sort_unstable_by(f64::total_cmp);
        let median = at(&sorted, 0.5)?;
        let mut distances: Vec<f64> = sorted.iter().map(|value| (value - median).abs()).collect();
        distances.sort_unstable_by(f64::total_cmp);
        Some(Spread {
            quarter: at(&sorted, 0.25)?,
            median,
            three_quarters: at(&sorted, 0.75)?,
            deviation: at(&distances, 0.5)? * 1.4826,
        })
    }

    pub fn quartiles(&self) -> [f64; 3] {
        [self.quarter, self.median, self.three_quarters]
    }
}

fn at(sorted: &[f64], part: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * part).round() as usize).copied()
}

/// The middle one.
pub(super) fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    at(values, 0.5)
}
