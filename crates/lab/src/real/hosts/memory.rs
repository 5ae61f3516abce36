//! What a destination remembers of guarded messages, so as to drop repeats.

use std::collections::HashMap;

use pewterseam::interface::Micros;

/// Idempotency keys that have run, by the zone whose hosts share the memory; none where all share it.
#[derive(Debug, Default)]
pub struct Memory {
    until: HashMap<(Option<usize>, String), Micros>,
}

impl Memory {
    /// Whether this is the first for its key within the window, which then counts from now.
    pub fn is_first(&mut self, now: Micros, zone: Option<usize>, key: &str, window: Micros) -> bool {
        let until = self.until.entry((zone, key.to_owned())).or_default();
        let first = *until <= now;
        if first {
            *until = now + window;
        }
        first
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn repeats_are_dropped_within_the_window_and_zone_alone() {
        let mut memory = Memory::default();
        assert!(memory.is_first(0, Some(1), "k", 1000));
        assert!(!memory.is_first(999, Some(1), "k", 1000));
        assert!(memory.is_first(999, Some(2), "k", 1000));
        assert!(memory.is_first(999, None, "k", 1000));
        assert!(memory.is_first(1000, Some(1), "k", 1000));
    }
}
