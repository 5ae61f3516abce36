//! The home of one service, which grants permits within the budget.

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::budget::Budget;
use crate::event::{BudgetBasis, HomeEvent};
use crate::history::{
    ClaimReceivers, HomeHistory, have_all_reported, other_homes_until, reporting_relays_until,
    reports_complete_since, unreported_homes_until,
};
use crate::message::{ClaimId, GrantId, PermitMessage, Settled};
use crate::shares::Shares;
use crate::{MARGIN, VALIDITY};

/// Maximum time for which a request that could not be granted at once is kept.
const MAX_REQUEST_AGE: Micros = VALIDITY / 2;

/// Start conditions of a home.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HomeStart {
    pub(crate) now: Micros,
    pub(crate) opens_at: Micros,
    /// Whether another home may have granted permits usable until `opens_at`.
    pub(crate) has_predecessor: bool,
}

/// The latest event of a home that was logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Logged {
    Nothing,
    Waits,
    Opens,
}

/// The state of one service at its home.
#[derive(Debug)]
pub(crate) struct Home {
    service: Arc<str>,
    /// Identifies this term as home.
    pub(crate) claim: ClaimId,
    budget: Budget,
    shares: Shares,
    rate: f64,
    /// No earlier process or term of this node has granted permits since this time.
    began_at: Micros,
    /// No permit is granted before this time.
    opens_at: Micros,
    /// There may have been an earlier home.
    has_predecessor: bool,
    /// The previous home has stopped granting and sent its ledger.
    has_ledger: bool,
    /// The latest event that was logged.
    logged: Logged,
    /// Home histories reported by the relays that follow this home.
    reports: BTreeMap<NodeName, HomeHistory>,
}

impl Home {
    /// Creates a home that starts granting at `opens_at`. With `has_predecessor`, the permits that an earlier home may have
    /// granted are booked.
    pub(crate) fn new(
        service: Arc<str>, claim: ClaimId, rate: f64, limits: (Micros, f64), start: HomeStart,
    ) -> Self {
        let (window, overshoot) = limits;
        let HomeStart { now, opens_at, has_predecessor } = start;
        let mut budget = Budget::new(rate, window, overshoot, now);
        if has_predecessor {
            budget.book_assumed_grants(opens_at);
        }
        Home {
            service,
            claim,
            budget,
            shares: Shares::default(),
            rate,
            began_at: now,
            opens_at,
            has_predecessor,
            has_ledger: false,
            logged: Logged::Nothing,
            reports: BTreeMap::new(),
        }
    }

    /// Accepts the ledger of the previous home and opens at once. An open home ignores the ledger, which does not contain
    /// the grants of this home.
    pub(crate) fn accept_ledger(&mut self, ledger: &[(u32, u32)], now: Micros) {
        if !self.is_open(now) {
            self.budget.load_ledger(ledger, now);
            self.opens_at = now;
            self.has_ledger = true;
        }
    }

    /// Whether this home knows all permits that may be outstanding, because the previous home sent its ledger.
    pub(crate) fn has_complete_ledger(&self, now: Micros) -> bool {
        self.has_ledger && self.is_open(now)
    }

    /// Stores the home history that a following relay reported.
    pub(crate) fn add_report(&mut self, relay: NodeName, history: HomeHistory) {
        self.reports.insert(relay, history);
    }

    /// Whether a relay has reported its home history.
    pub(crate) fn has_reported(&self, relay: &NodeName) -> bool {
        self.reports.contains_key(relay)
    }

    /// Recalculates `opens_at` from what is known of other homes.
    pub(crate) fn update_opening_time(
        &mut self, me: &NodeName, mine: &HomeHistory, receivers: &ClaimReceivers<'_>, core_lease: Micros,
        now: Micros,
    ) {
        if !self.has_predecessor || self.is_open(now) {
            return;
        }
        let opens_at = self.granted_until(me, mine, receivers, core_lease) + VALIDITY + MARGIN;
        if opens_at != self.opens_at {
            self.budget.load_ledger(&[], now);
            self.budget.book_assumed_grants(opens_at);
            self.opens_at = opens_at;
        }
    }

