//! A destination's count limit: so many calls in any second.

use std::collections::VecDeque;

use pewterseam::interface::Micros;

/// The span that calls are counted in.
const SPAN: Micros = 1_000_000;

/// Calls that one destination has let through.
#[derive(Clone, Debug)]
pub struct Limit {
    a_second: f64,
    times: f64,
    taken: VecDeque<Micros>,
}

impl Limit {
    pub fn new(a_second: f64) -> Self {
        Limit { a_second, times: 1.0, taken: VecDeque::new() }
    }

    /// The limit is so many times what it was at the start.
    pub fn change(&mut self, times: f64) {
        self.times = times;
    }

    pub fn rate(&self) -> f64 {
        self.a_second * self.times
    }

    /// Calls that fit in the span now, of all that do.
    pub fn left(&mut self, now: Micros) -> f64 {
        while self.taken.front().is_some_and(|taken| taken + SPAN <= now) {
            self.taken.pop_front();
        }
        (1.0 - self.taken.len() as f64 / self.most() as f64).max(0.0)
    }

    /// Lets a call through, or gives how long to wait before one will be.
    pub fn take(&mut self, now: Micros) -> Result<(), Micros> {
        self.left(now);
        let most = self.most();
        if self.taken.len() < most {
            self.taken.push_back(now);
            return Ok(());
        }
        // After a cut of the limit more than one has to leave the span.
        let leaves = self.taken[self.taken.len() - most];
        Err(leaves + SPAN - now)
    }

    fn most(&self) -> usize {
        (self.rate() as usize).max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_more_than_the_limit_in_any_second_and_the_wait_told_is_true() {
        let mut limit = Limit::new(3.0);
        assert_eq!([0, 10, 20].map(|now| limit.take(now)), [Ok(()); 3]);
        assert_eq!(limit.take(400_000), Err(600_000));
        assert_eq!(limit.take(999_999), Err(1));
        assert_eq!(limit.take(1_000_000), Ok(()));
        limit.change(1.0 / 3.0);
        let wait = limit.take(1_000_000).expect_err("one a second now");
        assert_eq!(limit.take(1_000_000 + wait), Ok(()));
    }
}
