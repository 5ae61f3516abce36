//! Why something is proposed, in words for an operator.

use crate::decision::{Planned, Sides, State};
use crate::evidence::{SLOTS_A_ROUND, Sums, Verdict};
use crate::interface::Zones;

/// Longest grounds, in bytes: all voters keep them.
const LONGEST: usize = 600;

fn said(state: Option<&State>) -> String {
    match state {
        None => "near".to_owned(),
        Some(State::Spilling(bears)) => format!("spilling above {} % of its limit", bears / 10),
        Some(State::Away) => "away".to_owned(),
        Some(State::Returning(_)) => "returning by steps".to_owned(),
    }
}

/// One sentence for each unit that changes, with the figures behind it.
pub fn grounds(
    zones: &Zones, sums: &Sums, verdict: &Verdict, before: &Sides, after: &Sides, planned: &Planned,
) -> String {
    let mut sentences = Vec::new();
    let units = before.keys().chain(after.keys());
    let mut units: Vec<_> = units.filter(|unit| before.get(unit) != after.get(unit)).collect();
    units.sort_unstable();
    units.dedup();
    for (caller, host) in units {
        let callers = caller.map_or("all".to_owned(), |caller| zones.name(caller).to_owned());
        let seen = sums.of_host(*host, SLOTS_A_ROUND);
        sentences.push(format!(
            "{callers} to {}: {} to {}; of {} calls in 2 s {} failed ({} silent, {} broken, {} not connected), {} \
             slow, {} refused",
            zones.name(*host),
            said(before.get(&(*caller, *host))),
            said(after.get(&(*caller, *host))),
            seen.ended(),
            seen.failed(),
            seen.silent,
            seen.broken,
            seen.unconnected,
            seen.slow,
            seen.refused,
        ));
    }
    if sentences.is_empty() {
        sentences.push("shared out anew for what is handed in and borne now".to_owned());
    }
    if !verdict.sick.is_empty() {
        let names: Vec<&str> = verdict.sick.iter().map(|zone| zones.name(*zone)).collect();
        sentences.push(format!("{} sees all fail alone and is not heeded", names.join(", ")));
    }
    if planned.unplaced >= 0.005 {
        sentences.push(format!("{:.0} % of all messages have no place", planned.unplaced * 100.0));
    }
    let mut all = sentences.join(". ");
    if all.len() > LONGEST {
        let end = (0..=LONGEST).rev().find(|end| all.is_char_boundary(*end)).unwrap_or(0);
        all.truncate(end);
    }
    all
}
