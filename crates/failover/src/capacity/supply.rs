//! What the hosts of a zone can bear.

/// A cold zone may be given this multiple of the most that it served lately, so that what it is given grows.
const WARMING: f64 = 2.0;

/// What is known of the hosts of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Supply {
    /// Calls a second that they take together, as far as is known.
    pub limit: f64,
    /// Highest rate that they served lately.
    pub peak: f64,
    /// Part of the limit that they can bear now, from 0 to 1: less than 1 where some of them are out.
    pub bears: f64,
}

/// The limit in the design's order: told in answers, listed, else the highest rate that was served.
pub fn limit(told: Option<f64>, listed: Option<f64>, peak: f64) -> f64 {
    told.or(listed).filter(|rate| rate.is_finite() && *rate > 0.0).unwrap_or(peak)
}

/// Calls a second that other zones' callers may add to what the zone's own callers need. A zone that served
/// little lately is cold: it has `cold_share` of its limit at the least, and what is beyond has to grow.
pub fn room(supply: &Supply, near: f64, headroom: f64, cold_share: f64) -> f64 {
    let whole = supply.limit * supply.bears;
    let warm = if supply.peak >= cold_share * supply.limit {
        whole
    } else {
        whole.min((cold_share * supply.limit).max(WARMING * supply.peak))
    };
    (headroom * warm - near).max(0.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Danger: a zone that stood idle is given all of its limit at once and falls over.
    #[test]
    fn a_cold_zone_is_given_its_cold_pool_first() {
        let idle = Supply { limit: 100.0, peak: 0.0, bears: 1.0 };
        assert_eq!(room(&idle, 0.0, 0.9, 0.25), 22.5);
        let warmer = Supply { peak: 20.0, ..idle };
        assert_eq!(room(&warmer, 0.0, 0.9, 0.25), 36.0);
        let warm = Supply { peak: 60.0, ..idle };
        assert!((room(&warm, 60.0, 0.9, 0.25) - 30.0).abs() < 1e-9);
        assert_eq!(room(&warm, 95.0, 0.9, 0.25), 0.0);
    }
}
