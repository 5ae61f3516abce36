//! Makes a day small that still breaks a rule: fewer faults, shorter, fewer relays, a shorter day, a smaller
//! load.

use super::breaches;
use crate::judge::Breach;
use crate::plan::{Plan, What};
use crate::sim::Variant;

/// A change may move all that is drawn; so many seeds beside its own are tried for it.
const OTHER_SEEDS: u64 = 2;
/// Shortest fault and day that are tried (s), and the smallest load (messages a second).
const LEAST_FAULT_S: f64 = 0.1;
const LEAST_DAY_S: f64 = 1.0;
const LEAST_LOAD: f64 = 0.5;

/// A day that was made small.
#[derive(Clone, Debug)]
pub struct Shrunk {
    pub plan: Plan,
    /// How it breaks the rule.
    pub breach: Breach,
    /// Days that were played for it.
    pub tries: usize,
}

/// The smallest day found within so many tries that breaks the rule; none where `plan` does not break it.
pub fn shrink(plan: &Plan, rule: &str, most_tries: usize, variant: &dyn Variant) -> Option<Shrunk> {
    let mut tries = 0;
    let mut breaks = |plan: &Plan| {
        tries += 1;
        breaches(plan, variant).into_iter().find(|breach| breach.rule == rule)
    };
    let mut best = (plan.clone(), breaks(plan)?);
    let mut left = most_tries;
    'smaller: loop {
        for candidate in smaller(&best.0, best.1.at as f64 / 1e6) {
            for other in 0..=OTHER_SEEDS {
                if left == 0 {
                    break 'smaller;
                }
                left -= 1;
                let candidate = Plan { seed: candidate.seed + other, ..candidate.clone() };
                if let Some(breach) = breaks(&candidate) {
                    best = (candidate, breach);
                    continue 'smaller;
                }
            }
        }
        break;
    }
    let (plan, breach) = best;
    Some(Shrunk { plan, breach, tries })
}

fn with(plan: &Plan, change: impl FnOnce(&mut Plan)) -> Plan {
    let mut changed = plan.clone();
    change(&mut changed);
    changed
}

/// Days that are smaller by one step, the largest steps first. The rule was broken `at` so many seconds.
fn smaller(plan: &Plan, at: f64) -> Vec<Plan> {
    let mut days = Vec::new();
    let count = plan.faults.len();
    if count > 2 {
        days.push(with(plan, |plan| plan.faults.truncate(count / 2)));
        days.push(with(plan, |plan| drop(plan.faults.drain(..count / 2))));
    }
    days.extend((0..count).map(|place| {
        with(plan, |plan| {
            plan.faults.remove(place);
        })
    }));
    let length = (at.ceil()).max(LEAST_DAY_S);
    for shorter in [plan.length_s / 2.0, length, plan.length_s - 1.0] {
        if shorter >= LEAST_DAY_S && shorter < plan.length_s {
            days.push(with(plan, |plan| plan.length_s = tidy(shorter)));
        }
    }
    for fewer in [plan.fleet.relays / 2, plan.fleet.relays - 1] {
        if fewer > 0 && fewer < plan.fleet.relays {
            days.push(with(plan, |plan| plan.fleet.relays = fewer));
        }
    }
    if plan.destinations.len() > 1 {
        let places = 0..plan.destinations.len();
        days.extend(places.map(|place| {
            with(plan, |plan| {
                plan.destinations.remove(place);
            })
        }));
    }
    if plan.load.classes.len() > 1 {
        let places = 0..plan.load.classes.len();
        days.extend(places.map(|place| {
            with(plan, |plan| {
                plan.load.classes.remove(place);
            })
        }));
    }
    if plan.load.messages_a_second > LEAST_LOAD {
        days.push(with(plan, |plan| plan.load.messages_a_second = tidy(plan.load.messages_a_second / 2.0)));
    }
    for place in 0..plan.destinations.len() {
        if plan.destinations[place].hosts > 1 {
            days.push(with(plan, |plan| plan.destinations[place].hosts /= 2));
        }
        if plan.destinations[place].limit_a_second.is_some() {
            days.push(with(plan, |plan| plan.destinations[place].limit_a_second = None));
        }
    }
    if plan.load.retries > 0 {
        days.push(with(plan, |plan| plan.load.retries = 0));
    }
    if plan.load.keys > 1 {
        days.push(with(plan, |plan| plan.load.keys /= 2));
    }
    if plan.fleet.zones.len() > 1 {
        days.push(with(plan, |plan| {
            plan.fleet.zones.pop();
        }));
    }
    for (place, fault) in plan.faults.iter().enumerate() {
        if fault.length_s > 2.0 * LEAST_FAULT_S {
            days.push(with(plan, |plan| {
                plan.faults[place].length_s = tidy(plan.faults[place].length_s / 2.0);
            }));
        }
        days.extend(plainer(plan, place));
    }
    days
}

/// A link's fault with one trouble less.
fn plainer(plan: &Plan, place: usize) -> Vec<Plan> {
    let What::Link(link) = &plan.faults[place].what else { return Vec::new() };
    let mut days = Vec::new();
    let mut without = |is_set: bool, change: &dyn Fn(&mut crate::plan::Link)| {
        if is_set {
            days.push(with(plan, |plan| {
                if let What::Link(link) = &mut plan.faults[place].what {
                    change(link);
                }
            }));
        }
    };
    without(link.both_ways, &|link| link.both_ways = false);
    without(link.cut, &|link| link.cut = false);
    without(link.drop_part > 0.0, &|link| link.drop_part = 0.0);
    without(link.jitter_ms > 0.0, &|link| link.jitter_ms = 0.0);
    without(link.delay_ms > 0.0, &|link| link.delay_ms = 0.0);
    without(link.duplicate_part > 0.0, &|link| link.duplicate_part = 0.0);
    without(link.reorder_part > 0.0, &|link| link.reorder_part = 0.0);
    without(link.half_open_part > 0.0, &|link| link.half_open_part = 0.0);
    without(link.reset_part > 0.0, &|link| link.reset_part = 0.0);
    without(link.late_part > 0.0, &|link| link.late_part = 0.0);
    without(link.crawl_bytes_a_second.is_some(), &|link| link.crawl_bytes_a_second = None);
    days
}

fn tidy(value: f64) -> f64 {
    (value * 100.0).round().max(1.0) / 100.0
}
