//! What was heard already of each member: a guard against replay.

use std::collections::BTreeMap;

use crate::interface::MemberId;

/// Sequences so far below the highest are refused as too old; those within are each taken once. Calls of
/// one member overtake one another on their connections, but hardly by so many.
const WIDTH: u64 = 1024;
const WORDS: usize = (WIDTH / 64) as usize;

#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: u32,
    highest: u64,
    /// A bit for each of the last sequences, by their remainder.
    recent: [u64; WORDS],
}

impl Seen {
    fn first(incarnation: u32, sequence: u64) -> Self {
        let mut seen = Seen { incarnation, highest: sequence, recent: [0; WORDS] };
        seen.mark(sequence);
        seen
    }

    fn mark(&mut self, sequence: u64) {
        self.recent[(sequence % WIDTH / 64) as usize] |= 1 << (sequence % 64);
    }

    fn forget(&mut self, sequence: u64) {
        self.recent[(sequence % WIDTH / 64) as usize] &= !(1 << (sequence % 64));
    }

    fn has(&self, sequence: u64) -> bool {
        self.recent[(sequence % WIDTH / 64) as usize] >> (sequence % 64) & 1 == 1
    }
}

/// Why something that was sealed rightly is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stale {
    /// Seen before, or too old to tell.
    Replayed,
    /// From a process of the member that was followed by another, whose incarnation is told.
    Older(u32),
}

/// Sequences of members. Bounded by the number of places.
#[derive(Clone, Debug, Default)]
pub struct Window(BTreeMap<MemberId, Seen>);

impl Window {
    pub fn take(&mut self, from: MemberId, incarnation: u32, sequence: u64) -> Result<(), Stale> {
        let Some(seen) = self.0.get_mut(&from) else {
            self.0.insert(from, Seen::first(incarnation, sequence));
            return Ok(());
        };
        if incarnation < seen.incarnation {
            return Err(Stale::Older(seen.incarnation));
        }
        if incarnation > seen.incarnation {
            *seen = Seen::first(incarnation, sequence);
            return Ok(());
        }
        if sequence > seen.highest {
            // Bits of sequences that are overwritten by newer ones, once round at the most.
            let skipped = sequence.saturating_sub(WIDTH).max(seen.highest) + 1..sequence;
            skipped.for_each(|skipped| seen.forget(skipped));
            seen.highest = sequence;
        } else if seen.highest - sequence >= WIDTH || seen.has(sequence) {
            return Err(Stale::Replayed);
        }
        seen.mark(sequence);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FROM: MemberId = MemberId(3);

    /// Danger: a recorded message that is sent again would be heeded again.
    #[test]
    fn each_is_taken_once_whatever_the_order_and_an_older_process_is_not() {
        let mut window = Window::default();
        for sequence in [1, 3, 2, 1070] {
            assert_eq!(window.take(FROM, 8, sequence), Ok(()));
            assert_eq!(window.take(FROM, 8, sequence), Err(Stale::Replayed));
        }
        assert_eq!(window.take(FROM, 8, 46), Err(Stale::Replayed));
        assert_eq!(window.take(FROM, 8, 47), Ok(()));
        assert_eq!(window.take(FROM, 9, 1), Ok(()));
        assert_eq!(window.take(FROM, 8, 99), Err(Stale::Older(9)));
    }
}
