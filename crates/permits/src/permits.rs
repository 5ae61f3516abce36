//! The permits of one relay: those that it holds, and those that it hands out where it is the home.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::hash;

use crate::event::HomeEvent;
use crate::holder::Permit;
use crate::home::{Home, Opening};
use crate::message::{ClaimId, PermitMessage};
use crate::ranking::RelayChanges;
use crate::service::Service;
use crate::{MARGIN, VALIDITY};

/// At the first start of everything, how long the list of relays must have stood.
const SETTLING: Micros = 1_000_000;

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
    /// The core agrees on the relays that may be homes; see [`Permits::set_agreed_homes`].
    pub homes_are_agreed: bool,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitEffect {
    Send { to: NodeName, message: PermitMessage },
}

/// The permits of one relay.
pub struct Permits {
    pub(crate) settings: Settings,
    pub(crate) services: BTreeMap<Arc<str>, Service>,
    /// Candidates for homes, sorted: the live relays, those that are agreed on where the core does that.
    pub(crate) relays: Vec<NodeName>,
    live: Vec<NodeName>,
    /// The relays that may be homes, as far as the core has told; none where it agrees on none.
    pub(crate) agreed: Option<Vec<NodeName>>,
    core_until: Micros,
    last_grant: u64,
    last_claim: u64,
    /// No home was named before, in a system without predecessors.
    is_first: bool,
    /// This process ends, and is the home of nothing any more.
    pub(crate) is_leaving: bool,
    pub(crate) effects: Vec<PermitEffect>,
}

impl Permits {
    pub fn new(settings: Settings) -> Self {
        let is_first = settings.bootstrap;
        let agreed = settings.homes_are_agreed.then(Vec::new);
        let (services, relays, effects) = (BTreeMap::new(), Vec::new(), Vec::new());
        // Two homes may have one life, where they started at the same time.
        let last_grant = hash(settings.me.0.as_bytes(), 0);
        Permits {
            settings,
            services,
            relays,
            live: Vec::new(),
            agreed,
            core_until: 0,
            last_grant,
            last_claim: 0,
            is_first,
            is_leaving: false,
            effects,
        }
    }

    /// The limited services with their rates, in place of those before.
    pub fn set_services(&mut self, now: Micros, services: impl IntoIterator<Item = (Arc<str>, f64)>) {
        let mut before = std::mem::take(&mut self.services);
        for (name, rate) in services.into_iter().filter(|(_, rate)| *rate > 0.0) {
            let kept = before.remove(&name).filter(|service| service.rate == rate);
            let service = kept.unwrap_or_else(|| Service::new(&name, rate, &self.relays, now));
            self.services.insert(name, service);
        }
        self.choose_homes(now);
    }

    /// The relays that live.
    pub fn set_relays(&mut self, now: Micros, relays: &[NodeName]) {
        self.live = relays.to_vec();
        self.live.sort();
        self.live.dedup();
        self.choose_candidates(now);
    }

    /// The relays that may be homes, by the newest agreed state that this relay knows. Whoever is not on the list grants
    /// nothing; one leaves it only when all that it may have granted is past.
    pub fn set_agreed_homes(&mut self, now: Micros, homes: &[NodeName]) {
        if self.agreed.as_deref().is_some_and(|agreed| agreed != homes) {
            self.agreed = Some(homes.to_vec());
            self.choose_candidates(now);
        }
    }

    fn choose_candidates(&mut self, now: Micros) {
        let agreed: Option<HashSet<&NodeName>> = self.agreed.as_ref().map(|agreed| agreed.iter().collect());
        let is_agreed = |relay: &&NodeName| agreed.as_ref().is_none_or(|agreed| agreed.contains(relay));
        let relays: Vec<NodeName> = self.live.iter().filter(is_agreed).cloned().collect();
        let changes = RelayChanges::between(&self.relays, &relays);
        self.relays = relays;
        for service in self.services.values_mut() {
            service.listed.update(&changes, &self.relays);
        }
        self.choose_homes(now);
    }

    /// The core's word to this relay holds until then. Danger: without the word for a while, a home does not know
    /// whether another one has begun meanwhile; it begins anew.
    pub fn set_core_lease(&mut self, now: Micros, until: Micros) {
        let has_lapsed = self.core_until > 0 && self.core_until <= now;
        self.core_until = self.core_until.max(until);
        if has_lapsed {
            self.services.values_mut().for_each(|service| service.forget_home(now));
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
    pub fn sent(&mut self, now: Micros, service: &str, permit: Permit) {
        if let Some(service) = self.services.get_mut(service) {
            service.holder.sent(permit, now);
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
            PermitMessage::Claim { service, claim } => self.claimed(now, from, &service, claim),
            PermitMessage::Yield { service, claim, ledger } => self.yielded(now, &service, claim, &ledger),
            PermitMessage::Vouch { service, claim, seen } => self.vouched(now, from, &service, claim, &seen),
            PermitMessage::HandOver { service, claim, ledger } => {
                self.handed_over(now, from, &service, claim, ledger);
            }
            PermitMessage::Deny { service, claim } => self.denied(now, &service, claim),
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
        }
        self.make_claims(now);
        std::mem::take(&mut self.effects)
    }

    /// What became of this relay's places as home since the last call, by service. For the log.
    pub fn take_events(&mut self, now: Micros) -> Vec<(Arc<str>, HomeEvent)> {
        let has_word = self.has_word(now);
        let mut events = Vec::new();
        for (name, service) in &mut self.services {
            let home = service.granting.as_mut().filter(|_| has_word);
            let newest = home.and_then(|home| home.event(now));
            let of_service = service.events.drain(..).chain(newest);
            events.extend(of_service.map(|event| (name.clone(), event)));
        }
        events
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

    pub(crate) fn has_word(&self, now: Micros) -> bool {
        now < self.core_until
    }

    /// Takes the home of each service from the list.
    pub(crate) fn choose_homes(&mut self, now: Micros) {
        let has_word = self.has_word(now);
        let Settings { me, life, window, overshoot, core_lease, .. } = &self.settings;
        let named = !self.relays.is_empty() && !self.services.is_empty();
        for (name, service) in &mut self.services {
            let home =
                if self.is_leaving { service.next_home(&self.relays, me) } else { service.listed.get() };
            if home == service.home.as_ref() {
                continue;
            }
            let home = home.cloned();
            service.holder.change_home();
            (service.claim_at, service.review_at) = (None, None);
            service.claims_made = 0;
            service.leave_home(now, has_word);
            if home.as_ref() == Some(me) {
                let follows = !self.is_first;
                let wait = if follows { core_lease + VALIDITY + MARGIN } else { SETTLING };
                self.last_claim += 1;
                let claim = ClaimId { life: *life, number: self.last_claim };
                let (bounds, span) = ((*window, *overshoot), Opening { now, opens_at: now + wait, follows });
                let mut home = Home::new(name.clone(), claim, service.rate, bounds, span);
                if let Some(ledger) = service.take_handed_ledger(now) {
                    home.take_over(&ledger, now);
                }
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
