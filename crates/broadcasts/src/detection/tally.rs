//! What one relay saw of its subscribers in a round.

use std::collections::BTreeMap;

use pewterseam::interface::{DestinationId, Micros};

use super::report::{Entry, Told};
use super::slices::SliceId;

/// Subscribers that a relay keeps count of in a round, about 64 bytes each. What comes beyond is left out of
/// this round's report and counted: a sample of a round's calls is enough.
const MOST_SUBSCRIBERS: usize = 32_768;

#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    calls: u32,
    silent: u32,
    turned_away: u32,
    /// Of the logarithms of service times in microseconds.
    sum: f64,
    squares: f64,
    held: Micros,
}

/// How long the oldest part waits for a subscriber.
pub type Waiting = BTreeMap<DestinationId, Micros>;

#[derive(Clone, Debug, Default)]
pub struct Tally {
    sums: BTreeMap<(SliceId, DestinationId), Sums>,
    left_out: u64,
}

impl Tally {
    fn of(&mut self, slice: SliceId, destination: DestinationId) -> Option<&mut Sums> {
        if self.sums.len() >= MOST_SUBSCRIBERS && !self.sums.contains_key(&(slice, destination)) {
            self.left_out += 1;
            return None;
        }
        Some(self.sums.entry((slice, destination)).or_default())
    }

    /// A call ended after `service`, from its last byte to the answer, or to the time-out for a silent one.
    pub fn ended(&mut self, slice: SliceId, destination: DestinationId, service: Micros, silent: bool) {
        let Some(sums) = self.of(slice, destination) else { return };
        let ln = (service.max(1) as f64).ln();
        sums.calls += 1;
        sums.silent += u32::from(silent);
        sums.sum += ln;
        sums.squares += ln * ln;
        sums.held = sums.held.saturating_add(service);
    }

    /// A call was turned away for a limit. It says nothing of how fast the subscriber serves.
    pub fn turned_away(&mut self, slice: SliceId, destination: DestinationId) {
        if let Some(sums) = self.of(slice, destination) {
            sums.turned_away += 1;
        }
    }

    /// The round's entries by slice; the next round begins.
    pub fn take(&mut self, waiting: &Waiting) -> BTreeMap<SliceId, Vec<Entry>> {
        let mut by_slice = BTreeMap::<_, Vec<Entry>>::new();
        for ((slice, destination), sums) in std::mem::take(&mut self.sums) {
            let calls = f64::from(sums.calls.max(1));
            let mean = sums.sum / calls;
            let deviation = (sums.squares / calls - mean * mean).max(0.0).sqrt();
            let short = |count: u32| count.min(u32::from(u16::MAX)) as u16;
            by_slice.entry(slice).or_default().push(Entry {
                destination,
                calls: short(sums.calls),
                silent: short(sums.silent),
                turned_away: short(sums.turned_away),
                service: Told::of_ln(mean),
                deviation: (deviation * 64.0).round().min(255.0) as u8,
                held: Told::of(sums.held),
                lag: Told::of(waiting.get(&destination).copied().unwrap_or(0)),
            });
        }
        by_slice
    }

    /// Calls that no report tells of, for want of room.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }
}