    /// Until when another home may have granted permits.
    ///
    /// Earlier processes and terms of this node had ended when this term began. A node that was removed from the list may
    /// hold its core lease for a while longer, even if it became the home after this one had begun to wait; without the
    /// added `core_lease`, both could grant at the same time.
    fn granted_until(
        &self, me: &NodeName, mine: &HomeHistory, receivers: &ClaimReceivers<'_>, core_lease: Micros,
    ) -> Micros {
        let reports = &self.reports;
        if receivers.agreed.is_some_and(|agreed| have_all_reported(me, agreed, reports)) {
            // No other relay may be a home. A followed home that has not reported may be missing in the agreed list.
            let unreported = unreported_homes_until(me, reports, mine).map_or(0, |until| until + core_lease);
            return self.began_at.max(reporting_relays_until(reports)).max(unreported);
        }
        let others_until = other_homes_until(me, reports, mine).unwrap_or(0);
        let unknown_until =
            reports_complete_since(receivers.next_by_rank, reports).unwrap_or(Micros::MAX).min(self.began_at);
        self.began_at.max(others_until.max(unknown_until) + core_lease)
    }

    /// The ledger for the next home.
    pub(crate) fn ledger(&mut self, now: Micros) -> Vec<(u32, u32)> {
        self.budget.advance(now);
        self.budget.ledger(now)
    }

    /// Whether this home may grant, because all permits of earlier homes have expired or are booked.
    pub(crate) fn is_open(&self, now: Micros) -> bool {
        now >= self.opens_at
    }

    pub(crate) fn settle(&mut self, life: u64, settled: &[Settled], now: Micros) {
        for Settled { grant, used } in settled.iter().filter(|settled| settled.grant.home_life == life) {
            self.budget.settle(grant.number, *used, now);
        }
    }

    pub(crate) fn add_request(
        &mut self, from: &NodeName, life: u64, sent_at: Micros, wanted: u32, now: Micros,
    ) {
        self.shares.add_request(from, life, sent_at, wanted, now);
    }

    /// Grants the permits available now, and returns each grant with its receiver.
    pub(crate) fn grant(
        &mut self, home_life: u64, last_grant: &mut u64, now: Micros,
    ) -> Vec<(NodeName, PermitMessage)> {
        self.budget.advance(now);
        self.shares.expire(MAX_REQUEST_AGE, now);
        self.shares.end_round(self.rate, now);
        let mut grants: Vec<(NodeName, PermitMessage)> = Vec::new();
        if !self.is_open(now) {
            return grants;
        }
        let mut counts = std::collections::BTreeMap::<NodeName, (u64, Micros, u32)>::new();
        let mut available = self.budget.available();
        while available > 0
            && let Some((name, asker)) = self.shares.next()
        {
            available -= 1;
            counts.entry(name.clone()).or_insert((asker.life, asker.sent_at, 0)).2 += 1;
            Shares::record_grant(asker, 1);
        }
        self.shares.mark_unmet_requests();
        for (name, (life, sent_at, count)) in counts {
            *last_grant = last_grant.wrapping_add(1);
            self.budget.grant(*last_grant, count, now);
            let grant = GrantId { home_life, number: *last_grant };
            let service = self.service.clone();
            grants.push((name, PermitMessage::Grant { service, life, sent_at, grant, count }));
        }
        grants
    }

    /// The next event for the log.
    pub(crate) fn event(&mut self, now: Micros) -> Option<HomeEvent> {
        match self.logged {
            Logged::Nothing if !self.is_open(now) => {
                self.logged = Logged::Waits;
                Some(HomeEvent::Waits { span: self.opens_at.saturating_sub(now) })
            }
            Logged::Nothing | Logged::Waits if self.is_open(now) => {
                self.logged = Logged::Opens;
                self.budget.advance(now);
                Some(HomeEvent::Opens { basis: self.basis(), counts: self.budget.counts(now) })
            }
            _ => None,
        }
    }

    /// The event for the log when this home ends; none if it never opened.
    pub(crate) fn end(&mut self, now: Micros) -> Option<HomeEvent> {
        self.budget.advance(now);
        (self.logged == Logged::Opens).then(|| HomeEvent::Ends { counts: self.budget.counts(now) })
    }

    fn basis(&self) -> BudgetBasis {
        if self.has_ledger {
            BudgetBasis::Ledger
        } else if self.has_predecessor {
            BudgetBasis::Assumption
        } else {
            BudgetBasis::NoPredecessor
        }
    }

    /// When permits can next be granted.
    pub(crate) fn next_at(&self, now: Micros) -> Option<Micros> {
        let has_requests = self.shares.has_requests();
        has_requests.then(|| self.budget.next_at(now).max(self.opens_at))
    }
}
