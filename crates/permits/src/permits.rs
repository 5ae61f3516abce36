//! The permits of one relay: those that it holds, and those that it hands out where it is the home.

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::hash;

use crate::holder::{Holder, Permit};
use crate::home::{Home, Opening};
use crate::message::{ClaimId, PermitMessage};
use crate::{MARGIN, VALIDITY};

/// At the first start of everything, how long the list of relays must have stood.
const SETTLING: Micros = 1_000_000;
/// Relays that a new home asks whether they have been it, and how often.
const CLAIMED_FROM: usize = 3;
const CLAIM_AGAIN: Micros = 250_000;
/// A home that is followed on its own word, and is not the first on the list, is looked at again after this.
const FOLLOW_UNLISTED: Micros = 3_000_000;

/// What the permits of a relay need to know.
#[derive(Clone, Debug)]
pub struct Settings {
    pub me: NodeName,
    /// The life of this process; a later one is higher.
    pub life: u64,
    /// `originWindowS` and `originOvershoot`.
    pub window: Micros,
    pub overshoot: f64,
    /// No process of the system ran before.
    pub bootstrap: bool,
    /// The longest time for which a relay that was cut off may hold the core's word.
    pub core_lease: Micros,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitEffect {
    Send { to: NodeName, message: PermitMessage },
}

struct Service {
    rate: f64,
    holder: Holder,
    home: Option<NodeName>,
    /// Where this relay is the home.
    granting: Option<Home>,
    claim_at: Option<Micros>,
    yielded: Option<Yielded>,
    /// When the home is taken from the list again.
    review_at: Option<Micros>,
}

/// A place as home that was given up, and what the next home has to know of its permits.
struct Yielded {
    at: Micros,
    /// The relay that was told, and for which claim; none while nobody has asked.
    to: Option<(NodeName, ClaimId)>,
    ledger: Vec<(u32, u32)>,
}

impl Service {
    fn new(rate: f64) -> Self {
        let (holder, home, granting) = (Holder::default(), None, None);
        Service { rate, holder, home, granting, claim_at: None, yielded: None, review_at: None }
    }

    /// Another relay may have been home since: what this one knows as home is worth nothing.
    fn forget_home(&mut self) {
        (self.home, self.granting, self.yielded) = (None, None, None);
    }
}

/// The permits of one relay.
pub struct Permits {
    settings: Settings,
    services: BTreeMap<Arc<str>, Service>,
    /// Candidates for homes, sorted.
    relays: Vec<NodeName>,
    core_until: Micros,
    last_grant: u64,
    last_claim: u64,
    /// No home was named before, in a system without predecessors.
    is_first: bool,
    effects: Vec<PermitEffect>,
}

impl Permits {
    pub fn new(settings: Settings) -> Self {
        let is_first = settings.bootstrap;
        let (services, relays, effects) = (BTreeMap::new(), Vec::new(), Vec::new());
        Permits { settings, services, relays, core_until: 0, last_grant: 0, last_claim: 0, is_first, effects }
    }

    /// The limited services with their rates, in place of those before.
    pub fn set_services(&mut self, now: Micros, services: impl IntoIterator<Item = (Arc<str>, f64)>) {
        let mut before = std::mem::take(&mut self.services);
        for (name, rate) in services.into_iter().filter(|(_, rate)| *rate > 0.0) {
            let kept = before.remove(&name).filter(|service| service.rate == rate);
            let new = || Service::new(rate);
            self.services.insert(name, kept.unwrap_or_else(new));
        }
        self.choose_homes(now);
    }

    /// The relays that may be homes.
    pub fn set_relays(&mut self, now: Micros, relays: &[NodeName]) {
        self.relays = relays.to_vec();
        self.relays.sort();
        self.relays.dedup();
        self.choose_homes(now);
    }

    /// The core's word to this relay holds until then. Danger: without the word for a while, a home does not know
    /// whether another one has begun meanwhile; it begins anew.
    pub fn set_core_lease(&mut self, now: Micros, until: Micros) {
        let has_lapsed = self.core_until > 0 && self.core_until <= now;
        self.core_until = self.core_until.max(until);
        if has_lapsed {
            self.services.values_mut().for_each(Service::forget_home);
            self.choose_homes(now);
        }
    }

    /// How many messages wait for permits of a service.
    pub fn set_demand(&mut self, service: &str, demand: usize) {
        if let Some(service) = self.services.get_mut(service) {
            service.holder.set_demand(demand);
        }
    }

