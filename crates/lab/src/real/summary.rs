//! A day in a few figures, from its story.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use hdrhistogram::Histogram;
use pewterseam::interface::Micros;

use super::links::Struck;
use crate::plan::{ClassPlan, Plan};
use crate::story::{CallNumber, Ending, Happened, HostNumber, MessageNumber, RelayNumber, Story};

/// What was counted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Messages, however often each was handed in.
    pub handed_in: usize,
    pub taken: usize,
    pub delivered: usize,
    pub noticed: usize,
    /// Went with a relay's folder, as a fault had it; nobody owes them.
    pub lost: usize,
    /// Neither delivered nor noticed, though taken on.
    pub owed: Vec<MessageNumber>,
    /// Hand-ins that got no answer.
    pub unanswered: usize,
    pub worth_asked: f64,
    pub worth_served: f64,
    pub calls: usize,
    pub refused_calls: usize,
    /// Calls of a relay to a host in another zone.
    pub cross_zone_calls: usize,
    /// From the first hand-in to the delivery, in microseconds.
    pub p50: Micros,
    pub p99: Micros,
    /// What faults did to what was on the links.
    pub struck: BTreeMap<Struck, u64>,
}

struct Handed {
    at: Micros,
    class: usize,
    until: Micros,
}

impl Summary {
    /// `zones` has the zone of each relay.
    pub fn of(
        plan: &Plan, story: &Story, zones: Vec<usize>, lost: &BTreeSet<MessageNumber>,
        struck: BTreeMap<Struck, u64>,
    ) -> Self {
        let mut summary = Summary { struck, ..Summary::default() };
        let mut handed: BTreeMap<MessageNumber, Handed> = BTreeMap::new();
        let mut calls: HashMap<CallNumber, (MessageNumber, RelayNumber, HostNumber)> = HashMap::new();
        let mut served: BTreeMap<MessageNumber, Micros> = BTreeMap::new();
        let (mut taken, mut noticed) = (BTreeSet::new(), BTreeSet::new());
        for told in &story.told {
            match &told.what {
                Happened::HandedIn { message, deadline, facts, .. } => {
                    let first = Handed { at: told.at, class: facts.class, until: *deadline };
                    handed.entry(*message).or_insert(first);
                }
                Happened::Answered { message, status: 200..300, .. } => {
                    taken.insert(*message);
                }
                Happened::Unanswered { .. } => summary.unanswered += 1,
                Happened::Noticed { message, .. } => {
                    noticed.insert(*message);
                }
                Happened::Arrived { call, message, relay, host, .. } => {
                    summary.calls += 1;
                    calls.insert(*call, (*message, *relay, *host));
                    let zone = story.hosts.get(host).map(|host| host.zone);
                    summary.cross_zone_calls += usize::from(zone != zones.get(usize::from(*relay)).copied());
                }
                Happened::Ended { how: Ending::Refused { .. }, .. } => summary.refused_calls += 1,
                Happened::Ended { call, how: Ending::Served } => {
                    if let Some((message, ..)) = calls.get(call) {
                        served.entry(*message).or_insert(told.at);
                    }
                }
                _ => {}
            }
        }
        let mut latency = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3);
        for (message, handed) in &handed {
            let class = &plan.load.classes[handed.class];
            summary.worth_asked += class.value;
            if let Some(at) = served.get(message) {
                let age = at.saturating_sub(handed.at);
                if taken.contains(message) && *at < handed.until {
                    summary.worth_served += worth(class, age);
                }
                if let Ok(latency) = &mut latency {
                    latency.saturating_record(age);
                }
            }
        }
        let quantile = |part| latency.as_ref().map_or(0, |latency| latency.value_at_quantile(part));
        (summary.p50, summary.p99) = (quantile(0.5), quantile(0.99));
        summary.handed_in = handed.len();
        summary.taken = taken.len();
        summary.delivered = taken.iter().filter(|message| served.contains_key(message)).count();
        let is_noticed =
            |message: &&MessageNumber| !served.contains_key(message) && noticed.contains(*message);
        summary.noticed = taken.iter().filter(is_noticed).count();
        let has_no_end =
            |message: &&MessageNumber| !served.contains_key(message) && !noticed.contains(*message);
        let (lost, owed): (Vec<_>, Vec<_>) =
            taken.iter().filter(has_no_end).partition(|message| lost.contains(message));
        (summary.lost, summary.owed) = (lost.len(), owed.into_iter().copied().collect());
        summary
    }
}

/// Full until the aim, then falling evenly to the share that is left at the deadline.
fn worth(class: &ClassPlan, age: Micros) -> f64 {
    let (age, span) = (age as f64 / 1e6, class.deadline_s - class.aim_s);
    let late = if span > 0.0 { ((age - class.aim_s) / span).clamp(0.0, 1.0) } else { 0.0 };
    class.value * (1.0 - (1.0 - class.late_share) * late)
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let worth = self.worth_served / self.worth_asked.max(f64::MIN_POSITIVE);
        let lines = [
            ("handed in", self.handed_in.to_string()),
            ("taken on", self.taken.to_string()),
            ("delivered", self.delivered.to_string()),
            ("noticed", self.noticed.to_string()),
            ("lost with a folder", self.lost.to_string()),
            ("owed at the end", self.owed.len().to_string()),
            ("hand-ins unanswered", self.unanswered.to_string()),
            (
                "worth served / asked",
                format!("{:.1} / {:.1} = {worth:.3}", self.worth_served, self.worth_asked),
            ),
            ("calls", self.calls.to_string()),
            ("calls refused", self.refused_calls.to_string()),
            ("calls across zones", self.cross_zone_calls.to_string()),
            ("latency p50, p99", format!("{:.1} ms, {:.1} ms", self.p50 as f64 / 1e3, self.p99 as f64 / 1e3)),
        ];
        for (name, value) in lines {
            writeln!(f, "{name:<22}{value}")?;
        }
        for (what, count) in &self.struck {
            writeln!(f, "{:<22}{count}", format!("{what:?}"))?;
        }
        Ok(())
    }
}
