//! The home of one service: it grants permits while it may.

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::budget::Budget;
use crate::event::{BudgetBasis, HomeEvent};
use crate::message::{ClaimId, GrantId, PermitMessage, Settled};
use crate::shares::Shares;
use crate::witness::{
    Asked, Witness, all_know_since, have_all_told, others_until, silent_until, tellers_until,
};
use crate::{MARGIN, VALIDITY};

/// The longest time for which a request that could not be met at once is kept.
const PATIENCE: Micros = VALIDITY / 2;

/// When a home begins.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Opening {
    pub(crate) now: Micros,
    pub(crate) opens_at: Micros,
    /// Another may have granted up to then.
    pub(crate) follows: bool,
}

/// How far the log tells of a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Nothing,
    Waits,
    Opens,
}

/// A service's permits at their home.
#[derive(Debug)]
pub(crate) struct Home {
    service: Arc<str>,
    /// Names this time as home.
    pub(crate) claim: ClaimId,
    budget: Budget,
    shares: Shares,
    rate: f64,
    /// No earlier process or time of this node grants any more since then.
    began_at: Micros,
    /// Nothing is granted before.
    opens_at: Micros,
    /// There may have been a home before it.
    follows: bool,
    /// The home before it has told of its permits, and grants none any more.
    has_taken_over: bool,
    /// What was told of it last.
    told: Told,
    /// What relays that follow this one have seen.
    vouched: BTreeMap<NodeName, Witness>,
}

impl Home {
    /// A home that begins to grant at `opens_at`; what an earlier one granted up to then is allowed for if `follows`.
    pub(crate) fn new(
        service: Arc<str>, claim: ClaimId, rate: f64, bounds: (Micros, f64), span: Opening,
    ) -> Self {
        let (window, overshoot) = bounds;
        let Opening { now, opens_at, follows } = span;
        let mut budget = Budget::new(rate, window, overshoot, now);
        if follows {
            budget.assume_predecessor(opens_at);
        }
        Home {
            service,
            claim,
            budget,
            shares: Shares::default(),
            rate,
            began_at: now,
            opens_at,
            follows,
            has_taken_over: false,
            told: Told::Nothing,
            vouched: BTreeMap::new(),
        }
    }

    /// The home before this one has stopped, and told of its permits. Only before this one has begun: its own grants
    /// are not in that word.
    pub(crate) fn take_over(&mut self, ledger: &[(u32, u32)], now: Micros) {
        if !self.is_open(now) {
            self.budget.take_over(ledger, now);
            self.opens_at = now;
            self.has_taken_over = true;
        }
    }

    /// Whether this home knows of all permits that may be out: the home before it has told of its own.
    pub(crate) fn has_last_word(&self, now: Micros) -> bool {
        self.has_taken_over && self.is_open(now)
    }

    /// A relay that follows this home tells what it has seen of earlier ones.
    pub(crate) fn vouch(&mut self, witness: NodeName, seen: Witness) {
        self.vouched.insert(witness, seen);
    }

    /// Whether a relay has told what it has seen.
    pub(crate) fn has_vouched(&self, relay: &NodeName) -> bool {
        self.vouched.contains_key(relay)
    }

    /// Sets the time from when on permits are granted by what is known of other homes.
    pub(crate) fn reconsider(
        &mut self, me: &NodeName, mine: &Witness, asked: &Asked<'_>, core_lease: Micros, now: Micros,
    ) {
        if !self.follows || self.is_open(now) {
            return;
        }
        let opens_at = self.granted_until(me, mine, asked, core_lease) + VALIDITY + MARGIN;
        if opens_at != self.opens_at {
            self.budget.take_over(&[], now);
            self.budget.assume_predecessor(opens_at);
            self.opens_at = opens_at;
        }
    }

    /// Until when another home may have granted permits.
    ///
    /// Earlier processes and times of this node had ended when it began. Danger: a node that was taken off a list may
    /// have held the core's word for a while, also where it was the home only after this one had begun to wait.
    fn granted_until(&self, me: &NodeName, mine: &Witness, asked: &Asked<'_>, core_lease: Micros) -> Micros {
        let words = &self.vouched;
        if asked.agreed.is_some_and(|agreed| have_all_told(me, agreed, words)) {
            // Nobody else may be a home. One that was followed and has not told is not known to be on the list.
            let silent = silent_until(me, words, mine).map_or(0, |until| until + core_lease);
            return self.began_at.max(tellers_until(words)).max(silent);
        }
        let seen = others_until(me, words, mine).unwrap_or(0);
        let unknown = all_know_since(asked.witnesses, words).unwrap_or(Micros::MAX).min(self.began_at);
        self.began_at.max(seen.max(unknown) + core_lease)
    }

    /// What the next home has to know.
    pub(crate) fn ledger(&mut self, now: Micros) -> Vec<(u32, u32)> {
        self.budget.advance(now);
        self.budget.ledger(now)
    }

    /// Whether all that earlier homes granted is past.
    pub(crate) fn is_open(&self, now: Micros) -> bool {
        now >= self.opens_at
    }

    pub(crate) fn settle(&mut self, life: u64, settled: &[Settled], now: Micros) {
        for Settled { grant, used } in settled.iter().filter(|settled| settled.grant.home_life == life) {
            self.budget.settle(grant.number, *used, now);
        }
    }

    pub(crate) fn ask(&mut self, from: &NodeName, life: u64, sent_at: Micros, wanted: u32, now: Micros) {
        self.shares.ask(from, life, sent_at, wanted, now);
    }

    /// Grants what may be granted now; gives each grant with its receiver.
    pub(crate) fn grant(
        &mut self, home_life: u64, last_grant: &mut u64, now: Micros,
    ) -> Vec<(NodeName, PermitMessage)> {
        self.budget.advance(now);
        self.shares.expire(PATIENCE, now);
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
            Shares::give(asker, 1);
        }
        self.shares.leave_waiting();
        for (name, (life, sent_at, count)) in counts {
            *last_grant = last_grant.wrapping_add(1);
            self.budget.grant(*last_grant, count, now);
            let grant = GrantId { home_life, number: *last_grant };
            let service = self.service.clone();
            grants.push((name, PermitMessage::Grant { service, life, sent_at, grant, count }));
        }
        grants
    }

    /// What the log is to tell now.
    pub(crate) fn event(&mut self, now: Micros) -> Option<HomeEvent> {
        match self.told {
            Told::Nothing if !self.is_open(now) => {
                self.told = Told::Waits;
                Some(HomeEvent::Waits { span: self.opens_at.saturating_sub(now) })
            }
            Told::Nothing | Told::Waits if self.is_open(now) => {
                self.told = Told::Opens;
                self.budget.advance(now);
                Some(HomeEvent::Opens { basis: self.basis(), counts: self.budget.counts(now) })
            }
            _ => None,
        }
    }

    /// What the log is to tell when this home ends; nothing of one that has not begun.
    pub(crate) fn end(&mut self, now: Micros) -> Option<HomeEvent> {
        self.budget.advance(now);
        (self.told == Told::Opens).then(|| HomeEvent::Ends { counts: self.budget.counts(now) })
    }

    fn basis(&self) -> BudgetBasis {
        if self.has_taken_over {
            BudgetBasis::Ledger
        } else if self.follows {
            BudgetBasis::Assumption
        } else {
            BudgetBasis::NoPredecessor
        }
    }

    /// When there is something to do again.
    pub(crate) fn next_at(&self, now: Micros) -> Option<Micros> {
        let waits = self.shares.wants();
        waits.then(|| self.budget.next_at(now).max(self.opens_at))
    }
}
