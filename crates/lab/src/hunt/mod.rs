//! The hunt: draws days, plays them in simulated time, judges them, and makes what it finds small.

mod command;
mod draw;
mod shrink;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::judge::{Breach, Figures, Judge};
use crate::plan::Plan;
use crate::sim::{self, Variant};

pub use command::{HuntArgs, HuntFault, HuntReport, hunt_command, keep};
pub use draw::day;
pub use shrink::{Shrunk, shrink};

/// The bounds of a hunt.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Seeds from the first up to, but not, the last.
    pub seeds: (u64, u64),
    /// It draws no further day after so long.
    pub time: Duration,
    /// Days that are played side by side.
    pub threads: usize,
    /// Days that a shrinking may play for one find.
    pub tries: usize,
    /// Finds of one rule that are made small; further ones are counted.
    pub per_rule: usize,
}

/// A day on which a rule was broken, made small.
#[derive(Clone, Debug, PartialEq)]
pub struct Find {
    pub rule: &'static str,
    /// The seed of the day as it was drawn.
    pub seed: u64,
    pub plan: Plan,
    /// The first breach of the small day, with its story.
    pub breach: Breach,
    /// Days played to make it small.
    pub tries: usize,
}

/// What a hunt found.
#[derive(Clone, Debug, Default)]
pub struct Bag {
    pub days: u64,
    /// Days on which each rule was broken.
    pub broken: BTreeMap<&'static str, u64>,
    /// In the order of rules and seeds.
    pub finds: Vec<Find>,
}

/// The first breach of each rule on a plan's day; none where it can't be played.
pub fn breaches(plan: &Plan, variant: &dyn Variant) -> Vec<Breach> {
    let Ok(played) = sim::play(plan, variant) else { return Vec::new() };
    let verdict = Judge::new(Figures::exact()).judge(plan, &played.story);
    let mut first: BTreeMap<&'static str, Breach> = BTreeMap::new();
    for breach in verdict.breaches {
        first.entry(breach.rule).or_insert(breach);
    }
    first.into_values().collect()
}

/// Draws and plays days side by side, then makes small what was found. The finds are the same for the same
/// seeds, however many days are played at once, unless the time runs out.
pub fn hunt(bounds: Bounds, base: Option<&Plan>, variant: &dyn Variant) -> Bag {
    let (start, next, days) = (Instant::now(), AtomicU64::new(bounds.seeds.0), AtomicU64::new(0));
    let found: Mutex<Vec<(&'static str, u64, Plan)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..bounds.threads.max(1) {
            scope.spawn(|| {
                while start.elapsed() < bounds.time {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= bounds.seeds.1 {
                        return;
                    }
                    let plan = draw::day(seed, base);
                    days.fetch_add(1, Ordering::Relaxed);
                    let broken = breaches(&plan, variant).into_iter().map(|breach| breach.rule);
                    let mut found = found.lock().unwrap_or_else(PoisonError::into_inner);
                    found.extend(broken.map(|rule| (rule, seed, plan.clone())));
                }
            });
        }
    });
    let mut found = found.into_inner().unwrap_or_else(PoisonError::into_inner);
    found.sort_by_key(|(rule, seed, _)| (*rule, *seed));
    let mut bag = Bag { days: days.into_inner(), ..Bag::default() };
    let mut wanted = Vec::new();
    for (rule, seed, plan) in found {
        let count = bag.broken.entry(rule).or_default();
        *count += 1;
        if *count <= bounds.per_rule as u64 {
            wanted.push((rule, seed, plan));
        }
    }
    bag.finds = make_small(wanted, bounds, variant);
    bag
}

fn make_small(wanted: Vec<(&'static str, u64, Plan)>, bounds: Bounds, variant: &dyn Variant) -> Vec<Find> {
    let (next, finds) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..bounds.threads.max(1) {
            scope.spawn(|| {
                while let Some((rule, seed, plan)) = wanted.get(next.fetch_add(1, Ordering::Relaxed) as usize)
                {
                    let Some(Shrunk { plan, breach, tries }) = shrink(plan, rule, bounds.tries, variant)
                    else {
                        continue;
                    };
                    let find = Find { rule, seed: *seed, plan, breach, tries };
                    finds.lock().unwrap_or_else(PoisonError::into_inner).push(find);
                }
            });
        }
    });
    let mut finds = finds.into_inner().unwrap_or_else(PoisonError::into_inner);
    finds.sort_by_key(|find| (find.rule, find.seed));
    finds
}
