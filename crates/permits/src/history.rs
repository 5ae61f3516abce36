//! The homes of one service that a relay has observed, and how a new home evaluates the reports of several relays.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::message::Seen;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// The homes of one service that a relay has followed, including its own terms with grants.
#[derive(Clone, Debug)]
pub(crate) struct HomeHistory {
    /// The relay has followed the homes without a gap since this time.
    since: Micros,
    /// Nodes that may have granted permits, and until when the relay followed each as the home.
    followed_until: BTreeMap<NodeName, Micros>,
    /// The home that ended last.
    last: Option<NodeName>,
}

impl HomeHistory {
    pub(crate) fn new(now: Micros) -> Self {
        HomeHistory { since: now, followed_until: BTreeMap::new(), last: None }
    }

    /// Records that a node was the home up to now.
    pub(crate) fn record_end(&mut self, home: NodeName, now: Micros) {
        self.followed_until.insert(home.clone(), now);
        self.last = Some(home);
    }

    /// Records that the last home continued up to now, while this relay acted as the home.
    pub(crate) fn extend_last_home(&mut self, now: Micros) {
        if let Some(last) = self.last.clone() {
            self.followed_until.insert(last, now);
        }
    }

    /// The home before the current one.
    pub(crate) fn last(&self) -> Option<&NodeName> {
        self.last.as_ref()
    }

    /// The report for another relay. Homes last followed longer ago than `horizon` are removed.
    pub(crate) fn report(&mut self, now: Micros, horizon: Micros) -> Seen {
        self.followed_until.retain(|_, until| *until + horizon > now);
        let ago_ms =
            |at: Micros| u32::try_from(now.saturating_sub(at) / MICROS_PER_MILLISECOND).unwrap_or(u32::MAX);
        let homes = self.followed_until.iter().map(|(home, until)| (home.clone(), ago_ms(*until))).collect();
        Seen { since_ago_ms: ago_ms(self.since), homes }
    }

    /// The history that another relay reported, by the local clock. Network delay makes the times later, never earlier.
    pub(crate) fn from_report(seen: &Seen, now: Micros) -> Self {
        let at = |ago_ms: u32| now.saturating_sub(Micros::from(ago_ms) * MICROS_PER_MILLISECOND);
        let followed_until = seen.homes.iter().map(|(home, ago_ms)| (home.clone(), at(*ago_ms))).collect();
        HomeHistory { since: at(seen.since_ago_ms), followed_until, last: None }
    }
}

/// The relays to which a new home sends its claim.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimReceivers<'a> {
    /// The relays that are next by rank.
    pub(crate) next_by_rank: &'a [&'a NodeName],
    /// All relays that may be homes, if the core agrees on them.
    pub(crate) agreed: Option<&'a [NodeName]>,
}

/// Whether all of these relays other than `me` have reported. False if the list does not contain `me`.
pub(crate) fn have_all_reported(
    me: &NodeName, relays: &[NodeName], reports: &BTreeMap<NodeName, HomeHistory>,
) -> bool {
    relays.contains(me) && relays.iter().all(|relay| relay == me || reports.contains_key(relay))
}

/// Until when any of the relays that have reported may have granted permits, by their reports on themselves.
///
/// A relay that reports follows the claimant and grants nothing from then on. Its report covers all its grants since
/// `since`. Earlier grants were made in an earlier process or before its core lease lapsed, and both ended before `since`.
pub(crate) fn reporting_relays_until(reports: &BTreeMap<NodeName, HomeHistory>) -> Micros {
    let own_end = |(relay, report): (&NodeName, &HomeHistory)| {
        report.followed_until.get(relay).copied().unwrap_or(0).max(report.since)
    };
    reports.iter().map(own_end).max().unwrap_or(0)
}

/// Until when a node that has not reported was the home, by the reports and by the history of `me`.
pub(crate) fn unreported_homes_until(
    me: &NodeName, reports: &BTreeMap<NodeName, HomeHistory>, mine: &HomeHistory,
) -> Option<Micros> {
    let ended = reports.values().chain([mine]).flat_map(|report| &report.followed_until);
    let unreported = ended.filter(|(home, _)| *home != me && !reports.contains_key(*home));
    unreported.map(|(_, until)| *until).max()
}

/// Until when a node other than `me` was the home, by the reports and by the history of `me`.
///
/// A relay's report on its own grants overrides what others observed, as a relay that only waited to open granted nothing.
pub(crate) fn other_homes_until(
    me: &NodeName, reports: &BTreeMap<NodeName, HomeHistory>, mine: &HomeHistory,
) -> Option<Micros> {
    let mut until = None;
    for (reporter, report) in reports.iter().chain([(me, mine)]) {
        for (home, ended) in &report.followed_until {
            let has_own_report = home != reporter && reports.contains_key(home);
            if home != me && !has_own_report {
                until = until.max(Some(*ended));
            }
        }
    }
    until
}

/// Since when the reports of all these relays are complete, if all have reported.
pub(crate) fn reports_complete_since(
    relays: &[&NodeName], reports: &BTreeMap<NodeName, HomeHistory>,
) -> Option<Micros> {
    let since = |relay: &&NodeName| reports.get(*relay).map(|report| report.since);
    let all: Option<Vec<Micros>> = relays.iter().map(since).collect();
    all?.into_iter().max()
}
