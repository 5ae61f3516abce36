//! Handover of the home role of a service from one relay to another.

use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::history::{ClaimReceivers, HomeHistory};
use crate::message::{ClaimId, PermitMessage, Seen};
use crate::permits::{PermitEffect, Permits};
use crate::ranking::Ranking;
use crate::service::HandoverLedger;
use crate::{MARGIN, VALIDITY};

/// Number of relays that a new home asks about earlier homes, and the interval between claims.
const CLAIM_RECEIVER_COUNT: usize = 3;
const CLAIM_RETRY_INTERVAL: Micros = 250_000;
/// Number of claims sent to these relays only, before all relays are asked.
const CLAIMS_BEFORE_ASKING_ALL: u32 = 1;
/// Time after which a relay that was followed because of its claim, but is not the listed home, is reviewed.
const UNLISTED_HOME_REVIEW_DELAY: Micros = 3_000_000;

impl Permits {
    /// Stops granting because this process ends, and sends the ledgers to the next homes.
    pub fn hand_over(&mut self, now: Micros) {
        let has_core_lease = self.has_core_lease(now);
        self.is_stopping = true;
        for (name, service) in &mut self.services {
            let own_home = service.own_home.as_ref().filter(|home| home.is_open(now) && has_core_lease);
            let claim = own_home.map(|home| home.claim);
            service.leave_home(now, has_core_lease);
            let (Some(claim), Some(handover)) = (claim, service.handover.take()) else { continue };
            let Some(to) = service.next_home(&self.relays, &self.settings.me).cloned() else { continue };
            let message = PermitMessage::HandOver { service: name.clone(), claim, ledger: handover.ledger };
            self.effects.push(PermitEffect::Send { to, message });
        }
        self.choose_homes(now);
    }

    /// Sends the claims that are due: first to the relays that are most likely to know earlier homes, then to all relays
    /// that may have been the home.
    pub(crate) fn make_claims(&mut self, now: Micros) {
        let me = &self.settings.me;
        let agreed = self.agreed.as_deref();
        for (name, service) in &mut self.services {
            let Some(home) = service.own_home.as_mut() else { continue };
            if service.claim_at.is_none_or(|at| at > now) {
                continue;
            }
            let next_by_rank = relays_next_by_rank(&self.relays, service.listed.ranking(), me);
            let claim_receivers = ClaimReceivers { next_by_rank: &next_by_rank, agreed };
            home.update_opening_time(me, &service.history, &claim_receivers, self.settings.core_lease, now);
            let is_open = home.is_open(now);
            service.claim_at = (!is_open).then_some(now + CLAIM_RETRY_INTERVAL);
            service.claims_made += 1;
            let asks_all = agreed.is_some() && service.claims_made > CLAIMS_BEFORE_ASKING_ALL;
            let others = self.relays.iter().filter(|relay| *relay != me && !home.has_reported(relay));
            let receivers = if asks_all { others.collect() } else { next_by_rank };
            for to in receivers.into_iter().filter(|_| !is_open) {
                let message = PermitMessage::Claim { service: name.clone(), claim: home.claim };
                self.effects.push(PermitEffect::Send { to: to.clone(), message });
            }
        }
    }

    /// Follows a relay that claims to be the home, and reports to it what this relay knows of earlier homes.
    pub(crate) fn handle_claim(&mut self, now: Micros, from: &NodeName, service: &Arc<str>, claim: ClaimId) {
        let has_core_lease = self.has_core_lease(now);
        let Some(entry) = self.services.get_mut(service) else { return };
        let listed = entry.listed.get();
        // A relay that was partitioned may claim a service that has another home. Without the denial, this relay would
        // follow a home that grants nothing once it has read the current list.
        let ranking = entry.listed.ranking();
        let ranks_above_sender = |home: &NodeName| ranking.rank(home) > ranking.rank(from);
        if listed.is_some_and(ranks_above_sender) {
            let message = PermitMessage::Deny { service: service.clone(), claim };
            self.effects.push(PermitEffect::Send { to: from.clone(), message });
            return;
        }
        let is_listed = listed == Some(from);
        if entry.home.as_ref() != Some(from) {
            entry.holder.change_home();
            entry.leave_home(now, has_core_lease);
        }
        (entry.home, entry.claim_at) = (Some(from.clone()), None);
        entry.latest_claim = Some((from.clone(), claim));
        entry.review_at = (!is_listed).then_some(now + UNLISTED_HOME_REVIEW_DELAY);
        let wait = self.settings.core_lease + VALIDITY;
        let service = service.clone();
        let message = match entry.ledger_for((from.clone(), claim), now, wait) {
            Some(ledger) => PermitMessage::Yield { service, claim, ledger },
            // A relay without the core lease may have been partitioned and may have missed homes, so it must not report.
            None if !has_core_lease => return,
            None => {
                let seen = entry.history.report(now, wait + self.settings.core_lease + MARGIN);
                PermitMessage::Vouch { service, claim, seen }
            }
        };
        self.effects.push(PermitEffect::Send { to: from.clone(), message });
    }

