//! A relay's slots, apart for the common lane and the slow ones.

/// Which of them a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    Common,
    Slow,
}

/// Calls that may be out. Neither lane takes the other's: slow calls hold a slot ten times as long, and lent
/// slots would not be back when the common lane needs them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slots {
    most: [usize; 2],
    out: [usize; 2],
}

impl Slots {
    /// Of `all`, `slow_percent` are for the slow lanes, one at the least if there are two.
    pub fn new(all: usize, slow_percent: u8) -> Self {
        let slow = (all * usize::from(slow_percent) / 100).max(1).min(all.saturating_sub(1));
        Slots { most: [all - slow, slow], out: [0, 0] }
    }

    /// Takes a slot if there is one.
    pub fn take(&mut self, lane: Lane) -> bool {
        let free = self.free(lane) > 0;
        self.out[lane as usize] += usize::from(free);
        free
    }

    /// A call of the lane that it was taken for is over, whatever lane its subscriber is in by now.
    pub fn give(&mut self, lane: Lane) {
        debug_assert!(self.out[lane as usize] > 0, "a slot was given back that nobody held");
        self.out[lane as usize] = self.out[lane as usize].saturating_sub(1);
    }

    pub fn free(&self, lane: Lane) -> usize {
        self.most[lane as usize].saturating_sub(self.out[lane as usize])
    }
}
