//! The six rules, each in a file of its own; those on effects are four.

mod after_end;
mod cold;
mod concurrent;
mod drain;
mod handed_back;
mod lost;
mod order;
mod twice;
mod wait;

use super::rule::Rule;

/// One of each, new to their story.
pub fn all() -> Vec<Box<dyn Rule>> {
    vec![
        Box::new(lost::Lost::default()),
        Box::new(twice::Twice),
        Box::new(handed_back::HandedBack),
        Box::new(concurrent::Concurrent::default()),
        Box::new(after_end::AfterEnd),
        Box::new(drain::Drain::default()),
        Box::new(cold::Cold::default()),
        Box::new(order::Order::default()),
        Box::new(wait::Wait::default()),
    ]
}
