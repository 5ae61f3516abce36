//! What happens when: events in the order of their time, and of being entered where that is the same.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use pewterseam::interface::Micros;

use super::event::Event;

#[derive(Debug)]
struct Entry {
    at: Micros,
    order: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// The earliest is the greatest, as the heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

#[derive(Debug, Default)]
pub(super) struct Calendar {
    heap: BinaryHeap<Entry>,
    entered: u64,
}

impl Calendar {
    pub(super) fn enter(&mut self, at: Micros, event: Event) {
        self.entered += 1;
        self.heap.push(Entry { at, order: self.entered, event });
    }

    pub(super) fn next(&mut self) -> Option<(Micros, Event)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }

    /// Events entered since the day began.
    pub(super) fn entered(&self) -> u64 {
        self.entered
    }
}
