//! The permits of one relay: those that it holds, and those that it grants as a home.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::hash;

use crate::event::HomeEvent;
use crate::holder::Permit;
use crate::home::{Home, HomeStart};
use crate::message::{ClaimId, PermitMessage};
use crate::ranking::RelayChanges;
use crate::service::Service;
use crate::{MARGIN, VALIDITY};

/// At the first start of the system, the time for which a new home waits, so that the relay list is stable.
const RELAY_LIST_SETTLING_TIME: Micros = 1_000_000;

/// Settings for the permits of a relay.
#[derive(Clone, Debug)]
pub struct Settings {
    pub me: NodeName,
    /// The generation of this process. Later processes have a higher one.
    pub life: u64,
    /// `originWindowS` and `originOvershoot`.
    pub window: Micros,
    pub overshoot: f64,
    /// Whether no process of the system ran before.
    pub bootstrap: bool,
    /// The longest time for which a partitioned relay may still hold its lease from the core.
    pub core_lease: Micros,
    /// Whether the core agrees on the relays that may be homes; see [`Permits::set_agreed_homes`].
    pub homes_are_agreed: bool,
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitEffect {
    Send { to: NodeName, message: PermitMessage },
}

/// The permits of one relay.
pub struct Permits {
    pub(crate) settings: Settings,
    pub(crate) services: BTreeMap<Arc<str>, Service>,
    /// Candidates for homes, sorted: the live relays, limited to the agreed ones if the core agrees on homes.
    pub(crate) relays: Vec<NodeName>,
    live: Vec<NodeName>,
    /// The relays that may be homes by the latest state from the core; `None` if the core does not agree on homes.
    pub(crate) agreed: Option<Vec<NodeName>>,
    core_lease_until: Micros,
    last_grant: u64,
    last_claim: u64,
    /// No home was chosen yet since the first start of the system, so there can be no predecessor.
    is_first_start: bool,
    /// This process is shutting down and is no longer the home of any service.
    pub(crate) is_stopping: bool,
    pub(crate) effects: Vec<PermitEffect>,
}

impl Permits {
    pub fn new(settings: Settings) -> Self {
        let is_first_start = settings.bootstrap;
        let agreed = settings.homes_are_agreed.then(Vec::new);
        let (services, relays, effects) = (BTreeMap::new(), Vec::new(), Vec::new());
        // Two homes that started at the same time may have the same `life`.
        let last_grant = hash(settings.me.0.as_bytes(), 0);
        Permits {
            settings,
            services,
            relays,
            live: Vec::new(),
            agreed,
            core_lease_until: 0,
            last_grant,
            last_claim: 0,
            is_first_start,
            is_stopping: false,
            effects,
        }
    }

    /// Replaces the limited services and their rates.
    pub fn set_services(&mut self, now: Micros, services: impl IntoIterator<Item = (Arc<str>, f64)>) {
        let mut before = std::mem::take(&mut self.services);
        for (name, rate) in services.into_iter().filter(|(_, rate)| *rate > 0.0) {
            let kept = before.remove(&name).filter(|service| service.rate == rate);
            let service = kept.unwrap_or_else(|| Service::new(&name, rate, &self.relays, now));
            self.services.insert(name, service);
        }
        self.choose_homes(now);
    }

    /// Replaces the list of live relays.
    pub fn set_relays(&mut self, now: Micros, relays: &[NodeName]) {
        self.live = relays.to_vec();
        self.live.sort();
        self.live.dedup();
        self.update_candidates(now);
    }

    /// Sets the relays that may be homes, by the newest agreed state that this relay knows. A relay that is not on the
    /// list grants nothing. A relay is removed from the list only after all its grants have expired.
    pub fn set_agreed_homes(&mut self, now: Micros, homes: &[NodeName]) {
        if self.agreed.as_deref().is_some_and(|agreed| agreed != homes) {
            self.agreed = Some(homes.to_vec());
            self.update_candidates(now);
        }
    }