    /// Accepts the ledger of a previous home that yielded to a claim.
    pub(crate) fn handle_yield(
        &mut self, now: Micros, service: &Arc<str>, claim: ClaimId, ledger: &[(u32, u32)],
    ) {
        let Some(service) = self.services.get_mut(service) else { return };
        if let Some(home) = service.own_home.as_mut().filter(|home| home.claim == claim) {
            home.accept_ledger(ledger, now);
            service.claim_at = None;
        }
    }

    /// Accepts the report of a relay that follows this home on the homes it has seen.
    pub(crate) fn handle_vouch(
        &mut self, now: Micros, from: &NodeName, service: &Arc<str>, claim: ClaimId, seen: &Seen,
    ) {
        let me = &self.settings.me;
        let Some(service) = self.services.get_mut(service) else { return };
        let next_by_rank = relays_next_by_rank(&self.relays, service.listed.ranking(), me);
        let claim_receivers = ClaimReceivers { next_by_rank: &next_by_rank, agreed: self.agreed.as_deref() };
        if let Some(home) = service.own_home.as_mut().filter(|home| home.claim == claim) {
            home.add_report(from.clone(), HomeHistory::from_report(seen, now));
            home.update_opening_time(me, &service.history, &claim_receivers, self.settings.core_lease, now);
        }
    }

    /// Accepts the ledger of a stopping home, for which this relay is next. The relay list may not show this yet.
    pub(crate) fn handle_handover(
        &mut self, now: Micros, from: &NodeName, service: &Arc<str>, claim: ClaimId, ledger: Vec<(u32, u32)>,
    ) {
        let Some(service) = self.services.get_mut(service) else { return };
        // The message of an ended process may arrive after the next process of its node has granted permits, which are
        // missing in that ledger.
        let is_outdated = |(home, heard): &(NodeName, ClaimId)| home == from && *heard != claim;
        if service.latest_claim.as_ref().is_some_and(is_outdated) {
            return;
        }
        let previous_home = service.own_home.is_some().then(|| service.history.last()).flatten();
        if previous_home == Some(from) {
            if let Some(home) = service.own_home.as_mut() {
                home.accept_ledger(&ledger, now);
            }
        } else if service.home.as_ref() == Some(from) {
            service.handover =
                Some(HandoverLedger { at: now, sent_by: Some(from.clone()), to: None, ledger });
        }
    }

    /// Gives up the home after a denied claim, and delays the next claim.
    pub(crate) fn handle_deny(&mut self, now: Micros, service: &Arc<str>, claim: ClaimId) {
        let has_core_lease = self.has_core_lease(now);
        let Some(service) = self.services.get_mut(service) else { return };
        // Ignores a denial of another claim. After a denial of the current claim this home must end, as permits that the
        // other home grants are missing in its budget.
        if service.own_home.as_ref().is_none_or(|home| home.claim != claim) {
            return;
        }
        service.handle_denial(now, has_core_lease);
        self.choose_homes(now);
        for service in self.services.values_mut() {
            service.claim_at = service.claim_at.map(|at| at.max(now + CLAIM_RETRY_INTERVAL));
        }
    }
}

/// The relays that are most likely to know earlier homes of a service: the next ones by rank.
fn relays_next_by_rank<'a>(relays: &'a [NodeName], ranking: Ranking, me: &NodeName) -> Vec<&'a NodeName> {
    ranking.first_few(CLAIM_RECEIVER_COUNT, relays.iter().filter(|relay| *relay != me))
}
