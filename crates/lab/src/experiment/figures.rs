//! What a day came to.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use pewterseam::interface::Micros;
use serde::Serialize;

use crate::judge::Verdict;
use crate::plan::{ClassPlan, Plan};
use crate::sim::{Played, Tally};
use crate::story::{Ending, Happened};

/// Longest time to delivery that is told apart (us), and its precision in digits.
const LONGEST: u64 = 120_000_000;
const DIGITS: u8 = 3;

/// A day's figures under one variant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    pub seed: u64,
    pub variant: &'static str,
    /// Worth of all messages at once, and the part of it that was served.
    pub worth_offered: f64,
    pub served_part: f64,
    /// From a message's first hand-in to its delivery, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub messages: u64,
    pub delivered: u64,
    pub calls: u64,
    /// Of them, those that were turned away, and those that took effect.
    pub refused_calls: u64,
    pub effects: u64,
    pub connections: u64,
    pub datagram_bytes: u64,
    pub breaches: u64,
    pub invariants_broken: u64,
}

/// Worth of a message that was delivered at that age (s), as its class says; it falls evenly from the aim.
fn worth(class: &ClassPlan, age: f64) -> f64 {
    if age >= class.deadline_s {
        return 0.0;
    }
    let late = ((age - class.aim_s) / (class.deadline_s - class.aim_s).max(1e-9)).max(0.0);
    class.value * (1.0 - (1.0 - class.late_share) * late)
}

/// Counts a day.
pub fn count(plan: &Plan, variant: &'static str, played: &Played, verdict: &Verdict) -> Figures {
    let Tally { calls, connections, datagram_bytes, invariants_broken, .. } = played.tally;
    let mut figures = Figures {
        seed: plan.seed,
        variant,
        calls,
        connections,
        datagram_bytes,
        invariants_broken,
        breaches: verdict.breaches.len() as u64,
        ..Figures::default()
    };
    // Bounds that are sound make a histogram.
    let mut ages = Histogram::<u64>::new_with_max(LONGEST, DIGITS).ok();
    let mut first: BTreeMap<u64, (Micros, usize)> = BTreeMap::new();
    let mut of_call = BTreeMap::new();
    let mut served = 0.0;
    for told in &played.story.told {
        match &told.what {
            Happened::HandedIn { message, facts, .. } => {
                first.entry(*message).or_insert((told.at, facts.class));
            }
            Happened::Arrived { call, message, .. } => {
                of_call.insert(*call, *message);
            }
            Happened::Ran { .. } => figures.effects += 1,
            Happened::Ended { how: Ending::Refused { .. }, .. } => figures.refused_calls += 1,
            Happened::Ended { call, how: Ending::Served } => {
                // Its first delivery counts, and no further one.
                let Some((handed_at, class)) = of_call.get(call).and_then(|message| first.get_mut(message))
                else {
                    continue;
                };
                let age = told.at - *handed_at;
                if let Some(class) = plan.load.classes.get(std::mem::replace(class, usize::MAX)) {
                    served += worth(class, age as f64 / 1e6);
                    figures.delivered += 1;
                    if let Some(ages) = &mut ages {
                        ages.saturating_record(age);
                    }
                }
            }
            _ => {}
        }
    }
    figures.messages = first.len() as u64;
    figures.worth_offered = offered(plan, played);
    figures.served_part = served / figures.worth_offered.max(1e-9);
    if let Some(ages) = ages.filter(|ages| !ages.is_empty()) {
        figures.p50_ms = ages.value_at_quantile(0.5) as f64 / 1e3;
        figures.p99_ms = ages.value_at_quantile(0.99) as f64 / 1e3;
    }
    figures
}

fn offered(plan: &Plan, played: &Played) -> f64 {
    let firsts = played.story.told.iter().filter_map(|told| match &told.what {
        Happened::HandedIn { times: 0, facts, .. } => plan.load.classes.get(facts.class),
        _ => None,
    });
    firsts.map(|class| class.value).sum()
}
