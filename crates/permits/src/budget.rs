//! How many permits may be handed out, so that no window sees more requests than the limit.

use std::collections::{BTreeMap, HashMap};

use pewterseam_wire::Micros;

use crate::event::PermitCounts;
use crate::rate::{STEP, permits_in, rounded_up};
use crate::recent::RecentGrants;
use crate::{MARGIN, VALIDITY};

/// Requests beyond rate x window x overshoot that the home allows in a window; the rule allows five.
const ALLOWANCE: f64 = 3.0;
/// Steps of time in which one home tells the next of its permits.
const LEDGER_STEP: Micros = 100_000;
/// Time between looks for grants that were never settled.
const SWEEP: Micros = 1_000_000;
/// Permits saved up while nobody asks, in seconds of the rate, and the least of them.
const BURST_S: f64 = 0.1;
const LEAST_BURST: f64 = 2.0;

/// The permits of one service that may count in a window that has not ended.
#[derive(Debug)]
pub(crate) struct Budget {
    rate: f64,
    window: Micros,
    capacity: u32,
    /// Until when how many permits may count in a window.
    releases: BTreeMap<Micros, u32>,
    occupied: u32,
    /// Grants that may still be used.
    open: HashMap<u64, OpenGrant>,
    recent: RecentGrants,
    tokens: f64,
    filled_at: Micros,
    swept_at: Micros,
}

/// A grant of which something may be left.
#[derive(Clone, Copy, Debug)]
struct OpenGrant {
    granted_at: Micros,
    /// Where in `releases` its permits stand.
    until: Micros,
    count: u32,
}

