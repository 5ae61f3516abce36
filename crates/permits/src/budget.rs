//! Limits how many permits a home grants, so that no window contains more requests than the limit.

use std::collections::{BTreeMap, HashMap};

use pewterseam_wire::Micros;

use crate::event::PermitCounts;
use crate::rate::{STEP, permits_in, rounded_up};
use crate::recent::RecentGrants;
use crate::{MARGIN, VALIDITY};

/// Requests beyond rate x window x overshoot that the home allows in a window. The specified limit allows five.
const EXTRA_PERMITS: f64 = 3.0;
/// Time resolution of the ledger that a home sends to the next one.
const LEDGER_STEP: Micros = 100_000;
/// Interval at which grants that were never settled are removed.
const SWEEP_INTERVAL: Micros = 1_000_000;
/// Size of the token bucket in seconds of the rate, and its minimum in permits.
const BURST_SECONDS: f64 = 0.1;
const MIN_BURST: f64 = 2.0;

/// Token bucket and window accounting for the permits that one home grants for one service.
#[derive(Debug)]
pub(crate) struct Budget {
    rate: f64,
    window: Micros,
    capacity: u32,
    /// Number of permits that may count in a window, by the time until which they may.
    booked_until: BTreeMap<Micros, u32>,
    occupied: u32,
    /// Grants that are not settled yet, by number.
    open: HashMap<u64, OpenGrant>,
    recent: RecentGrants,
    tokens: f64,
    filled_at: Micros,
    swept_at: Micros,
}

/// A grant that may still have unused permits.
#[derive(Clone, Copy, Debug)]
struct OpenGrant {
    granted_at: Micros,
    /// Key of its permits in `booked_until`.
    until: Micros,
    count: u32,
}