    /// Whether a service's requests need permits.
    pub fn is_limited(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Permits in hand.
    pub fn available(&self, now: Micros, service: &str) -> usize {
        self.services.get(service).map_or(0, |service| service.holder.available(now))
    }

    /// Uses a permit, if one is in hand.
    pub fn take(&mut self, now: Micros, service: &str) -> Option<Permit> {
        self.services.get_mut(service)?.holder.take(now)
    }

    /// Books that the request of a permit is sent now; its permit was good until now.
    pub fn sent(&mut self, service: &str, permit: Permit) {
        if let Some(service) = self.services.get_mut(service) {
            service.holder.sent(permit);
        }
    }

    /// Gives back a permit for which nothing was sent.
    pub fn put_back(&mut self, service: &str, permit: Permit) {
        if let Some(service) = self.services.get_mut(service) {
            service.holder.put_back(permit);
        }
    }

    /// Takes what another relay told.
    pub fn receive(&mut self, now: Micros, from: &NodeName, message: PermitMessage) {
        let has_word = self.has_word(now);
        let me = &self.settings;
        match message {
            PermitMessage::Request { service, life, sent_at, wanted, settled } => {
                let Some(home) = self.services.get_mut(&service).and_then(|s| s.granting.as_mut()) else {
                    return;
                };
                home.settle(me.life, &settled, now);
                home.ask(from, life, sent_at, wanted, now);
            }
            PermitMessage::Grant { service, life, sent_at, grant, count } => {
                let Some(service) = self.services.get_mut(&service).filter(|_| life == me.life) else {
                    return;
                };
                service.holder.receive(sent_at, grant, count, now);
            }
            PermitMessage::Claim { service, claim } => {
                let listed = ranked(&self.relays, &service).first().map(|home| (*home).clone());
                let Some(entry) = self.services.get_mut(&service) else { return };
                // Danger: one that was cut off claims what another relay is the home of. Who followed it would ask a home
                // that goes by the list again and grants nothing.
                let goes_before = |home: &NodeName| rank(&service, home) > rank(&service, from);
                if listed.as_ref().is_some_and(goes_before) {
                    let message = PermitMessage::Deny { service, claim };
                    self.effects.push(PermitEffect::Send { to: from.clone(), message });
                    return;
                }
                let was_home = entry.granting.take().filter(|home| home.is_open(now) && has_word);
                if let Some(mut home) = was_home {
                    entry.yielded = Some(Yielded { at: now, to: None, ledger: home.ledger(now) });
                }
                if entry.home.as_ref() != Some(from) {
                    entry.holder.change_home();
                }
                (entry.home, entry.claim_at) = (Some(from.clone()), None);
                entry.review_at = (listed.as_ref() != Some(from)).then_some(now + FOLLOW_UNLISTED);
                // Danger: of two that claim, only one may begin at once; and a home that nobody followed for long may
                // have been followed by one that waited. The same word told later is too much at worst.
                let claimant = (from.clone(), claim);
                let (until, told) = (me.core_lease + VALIDITY, entry.yielded.as_mut());
                let told = told.filter(|told| now < told.at + until);
                if let Some(told) = told.filter(|told| told.to.as_ref().is_none_or(|to| *to == claimant)) {
                    told.to = Some(claimant);
                    let ledger = &told.ledger;
                    let message = PermitMessage::Yield { service, claim, ledger: ledger.clone() };
                    self.effects.push(PermitEffect::Send { to: from.clone(), message });
                }
            }
            PermitMessage::Yield { service, claim, ledger } => {
                let Some(service) = self.services.get_mut(&service) else { return };
                if let Some(home) = service.granting.as_mut().filter(|home| home.claim == claim) {
                    home.take_over(&ledger, now);
                    service.claim_at = None;
                }
            }
            PermitMessage::Deny { service, claim } => {
                let Some(service) = self.services.get_mut(&service) else { return };
                // Danger: what the other one grants meanwhile is not in this one's budget.
                if service.granting.as_ref().is_some_and(|home| home.claim == claim) {
                    service.forget_home();
                    self.choose_homes(now);
                    self.claim_later(now);
                }
            }
        }
    }

    /// A claim was denied: the next one is not made at once.
    fn claim_later(&mut self, now: Micros) {
        for service in self.services.values_mut() {
            service.claim_at = service.claim_at.map(|at| at.max(now + CLAIM_AGAIN));
        }
    }

    fn review_homes(&mut self, now: Micros) {
        let is_due = |service: &Service| service.review_at.is_some_and(|at| at <= now);
        if !self.services.values().any(is_due) {
            return;
        }
        self.services
            .values_mut()
            .filter(|service| is_due(service))
            .for_each(|service| service.review_at = None);
        self.choose_homes(now);
    }

    /// Does what is due; call it after each of the above, and at [`Permits::next_at`].
    pub fn step(&mut self, now: Micros) -> Vec<PermitEffect> {
        self.review_homes(now);
        let has_word = self.has_word(now);
        let (me, life) = (&self.settings.me, self.settings.life);
        for (name, service) in &mut self.services {
            if let Some(home) = &service.home
                && let Some(request) = service.holder.ask(name, life, now)
            {
                match (&mut service.granting, request) {
                    (Some(home), PermitMessage::Request { sent_at, wanted, settled, .. }) => {
                        home.settle(life, &settled, now);
                        home.ask(me, life, sent_at, wanted, now);
                    }
                    (_, message) => self.effects.push(PermitEffect::Send { to: home.clone(), message }),
                }
            }
            let Some(home) = service.granting.as_mut().filter(|_| has_word) else { continue };
            for (to, message) in home.grant(life, &mut self.last_grant, now) {
                match message {
                    PermitMessage::Grant { sent_at, grant, count, .. } if to == *me => {
                        service.holder.receive(sent_at, grant, count, now);
                    }
                    message => self.effects.push(PermitEffect::Send { to, message }),
                }
            }
            if service.claim_at.is_some_and(|at| at <= now) {
                let open = home.is_open(now);
                service.claim_at = (!open).then_some(now + CLAIM_AGAIN);
                let ranked = ranked(&self.relays, name).into_iter().filter(|other| *other != me);
                for to in ranked.take(CLAIMED_FROM).filter(|_| !open) {
                    let message = PermitMessage::Claim { service: name.clone(), claim: home.claim };
                    self.effects.push(PermitEffect::Send { to: to.clone(), message });
                }
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// When [`Permits::step`] is due.
    pub fn next_at(&self, now: Micros) -> Option<Micros> {
        let has_word = self.has_word(now);
        let of_service = |service: &Service| {
            let grants = service.granting.as_ref().filter(|_| has_word).and_then(|home| home.next_at(now));
            [service.holder.next_at(), grants, service.claim_at, service.review_at]
                .into_iter()
                .flatten()
                .min()
        };
        self.services.values().filter_map(of_service).min()
    }

    fn has_word(&self, now: Micros) -> bool {
        now < self.core_until
    }

    /// Finds the home of each service anew.
    fn choose_homes(&mut self, now: Micros) {
        let has_word = self.has_word(now);
        let Settings { me, life, window, overshoot, core_lease, .. } = &self.settings;
        let named = !self.relays.is_empty() && !self.services.is_empty();
        for (name, service) in &mut self.services {
            let home = ranked(&self.relays, name).first().map(|home| (*home).clone());
            if home == service.home {
                continue;
            }
            service.holder.change_home();
            (service.claim_at, service.review_at) = (None, None);
            let was_home = service.granting.take().filter(|home| home.is_open(now) && has_word);
            if let Some(mut home) = was_home {
                service.yielded = Some(Yielded { at: now, to: None, ledger: home.ledger(now) });
            }
            if home.as_ref() == Some(me) {
                let follows = !self.is_first;
                let wait = if follows { core_lease + VALIDITY + MARGIN } else { SETTLING };
                self.last_claim += 1;
                let claim = ClaimId { life: *life, number: self.last_claim };
                let (bounds, span) = ((*window, *overshoot), Opening { now, opens_at: now + wait, follows });
                let home = Home::new(name.clone(), claim, service.rate, bounds, span);
                service.granting = Some(home);
                service.claim_at = Some(now);
            }
            service.home = home;
        }
        // Danger: lists of relays grow at the first start; only the first home of a list that stands is without
        // predecessors.
        if named {
            self.is_first = false;
        }
    }
}

/// The relays by their rank for a service; the first is its home.
fn ranked<'a>(relays: &'a [NodeName], service: &str) -> Vec<&'a NodeName> {
    let mut ranked: Vec<_> = relays.iter().collect();
    ranked.sort_by_key(|relay| std::cmp::Reverse(rank(service, relay)));
    ranked
}

/// The rank of a relay for a service by rendezvous hashing; the name settles what is equal.
fn rank<'a>(service: &str, relay: &'a NodeName) -> (u64, &'a NodeName) {
    (hash(relay.0.as_bytes(), hash(service.as_bytes(), 0)), relay)
}
