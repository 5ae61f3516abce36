//! How the place as home of a service passes from one relay to another.

use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::message::{ClaimId, PermitMessage, Seen};
use crate::permits::{PermitEffect, Permits};
use crate::ranking::Ranking;
use crate::service::Yielded;
use crate::witness::{Asked, Witness};
use crate::{MARGIN, VALIDITY};

/// Relays that a new home asks whether they have been it, and how often.
const CLAIMED_FROM: usize = 3;
const CLAIM_AGAIN: Micros = 250_000;
/// Claims that go to these relays alone, before all are asked.
const CLAIMS_TO_WITNESSES: u32 = 1;
/// A home that is followed on its own word, and is not the first on the list, is looked at again after this.
const FOLLOW_UNLISTED: Micros = 3_000_000;

impl Permits {
    /// This process ends: it grants nothing any more, and the next home is told of its permits.
    pub fn hand_over(&mut self, now: Micros) {
        let has_word = self.has_word(now);
        self.is_leaving = true;
        for (name, service) in &mut self.services {
            let granting = service.granting.as_ref().filter(|home| home.is_open(now) && has_word);
            let claim = granting.map(|home| home.claim);
            service.leave_home(now, has_word);
            let (Some(claim), Some(told)) = (claim, service.yielded.take()) else { continue };
            let Some(to) = service.next_home(&self.relays, &self.settings.me).cloned() else { continue };
            let message = PermitMessage::HandOver { service: name.clone(), claim, ledger: told.ledger };
            self.effects.push(PermitEffect::Send { to, message });
        }
        self.choose_homes(now);
    }

    /// Claims the services that are due to be claimed, from the relays that are most likely to know of earlier homes; where
    /// that did not help, from all that may have been it.
    pub(crate) fn make_claims(&mut self, now: Micros) {
        let me = &self.settings.me;
        let agreed = self.agreed.as_deref();
        for (name, service) in &mut self.services {
            let Some(home) = service.granting.as_mut() else { continue };
            if service.claim_at.is_none_or(|at| at > now) {
                continue;
            }
            let witnesses = witnesses(&self.relays, service.listed.ranking(), me);
            let asked = Asked { witnesses: &witnesses, agreed };
            home.reconsider(me, &service.witness, &asked, self.settings.core_lease, now);
            let is_open = home.is_open(now);
            service.claim_at = (!is_open).then_some(now + CLAIM_AGAIN);
            service.claims_made += 1;
            let asks_all = agreed.is_some() && service.claims_made > CLAIMS_TO_WITNESSES;
            let others = self.relays.iter().filter(|relay| *relay != me && !home.has_vouched(relay));
            let receivers = if asks_all { others.collect() } else { witnesses };
            for to in receivers.into_iter().filter(|_| !is_open) {
                let message = PermitMessage::Claim { service: name.clone(), claim: home.claim };
                self.effects.push(PermitEffect::Send { to: to.clone(), message });
            }
        }
    }

    /// A relay claims to be the home: it is followed, and told what is known here of earlier homes.
    pub(crate) fn claimed(&mut self, now: Micros, from: &NodeName, service: &Arc<str>, claim: ClaimId) {
        let has_word = self.has_word(now);
        let Some(entry) = self.services.get_mut(service) else { return };
        let listed = entry.listed.get();
        // Danger: one that was cut off claims what another relay is the home of. Who followed it would ask a home
        // that goes by the list again and grants nothing.
        let ranking = entry.listed.ranking();
        let goes_before = |home: &NodeName| ranking.rank(home) > ranking.rank(from);
        if listed.is_some_and(goes_before) {
            let message = PermitMessage::Deny { service: service.clone(), claim };
            self.effects.push(PermitEffect::Send { to: from.clone(), message });
            return;
        }
        let is_listed = listed == Some(from);
        if entry.home.as_ref() != Some(from) {
            entry.holder.change_home();
            entry.leave_home(now, has_word);
        }
        (entry.home, entry.claim_at) = (Some(from.clone()), None);
        entry.heard_claim = Some((from.clone(), claim));
        entry.review_at = (!is_listed).then_some(now + FOLLOW_UNLISTED);
        let wait = self.settings.core_lease + VALIDITY;
        let service = service.clone();
        let message = match entry.ledger_for((from.clone(), claim), now, wait) {
            Some(ledger) => PermitMessage::Yield { service, claim, ledger },
            // Danger: a relay that was cut off does not know who else has been home meanwhile.
            None if !has_word => return,
            None => {
                let seen = entry.witness.tell(now, wait + self.settings.core_lease + MARGIN);
                PermitMessage::Vouch { service, claim, seen }
            }
        };
        self.effects.push(PermitEffect::Send { to: from.clone(), message });
    }