    fn update_candidates(&mut self, now: Micros) {
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

    /// Extends the lease from the core to `until`. After a lapsed lease, a home cannot know whether another home granted
    /// meanwhile, so it starts a new term.
    pub fn set_core_lease(&mut self, now: Micros, until: Micros) {
        let has_lapsed = self.core_lease_until > 0 && self.core_lease_until <= now;
        self.core_lease_until = self.core_lease_until.max(until);
        if has_lapsed {
            self.services.values_mut().for_each(|service| service.forget_home(now));
            self.choose_homes(now);
        }
    }

    /// Sets the number of messages that wait for permits of a service.
    pub fn set_demand(&mut self, service: &str, demand: usize) {
        if let Some(service) = self.services.get_mut(service) {
            service.holder.set_demand(demand);
        }
    }

    /// Whether requests to a service need permits.
    pub fn is_limited(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Number of valid permits that this relay holds.
    pub fn available(&self, now: Micros, service: &str) -> usize {
        self.services.get(service).map_or(0, |service| service.holder.available(now))
    }

    /// Takes a permit, if this relay holds one.
    pub fn take(&mut self, now: Micros, service: &str) -> Option<Permit> {
        self.services.get_mut(service)?.holder.take(now)
    }

    /// Books that the request of a permit is sent now, while the permit is valid.
    pub fn record_sent(&mut self, now: Micros, service: &str, permit: Permit) {
        if let Some(service) = self.services.get_mut(service) {
            service.holder.sent(permit, now);
        }
    }

    /// Returns a permit for which no request was sent.
    pub fn return_permit(&mut self, service: &str, permit: Permit) {
        if let Some(service) = self.services.get_mut(service) {
            service.holder.put_back(permit);
        }
    }

    /// Handles a message from another relay.
    pub fn receive(&mut self, now: Micros, from: &NodeName, message: PermitMessage) {
        let me = &self.settings;
        match message {
            PermitMessage::Request { service, life, sent_at, wanted, settled } => {
                let Some(home) = self.services.get_mut(&service).and_then(|state| state.own_home.as_mut())
                else {
                    return;
                };
                home.settle(me.life, &settled, now);
                home.add_request(from, life, sent_at, wanted, now);
            }
            PermitMessage::Grant { service, life, sent_at, grant, count } => {
                let Some(service) = self.services.get_mut(&service).filter(|_| life == me.life) else {
                    return;
                };
                service.holder.receive(sent_at, grant, count, now);
            }
            PermitMessage::Claim { service, claim } => self.handle_claim(now, from, &service, claim),
            PermitMessage::Yield { service, claim, ledger } => {
                self.handle_yield(now, &service, claim, &ledger)
            }
            PermitMessage::Vouch { service, claim, seen } => {
                self.handle_vouch(now, from, &service, claim, &seen)
            }
            PermitMessage::HandOver { service, claim, ledger } => {
                self.handle_handover(now, from, &service, claim, ledger);
            }
            PermitMessage::Deny { service, claim } => self.handle_deny(now, &service, claim),
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

    /// Performs the actions that are due. To be called after each other method that changes state, and at
    /// [`Permits::next_at`].
    pub fn step(&mut self, now: Micros) -> Vec<PermitEffect> {
        self.review_homes(now);
        let has_core_lease = self.has_core_lease(now);
        let (me, life) = (&self.settings.me, self.settings.life);
        for (name, service) in &mut self.services {
            if let Some(home) = &service.home
                && let Some(request) = service.holder.next_request(name, life, now)
            {
                match (&mut service.own_home, request) {
                    (Some(home), PermitMessage::Request { sent_at, wanted, settled, .. }) => {
                        home.settle(life, &settled, now);
                        home.add_request(me, life, sent_at, wanted, now);
                    }
                    (_, message) => self.effects.push(PermitEffect::Send { to: home.clone(), message }),
                }
            }
            let Some(home) = service.own_home.as_mut().filter(|_| has_core_lease) else { continue };
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

    /// Changes in the home roles of this relay since the last call, by service, for the log.
    pub fn take_events(&mut self, now: Micros) -> Vec<(Arc<str>, HomeEvent)> {
        let has_core_lease = self.has_core_lease(now);
        let mut events = Vec::new();
        for (name, service) in &mut self.services {
            let home = service.own_home.as_mut().filter(|_| has_core_lease);
            let newest = home.and_then(|home| home.event(now));
            let of_service = service.events.drain(..).chain(newest);
            events.extend(of_service.map(|event| (name.clone(), event)));
        }
        events
    }

    /// When [`Permits::step`] is due.
    pub fn next_at(&self, now: Micros) -> Option<Micros> {
        let has_core_lease = self.has_core_lease(now);
        let of_service = |service: &Service| {
            let grants =
                service.own_home.as_ref().filter(|_| has_core_lease).and_then(|home| home.next_at(now));
            [service.holder.next_at(), grants, service.claim_at, service.review_at]
                .into_iter()
                .flatten()
                .min()
        };
        self.services.values().filter_map(of_service).min()
    }

    pub(crate) fn has_core_lease(&self, now: Micros) -> bool {
        now < self.core_lease_until
    }

    /// Chooses the home of each service from the relay list.
    pub(crate) fn choose_homes(&mut self, now: Micros) {
        let has_core_lease = self.has_core_lease(now);
        let Settings { me, life, window, overshoot, core_lease, .. } = &self.settings;
        let has_chosen = !self.relays.is_empty() && !self.services.is_empty();
        for (name, service) in &mut self.services {
            let home =
                if self.is_stopping { service.next_home(&self.relays, me) } else { service.listed.get() };
            if home == service.home.as_ref() {
                continue;
            }
            let home = home.cloned();
            service.holder.change_home();
            (service.claim_at, service.review_at) = (None, None);
            service.claims_made = 0;
            service.leave_home(now, has_core_lease);
            if home.as_ref() == Some(me) {
                let has_predecessor = !self.is_first_start;
                let wait =
                    if has_predecessor { core_lease + VALIDITY + MARGIN } else { RELAY_LIST_SETTLING_TIME };
                self.last_claim += 1;
                let claim = ClaimId { life: *life, number: self.last_claim };
                let (limits, start) =
                    ((*window, *overshoot), HomeStart { now, opens_at: now + wait, has_predecessor });
                let mut home = Home::new(name.clone(), claim, service.rate, limits, start);
                if let Some(ledger) = service.take_handed_ledger(now) {
                    home.accept_ledger(&ledger, now);
                }
                service.own_home = Some(home);
                service.claim_at = Some(now);
            }
            service.home = home;
        }
        // The relay list grows at the first start, so a later home may have a predecessor. Only the first chosen home
        // can skip the wait for one.
        if has_chosen {
            self.is_first_start = false;
        }
    }
}
