//! Differences between two variants on the same days, with the intervals in which the mean lies.

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

use super::figures::Figures;

/// The part of intervals that hold the mean.
const CONFIDENCE: f64 = 0.95;

/// One figure of a variant against another's, day by day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    pub variant: &'static str,
    pub against: &'static str,
    pub figure: &'static str,
    pub days: usize,
    /// Mean of variant less the other, and the interval by Student's t; none for fewer than two days.
    pub mean: f64,
    pub low: Option<f64>,
    pub high: Option<f64>,
}

/// Figures that are compared.
type Figure = (&'static str, fn(&Figures) -> f64);
const COMPARED: [Figure; 6] = [
    ("served_part", |figures| figures.served_part),
    ("p50_ms", |figures| figures.p50_ms),
    ("p99_ms", |figures| figures.p99_ms),
    ("calls", |figures| figures.calls as f64),
    ("refused_calls", |figures| figures.refused_calls as f64),
    ("breaches", |figures| figures.breaches as f64),
];

/// Each variant against the first one. `rows` has the same seeds for each.
pub fn differences(rows: &[Figures]) -> Vec<Difference> {
    let Some(against) = rows.first().map(|row| row.variant) else { return Vec::new() };
    let mut variants: Vec<&'static str> = rows.iter().map(|row| row.variant).collect();
    variants.dedup();
    let of = |variant: &'static str| rows.iter().filter(move |row| row.variant == variant);
    let mut differences = Vec::new();
    for variant in variants.into_iter().filter(|variant| *variant != against) {
        for (figure, read) in COMPARED {
            let pairs = of(variant).zip(of(against)).filter(|(one, other)| one.seed == other.seed);
            let each: Vec<f64> = pairs.map(|(one, other)| read(one) - read(other)).collect();
            let (mean, interval) = mean(&each);
            let (low, high) = (interval.map(|half| mean - half), interval.map(|half| mean + half));
            differences.push(Difference { variant, against, figure, days: each.len(), mean, low, high });
        }
    }
    differences
}

/// The mean, and half of the interval in which it lies.
fn mean(values: &[f64]) -> (f64, Option<f64>) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count.max(1.0);
    if values.len() < 2 {
        return (mean, None);
    }
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
    let student = StudentsT::new(0.0, 1.0, count - 1.0).ok();
    let quantile = student.map(|student| student.inverse_cdf(0.5 + CONFIDENCE / 2.0));
    (mean, quantile.map(|quantile| quantile * (variance / count).sqrt()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_interval_is_that_of_the_tables() {
        // Five values of mean 3 and variance 2.5: t of 4 degrees at 0.975 is 2.776.
        let (mean, half) = mean(&[1.0, 2.0, 3.0, 4.0, 5.0]);
        assert!((mean - 3.0).abs() < 1e-12);
        assert!((half.expect("five days") - 2.776 * (2.5f64 / 5.0).sqrt()).abs() < 1e-3);
        assert_eq!(super::mean(&[1.0]), (1.0, None));
    }
}