    /// The home so far has given up its place.
    pub(crate) fn yielded(&mut self, now: Micros, service: &Arc<str>, claim: ClaimId, ledger: &[(u32, u32)]) {
        let Some(service) = self.services.get_mut(service) else { return };
        if let Some(home) = service.granting.as_mut().filter(|home| home.claim == claim) {
            home.take_over(ledger, now);
            service.claim_at = None;
        }
    }

    /// A relay that follows this one tells what it has seen of other homes.
    pub(crate) fn vouched(
        &mut self, now: Micros, from: &NodeName, service: &Arc<str>, claim: ClaimId, seen: &Seen,
    ) {
        let me = &self.settings.me;
        let Some(service) = self.services.get_mut(service) else { return };
        let witnesses = witnesses(&self.relays, service.listed.ranking(), me);
        let asked = Asked { witnesses: &witnesses, agreed: self.agreed.as_deref() };
        if let Some(home) = service.granting.as_mut().filter(|home| home.claim == claim) {
            home.vouch(from.clone(), Witness::told(seen, now));
            home.reconsider(me, &service.witness, &asked, self.settings.core_lease, now);
        }
    }

    /// The home so far ends, and names this relay as the next one. The list may not show it yet.
    pub(crate) fn handed_over(
        &mut self, now: Micros, from: &NodeName, service: &Arc<str>, claim: ClaimId, ledger: Vec<(u32, u32)>,
    ) {
        let Some(service) = self.services.get_mut(service) else { return };
        // Danger: the word of a process that ended may come when the next one of its node has granted for a while.
        let is_late = |(home, heard): &(NodeName, ClaimId)| home == from && *heard != claim;
        if service.heard_claim.as_ref().is_some_and(is_late) {
            return;
        }
        let waits_for = service.granting.is_some().then(|| service.witness.last()).flatten();
        if waits_for == Some(from) {
            if let Some(home) = service.granting.as_mut() {
                home.take_over(&ledger, now);
            }
        } else if service.home.as_ref() == Some(from) {
            service.yielded = Some(Yielded { at: now, handed_by: Some(from.clone()), to: None, ledger });
        }
    }

    /// A claim was denied; the next one is not made at once.
    pub(crate) fn denied(&mut self, now: Micros, service: &Arc<str>, claim: ClaimId) {
        let has_word = self.has_word(now);
        let Some(service) = self.services.get_mut(service) else { return };
        // Danger: what the other one grants meanwhile is not in this one's budget.
        if service.granting.as_ref().is_none_or(|home| home.claim != claim) {
            return;
        }
        service.be_denied(now, has_word);
        self.choose_homes(now);
        for service in self.services.values_mut() {
            service.claim_at = service.claim_at.map(|at| at.max(now + CLAIM_AGAIN));
        }
    }
}

/// The relays that know best who was the home of a service: those that come next by rank.
fn witnesses<'a>(relays: &'a [NodeName], ranking: Ranking, me: &NodeName) -> Vec<&'a NodeName> {
    ranking.first_few(CLAIMED_FROM, relays.iter().filter(|relay| *relay != me))
}
