//! A small generator of pseudo-random numbers (SplitMix64): choices of members need no more.

/// The generator. The same seed gives the same numbers.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// A generator that starts from a seed.
    pub fn new(seed: u64) -> Self {
        Random(seed)
    }

    /// The next number.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    /// Below `limit`; 0 for a limit of 0.
    pub fn below(&mut self, limit: usize) -> usize {
        if limit == 0 { 0 } else { (self.draw() % limit as u64) as usize }
    }

    /// Puts items into a random order.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            items.swap(last, self.below(last + 1));
        }
    }
}
