//! What a request that was handled says of the configuration that its machine used.
//!
//! The harness tells configurations apart by the passing routes: each change drops some of them, and says which service
//! runs the others.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;

use crate::configuration::{PASSING, passing_service};
use crate::event::Life;
use crate::operators::Change;
use crate::plan::{MILLISECOND, SECOND};

/// `configApplyMs`.
const APPLIED_WITHIN: Micros = 3 * SECOND;
/// `downgradeSlackMs`.
const DOWNGRADE_SLACK: Micros = 250 * MILLISECOND;

/// What became of a request.
#[derive(Clone, Copy, Debug)]
pub struct Handled<'a> {
    /// The service that runs it; None if it was refused as one without a route.
    pub service: Option<&'a str>,
    /// When its client sent one that is refused, and when a relay sent one that runs to the host: a message that waits in a
    /// relay goes by the configuration of the time at which it is sent on.
    pub sent_at: Micros,
}

/// A change that may be in force.
#[derive(Clone, Debug)]
struct Offer {
    if_match: u64,
    version: u64,
    passing: Vec<&'static str>,
    mark: u64,
}

impl Offer {
    fn allows(&self, route: &str, handled: Handled<'_>) -> bool {
        let route = self.passing.iter().find(|passing| **passing == route);
        route.map(|route| passing_service(route, self.mark)) == handled.service
    }
}

/// The changes of a run, and the effects of them that were seen.
#[derive(Default)]
pub struct Handling {
    /// Changes that were not refused, by their marks.
    offers: BTreeMap<u64, Offer>,
    /// Marks of changes that were acknowledged, and when first.
    acknowledged: BTreeMap<u64, Micros>,
    /// The least version that showed itself in what a life of a process did, and when.
    seen: BTreeMap<Life, Vec<(Micros, u64)>>,
}

impl Handling {
    /// A change is sent: it may be in force from now on.
    pub fn sent(&mut self, change: &Change) {
        let offer = Offer {
            if_match: change.if_match,
            version: change.version,
            passing: change.passing.clone(),
            mark: change.mark,
        };
        self.offers.insert(change.mark, offer);
    }

    /// A change is refused, and never in force.
    pub fn refused(&mut self, change: &Change) {
        self.offers.remove(&change.mark);
    }

    /// A change is acknowledged, perhaps not for the first time.
    pub fn acknowledged(&mut self, now: Micros, change: &Change) {
        self.acknowledged.entry(change.mark).or_insert(now);
    }

    /// The newest version that every machine in touch must have used, if only an older one allows what was done.
    pub fn passed_over(&self, route: &str, handled: Handled<'_>) -> Option<u64> {
        if !PASSING.contains(&route) {
            return None;
        }
        let is_due = |(_, at): &(&u64, &Micros)| **at + APPLIED_WITHIN < handled.sent_at;
        let due = self.acknowledged.iter().filter(is_due).filter_map(|(mark, _)| self.offers.get(mark));
        let base = due.max_by_key(|offer| offer.version)?;
        // A change that stands on an older version cannot have come after this one.
        let may_follow = |offer: &&Offer| offer.version > base.version && offer.if_match >= base.version;
        let mut newer = self.offers.values().filter(may_follow);
        let is_allowed = base.allows(route, handled) || newer.any(|offer| offer.allows(route, handled));
        (!is_allowed).then_some(base.version)
    }

    /// A life of a process handled a request; the version whose effect it showed before, if only an older one allows this.
    pub fn downgraded_from(
        &mut self, now: Micros, life: Life, route: &str, handled: Handled<'_>,
    ) -> Option<u64> {
        if !PASSING.contains(&route) {
            return None;
        }
        let versions = || {
            let allowing = self.offers.values().filter(|offer| offer.allows(route, handled));
            let before_all = handled.service.is_none().then_some(0);
            allowing.map(|offer| offer.version).chain(before_all)
        };
        let (least, newest) = (versions().min()?, versions().max()?);
        let seen = self.seen.entry(life).or_default();
        let is_before = |(at, _): &&(Micros, u64)| *at + DOWNGRADE_SLACK < handled.sent_at;
        let shown = seen.iter().filter(is_before).map(|(_, version)| *version).max();
        if seen.iter().all(|(_, version)| *version < least) {
            seen.push((now, least));
        }
        shown.filter(|shown| *shown > newest)
    }
}