impl Budget {
    pub(crate) fn new(rate: f64, window: Micros, overshoot: f64, now: Micros) -> Self {
        let capacity = (permits_in(rate, window) * overshoot + EXTRA_PERMITS).floor() as u32;
        let (booked_until, open) = (BTreeMap::new(), HashMap::new());
        Budget {
            rate,
            window,
            capacity,
            booked_until,
            occupied: 0,
            open,
            recent: RecentGrants::with_excess(rate, 0.0, now),
            tokens: 1.0,
            filled_at: now,
            swept_at: now,
        }
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_SECONDS).max(MIN_BURST)
    }

    /// Maximum by which the grants of a home may exceed the rate, not counting permits returned unused.
    ///
    /// A home that receives no ledger books this much for its predecessor, and grants a burst plus the rate from its
    /// start. If both together exceeded the capacity, a window could exceed the limit.
    fn max_excess(&self) -> f64 {
        let paced = permits_in(self.rate, self.window);
        (f64::from(self.capacity) - paced - self.burst()).max(self.burst())
    }

    /// Books the maximum that an earlier home may have granted under its excess and the rate, with the last permit used
    /// at `until`.
    ///
    /// A permit is used within [`VALIDITY`] plus [`MARGIN`] of its grant. Permits used in the last span before `until`
    /// were therefore granted in the last span of the same length before the earlier home ended.
    pub(crate) fn book_assumed_grants(&mut self, until: Micros) {
        let steps = self.window / STEP;
        let max_excess = self.max_excess();
        let mut booked = 0.0;
        for step in 0..=steps {
            let total = max_excess + permits_in(self.rate, step * STEP);
            let count = (total - booked).ceil().max(0.0);
            booked += count;
            let used_by = until.saturating_sub(step.saturating_sub(1) * STEP);
            self.occupy(used_by + self.window, count as u32);
        }
        let granted_until = until.saturating_sub(VALIDITY + MARGIN);
        self.recent = RecentGrants::with_excess(self.rate, max_excess, granted_until);
    }

    /// The booked permits as pairs of remaining milliseconds in which they may count in a window, and their number.
    pub(crate) fn ledger(&self, now: Micros) -> Vec<(u32, u32)> {
        let mut ledger: Vec<(u32, u32)> = Vec::new();
        for (until, count) in &self.booked_until {
            let left = until.saturating_sub(now).div_ceil(LEDGER_STEP) * LEDGER_STEP / 1000;
            match ledger.last_mut().filter(|(last, _)| u64::from(*last) == left) {
                Some((_, booked)) => *booked += count,
                None => ledger.push((left as u32, *count)),
            }
        }
        ledger
    }

    /// Replaces the assumed grants of the earlier home with the ledger that it sent.
    pub(crate) fn load_ledger(&mut self, ledger: &[(u32, u32)], now: Micros) {
        self.booked_until.clear();
        self.open.clear();
        self.occupied = 0;
        for (left, count) in ledger {
            self.occupy(now + u64::from(*left) * 1000, *count);
        }
        let counting_time = self.window + MARGIN;
        let granted_by = |until: &Micros| until.saturating_sub(counting_time).min(now);
        let granted = self.booked_until.iter().map(|(until, count)| (granted_by(until), *count));
        self.recent = RecentGrants::with_ledger(self.rate, granted, self.max_excess());
    }

    fn occupy(&mut self, until: Micros, count: u32) -> Micros {
        let until = rounded_up(until);
        let booked = self.booked_until.entry(until).or_default();
        *booked = booked.saturating_add(count);
        self.occupied = self.occupied.saturating_add(count);
        until
    }

    fn release(&mut self, until: Micros, count: u32) {
        if let Some(booked) = self.booked_until.get_mut(&until) {
            let count = count.min(*booked);
            *booked -= count;
            self.occupied = self.occupied.saturating_sub(count);
        }
    }

    /// Removes permits that no window can contain any more, and refills the tokens.
    pub(crate) fn advance(&mut self, now: Micros) {
        while let Some(entry) = self.booked_until.first_entry().filter(|entry| *entry.key() <= now) {
            self.occupied = self.occupied.saturating_sub(entry.remove());
        }
        if now >= self.swept_at + SWEEP_INTERVAL {
            self.swept_at = now;
            self.open.retain(|_, grant| grant.until > now);
        }
        self.recent.advance(now);
        let gained = permits_in(self.rate, now.saturating_sub(self.filled_at));
        self.tokens = (self.tokens + gained).min(self.burst());
        self.filled_at = now;
    }

    /// The permit counts for the log.
    pub(crate) fn counts(&self, now: Micros) -> PermitCounts {
        PermitCounts {
            booked: self.occupied,
            capacity: self.capacity,
            outstanding: self.recent.outstanding(now),
        }
    }

    /// Permits that the tokens and the maximum excess allow. Negative if the excess is used up.
    fn available_by_rate(&self, now: Micros) -> f64 {
        self.tokens.min(self.max_excess() - self.recent.excess(now))
    }

    /// Permits that may be granted at the time of the last [`Budget::advance`].
    pub(crate) fn available(&self) -> u32 {
        (self.available_by_rate(self.filled_at) as u32).min(self.capacity.saturating_sub(self.occupied))
    }

    /// When the next permit may be granted, if none may be granted now.
    pub(crate) fn next_at(&self, now: Micros) -> Micros {
        let missing = 1.0 - self.available_by_rate(now);
        let paced = (missing.max(0.0) / self.rate.max(1e-3) * 1e6) as Micros;
        let free = self.occupied < self.capacity;
        let room = if free { now } else { *self.booked_until.keys().next().unwrap_or(&now) };
        (now + paced).max(room)
    }

    /// Books a grant. Its permits count from now on.
    pub(crate) fn grant(&mut self, number: u64, count: u32, now: Micros) {
        self.tokens -= f64::from(count);
        let until = self.occupy(now + VALIDITY + MARGIN + self.window + MARGIN, count);
        self.open.insert(number, OpenGrant { granted_at: now, until, count });
        self.recent.grant(count, now);
    }

    /// Closes a grant of which `used` permits were used up to now; the others are returned.
    pub(crate) fn settle(&mut self, number: u64, used: u32, now: Micros) {
        let Some(OpenGrant { granted_at, until, count }) = self.open.remove(&number) else { return };
        let used = used.min(count);
        self.release(until, count);
        self.recent.return_unused(count - used, granted_at);
        self.tokens = (self.tokens + f64::from(count - used)).min(self.burst());
        if used > 0 {
            self.occupy(now + self.window + MARGIN, used);
        }
    }
}
