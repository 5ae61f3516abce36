//! The story around a breach: of its message, of its destination, and of the decisions at the time.

use std::collections::HashSet;

use pewterseam::interface::Micros;

use super::breach::Breach;
use crate::story::{Happened, Story, Told};

/// What is told of a destination and of decisions counts from so long before a breach, and up to it.
const BEFORE: Micros = 4_000_000;
/// Faults and the fate of the relay may lie longer back.
const LONG_BEFORE: Micros = 20_000_000;
/// Lines of decisions at the most, the last ones: a fleet says much.
const MOST_SAID: usize = 24;

/// In order of time.
pub(super) fn of(breach: &Breach, story: &Story) -> Vec<Told> {
    let mut calls = HashSet::new();
    let mut of_message = |what: &Happened| match what {
        Happened::HandedIn { message, .. }
        | Happened::Answered { message, .. }
        | Happened::Unanswered { message, .. }
        | Happened::Noticed { message, .. } => breach.about.occasion.is_some_and(|of| of.message == *message),
        Happened::Arrived { call, message, .. } => {
            let is_of = breach.about.occasion.is_some_and(|of| of.message == *message);
            is_of && calls.insert(*call)
        }
        Happened::Ran { call } | Happened::Ended { call, .. } => calls.contains(call),
        _ => false,
    };
    let is_host = |host: &u32| {
        let destination = story.hosts.get(host).map(|facts| facts.destination);
        breach.about.host == Some(*host)
            || (breach.about.destination.is_some() && destination == breach.about.destination)
    };
    let is_relay = |relay: &u16| breach.about.relay.is_none_or(|of| of == *relay);
    let mut lines: Vec<(bool, &Told)> = Vec::new();
    for told in &story.told {
        let lies_near = told.at + BEFORE >= breach.at && told.at <= breach.at;
        let lies_not_far = told.at + LONG_BEFORE >= breach.at && told.at <= breach.at;
        let is_told = match &told.what {
            Happened::Fault { .. } => lies_not_far,
            Happened::Ready { relay } | Happened::Stopping { relay } | Happened::Dead { relay } => {
                lies_not_far && breach.about.relay == Some(*relay)
            }
            Happened::Capacity { host, .. } => lies_near && is_host(host),
            Happened::ListTold { relay, host, .. } | Happened::Probed { relay, host, .. } => {
                lies_not_far && is_host(host) && breach.about.relay == Some(*relay)
            }
            Happened::Said { relay, .. } => lies_near && is_relay(relay),
            other => of_message(other),
        };
        if is_told {
            lines.push((matches!(told.what, Happened::Said { .. }), told));
        }
    }
    let mut surplus = lines.iter().filter(|(said, _)| *said).count().saturating_sub(MOST_SAID);
    lines.retain(|(said, _)| {
        let drops = *said && surplus > 0;
        surplus -= usize::from(drops);
        !drops
    });
    lines.into_iter().map(|(_, told)| told.clone()).collect()
}