impl Budget {
    pub(crate) fn new(rate: f64, window: Micros, overshoot: f64, now: Micros) -> Self {
        let capacity = (permits_in(rate, window) * overshoot + ALLOWANCE).floor() as u32;
        let (releases, open) = (BTreeMap::new(), HashMap::new());
        Budget {
            rate,
            window,
            capacity,
            releases,
            occupied: 0,
            open,
            recent: RecentGrants::following(rate, 0.0, now),
            tokens: 1.0,
            filled_at: now,
            swept_at: now,
        }
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_S).max(LEAST_BURST)
    }

    /// By how much the grants of a home may exceed the rate, those that came back unused left out.
    ///
    /// Danger: the next home books this much where nobody can tell it more, and grants a burst and the rate from its first
    /// moment on. Both together must stay below the capacity.
    fn most_excess(&self) -> f64 {
        let paced = permits_in(self.rate, self.window);
        (f64::from(self.capacity) - paced - self.burst()).max(self.burst())
    }

    /// Books what an earlier home may have granted: all that its excess and the rate let it, the last of it used at
    /// `until`.
    ///
    /// A permit is used within [`VALIDITY`] and [`MARGIN`] of its grant. So those that are used in the last span before
    /// `until` were granted in the last span of the same length before the earlier home ended.
    pub(crate) fn assume_predecessor(&mut self, until: Micros) {
        let steps = self.window / STEP;
        let most_excess = self.most_excess();
        let mut booked = 0.0;
        for step in 0..=steps {
            let before = most_excess + permits_in(self.rate, step * STEP);
            let count = (before - booked).ceil().max(0.0);
            booked += count;
            let used_by = until.saturating_sub(step.saturating_sub(1) * STEP);
            self.occupy(used_by + self.window, count as u32);
        }
        let granted_until = until.saturating_sub(VALIDITY + MARGIN);
        self.recent = RecentGrants::following(self.rate, most_excess, granted_until);
    }

    /// For how many milliseconds more how many permits may count in a window.
    pub(crate) fn ledger(&self, now: Micros) -> Vec<(u32, u32)> {
        let mut ledger: Vec<(u32, u32)> = Vec::new();
        for (until, count) in &self.releases {
            let left = until.saturating_sub(now).div_ceil(LEDGER_STEP) * LEDGER_STEP / 1000;
            match ledger.last_mut().filter(|(last, _)| u64::from(*last) == left) {
                Some((_, booked)) => *booked += count,
                None => ledger.push((left as u32, *count)),
            }
        }
        ledger
    }

    /// Books what an earlier home told of its permits, in place of what it may have granted.
    pub(crate) fn take_over(&mut self, ledger: &[(u32, u32)], now: Micros) {
        self.releases.clear();
        self.open.clear();
        self.occupied = 0;
        for (left, count) in ledger {
            self.occupy(now + u64::from(*left) * 1000, *count);
        }
        let counted_for = self.window + MARGIN;
        let granted_by = |until: &Micros| until.saturating_sub(counted_for).min(now);
        let granted = self.releases.iter().map(|(until, count)| (granted_by(until), *count));
        self.recent = RecentGrants::following_all(self.rate, granted, self.most_excess());
    }

    fn occupy(&mut self, until: Micros, count: u32) -> Micros {
        let until = rounded_up(until);
        let booked = self.releases.entry(until).or_default();
        *booked = booked.saturating_add(count);
        self.occupied = self.occupied.saturating_add(count);
        until
    }

    fn release(&mut self, until: Micros, count: u32) {
        if let Some(booked) = self.releases.get_mut(&until) {
            let count = count.min(*booked);
            *booked -= count;
            self.occupied = self.occupied.saturating_sub(count);
        }
    }

    /// Forgets what no window can hold any more, and counts the pace.
    pub(crate) fn advance(&mut self, now: Micros) {
        while let Some(entry) = self.releases.first_entry().filter(|entry| *entry.key() <= now) {
            self.occupied = self.occupied.saturating_sub(entry.remove());
        }
        if now >= self.swept_at + SWEEP {
            self.swept_at = now;
            self.open.retain(|_, grant| grant.until > now);
        }
        self.recent.advance(now);
        let gained = permits_in(self.rate, now.saturating_sub(self.filled_at));
        self.tokens = (self.tokens + gained).min(self.burst());
        self.filled_at = now;
    }

    /// What is to be told of it.
    pub(crate) fn counts(&self, now: Micros) -> PermitCounts {
        PermitCounts { booked: self.occupied, capacity: self.capacity, out: self.recent.out(now) }
    }

    /// Permits that the pace and the excess leave; less than none where the excess is used up.
    fn paced(&self, now: Micros) -> f64 {
        self.tokens.min(self.most_excess() - self.recent.excess(now))
    }

    /// Permits that may be handed out at the time of the last [`Budget::advance`].
    pub(crate) fn available(&self) -> u32 {
        (self.paced(self.filled_at) as u32).min(self.capacity.saturating_sub(self.occupied))
    }

    /// When one more may be handed out, if none may now.
    pub(crate) fn next_at(&self, now: Micros) -> Micros {
        let missing = 1.0 - self.paced(now);
        let paced = (missing.max(0.0) / self.rate.max(1e-3) * 1e6) as Micros;
        let free = self.occupied < self.capacity;
        let room = if free { now } else { *self.releases.keys().next().unwrap_or(&now) };
        (now + paced).max(room)
    }

    /// Books a grant; its permits count from now on.
    pub(crate) fn grant(&mut self, number: u64, count: u32, now: Micros) {
        self.tokens -= f64::from(count);
        let until = self.occupy(now + VALIDITY + MARGIN + self.window + MARGIN, count);
        self.open.insert(number, OpenGrant { granted_at: now, until, count });
        self.recent.grant(count, now);
    }

    /// Books that nothing of a grant is left, and that so many of its permits were used up to now.
    pub(crate) fn settle(&mut self, number: u64, used: u32, now: Micros) {
        let Some(OpenGrant { granted_at, until, count }) = self.open.remove(&number) else { return };
        let used = used.min(count);
        self.release(until, count);
        self.recent.give_back(count - used, granted_at);
        self.tokens = (self.tokens + f64::from(count - used)).min(self.burst());
        if used > 0 {
            self.occupy(now + self.window + MARGIN, used);
        }
    }
}
