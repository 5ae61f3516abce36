//! What a host can do: so many answers a second, fewer while it is cold.

use pewterseam::interface::Micros;

/// Calls wait in line for so long at most; beyond that they are turned away.
const MOST_IN_LINE: Micros = 1_000_000;

/// The line of one host.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Answers a second when warm.
    full: f64,
    cold_share: f64,
    cold: Micros,
    /// Since when it is back from an outage; none where there was none.
    back_at: Option<Micros>,
    /// When the next call of the line can begin.
    next: Micros,
}

/// A call was turned away: the line is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineFull;

impl Capacity {
    pub fn new(full: f64, cold_share: f64, cold: Micros) -> Self {
        Capacity { full, cold_share: cold_share.clamp(0.0, 1.0), cold, back_at: None, next: 0 }
    }

    /// It is back from an outage, with nobody in line.
    pub fn back(&mut self, now: Micros) {
        self.back_at = Some(now);
        self.next = now;
    }

    pub fn is_cold(&self, now: Micros) -> bool {
        self.back_at.is_some_and(|back| now < back + self.cold)
    }

    /// Answers a second at a time when each call takes `slow` times as long.
    pub fn rate(&self, now: Micros, slow: f64) -> f64 {
        let warm = match self.back_at {
            Some(back) if self.is_cold(now) => {
                let part = (now - back) as f64 / self.cold as f64;
                self.cold_share + (1.0 - self.cold_share) * part
            }
            _ => 1.0,
        };
        self.full * warm / slow.max(1.0)
    }

    /// Takes a call into the line; gives when it begins.
    pub fn admit(&mut self, now: Micros, slow: f64) -> Result<Micros, LineFull> {
        let begins = self.next.max(now);
        if begins - now > MOST_IN_LINE {
            return Err(LineFull);
        }
        let apart = 1e6 / self.rate(now, slow).max(1e-3);
        self.next = begins + apart as Micros;
        Ok(begins)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_moves_at_its_rate_and_is_full_after_a_second() {
        let mut capacity = Capacity::new(10.0, 0.25, 8_000_000);
        let begins: Vec<_> = (0..12).map(|_| capacity.admit(500, 1.0)).collect();
        assert_eq!(begins[..3], [Ok(500), Ok(100_500), Ok(200_500)]);
        assert_eq!((begins[10], begins[11]), (Ok(1_000_500), Err(LineFull)));
        assert_eq!(capacity.admit(1_100_500, 1.0), Ok(1_100_500));
    }

    #[test]
    fn a_host_that_is_back_is_cold_and_warms_up() {
        let mut capacity = Capacity::new(40.0, 0.25, 8_000_000);
        assert_eq!(capacity.rate(0, 1.0), 40.0);
        capacity.back(1_000_000);
        assert_eq!(capacity.rate(1_000_000, 1.0), 10.0);
        assert_eq!(capacity.rate(5_000_000, 1.0), 25.0);
        assert_eq!(capacity.rate(9_000_000, 1.0), 40.0);
        assert_eq!(capacity.rate(9_000_000, 10.0), 4.0);
    }
}
