//! The delivery state machine: handles inputs, lets the brain decide, and returns effects.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam::Brain;
use pewterseam::interface::{Action, Event, History, HostId, MessageId, RegistryUpdate, Request};
use pewterseam::memo::{self, Purpose};
use pewterseam_permits::{Permit, PermitEffect, Permits, Settings as PermitSettings};
use pewterseam_wire::Micros;
use pewterseam_wire::frame;
use pewterseam_wire::identity::NodeName;

use crate::attempts::Attempt;
use crate::backoff::{AFTER_BRAIN_GAVE_UP, AFTER_FAILURE};
use crate::connections::IdleConnections;
use crate::hosts::Hosts;
use crate::interface::{AttemptId, Effect, Input, ServiceConfig, Submission};
use crate::messages::Messages;
use crate::numbering::ServiceNumber;
use crate::peers::{PeerMessage, Peers};
use crate::services::Services;
use crate::settings::{BrainSettings, DeliverySettings};
use crate::spread::RelayPosition;

/// Maximum number of brain steps in one step, as each may make further decisions possible.
const MAX_ROUNDS: usize = 8;
/// Minimum delay of a requested wake-up.
const MIN_WAKE_DELAY: Micros = 20_000;
/// Interval at which the brain is asked for ejected hosts, while there are any.
const EJECTION_CHECK_INTERVAL: Micros = 500_000;

/// Delivery of due messages by one relay.
pub struct Delivery {
    pub(crate) settings: DeliverySettings,
    pub(crate) now: Micros,
    pub(crate) brain: Brain,
    brain_settings: BrainSettings,
    /// The next events for the brain. `brain_wake` is the time at which the brain wants to be called without events.
    pub(crate) events: Vec<Event>,
    brain_wake: Micros,
    pub(crate) services: Services,
    pub(crate) hosts: Hosts,
    pub(crate) messages: Messages,
    pub(crate) attempts: HashMap<AttemptId, Attempt>,
    pub(crate) last_attempt: u64,
    pub(crate) permits: Permits,
    pub(crate) peers: Peers,
    pub(crate) idle: IdleConnections,
    pub(crate) check_at: Option<Micros>,
    stopping: bool,
    pub(crate) effects: Vec<Effect>,
}

impl Delivery {
    pub fn new(settings: DeliverySettings) -> Self {
        let brain_settings = BrainSettings::new(&settings);
        let brain = Brain::new(brain_settings.current.clone(), settings.seed);
        let permits = Permits::new(PermitSettings {
            me: settings.me.clone(),
            life: settings.life,
            window: settings.origin_window,
            overshoot: settings.origin_overshoot,
            bootstrap: settings.bootstrap,
            core_lease: settings.core_lease,
            homes_are_agreed: settings.homes_are_agreed,
        });
        Delivery {
            now: 0,
            brain,
            brain_settings,
            events: Vec::new(),
            brain_wake: 0,
            services: Services::default(),
            hosts: Hosts::default(),
            messages: Messages::default(),
            attempts: HashMap::new(),
            last_attempt: 0,
            permits,
            peers: Peers::new(settings.me.clone()),
            idle: IdleConnections::default(),
            check_at: None,
            stopping: false,
            effects: Vec::new(),
            settings,
        }
    }

    /// Number of held messages that are not in flight, and number of attempts in flight.
    pub fn message_counts(&self) -> (usize, usize) {
        (self.messages.len() - self.messages.in_flight(), self.attempts.len())
    }

    /// Handles all inputs, then lets the brain decide.
    pub fn step(&mut self, now: Micros, inputs: impl IntoIterator<Item = Input>) -> Vec<Effect> {
        self.now = now;
        inputs.into_iter().for_each(|input| self.handle_input(input));
        self.messages.enqueue_due(now);
        self.step_permits();
        self.decide();
        if self.check_hosts() {
            self.decide();
        }
        self.effects.extend(self.peers.flush());
        let wakes = [self.messages.next_at(), self.hosts.next_at(), self.permits.next_at(now), self.check_at];
        let next = wakes.into_iter().flatten().fold(self.brain_wake, Micros::min);
        let next = if self.events.is_empty() { next } else { now };
        self.effects.push(Effect::Wake(next.max(now + MIN_WAKE_DELAY)));
        std::mem::take(&mut self.effects)
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Services(services) => self.set_services(services),
            Input::Hosts(instances) => self.hosts.set_list(instances, &self.services, self.now),
            Input::Relays(relays) => self.set_relays(relays),
            Input::AgreedHomes(homes) => self.permits.set_agreed_homes(self.now, &homes),
            Input::Submit(submission) => self.submit(submission),
            Input::Update(submission) => self.revise(submission),
            Input::Withdraw { key } => self.withdraw(key),
            Input::Opened { attempt } => self.opened(attempt),
            Input::Ended { attempt, end } => self.ended(attempt, &end),
            Input::Probed { host, healthy } => self.probed(host, healthy),
            Input::Peer { from, bytes } => self.receive_from_peer(&from, &bytes),
            Input::CoreLease { until } => self.permits.set_core_lease(self.now, until),
            Input::Stop { by } => {
                self.stopping = true;
                self.hosts.stop();
                self.events.push(Event::Stop { by });
            }
            Input::HandOver => self.permits.hand_over(self.now),
            Input::Tick => {}
        }
    }

    fn set_services(&mut self, services: Vec<ServiceConfig>) {
        let limited = services.iter().filter(|service| service.is_limited());
        let limited: Vec<_> = limited.map(|service| (service.name.clone(), service.rate_per_s)).collect();
        let numbered = |name: &Arc<str>| (name.clone(), self.services.number(name));
        let before: Vec<_> = self.messages.services().map(numbered).collect();
        self.services.replace(services);
        self.hosts.refresh(&self.services);
        self.idle.retain(|name| self.services.get(name).is_some());
        self.permits.set_services(self.now, limited);
        // The brain knows messages by the former number of their service.
        let is_renumbered = |(name, known): &(Arc<str>, ServiceNumber)| self.services.number(name) != *known;
        let renumbered = before.into_iter().filter(is_renumbered).map(|(name, _)| name).collect();
        let forgotten = self.messages.requeue_offered(&renumbered);
        self.events.extend(forgotten.into_iter().map(Event::Withdrawn));
    }

    fn set_relays(&mut self, relays: Vec<NodeName>) {
        self.peers.set_relays(relays);
        let relays = self.peers.relays();
        self.permits.set_relays(self.now, relays);
        let (count, me) = (relays.len(), self.peers.rank(&self.settings.me));
        self.brain_settings.set_rank(me.unwrap_or(0), count as u16);
        let rank = usize::from(me.unwrap_or(0));
        self.hosts.set_position(RelayPosition { rank, relays: count }, &self.services);
    }

    fn submit(&mut self, submission: Submission) {
        let failures = submission.failures;
        let pause = || AFTER_FAILURE.delay(failures, self.now, self.settings.seed ^ submission.key);
        let delay_until = (failures > 0).then(|| self.now + pause());
        self.messages.add(submission, delay_until);
    }

    /// Replaces the submission of a message.
    fn revise(&mut self, submission: Submission) {
        if let Some(id) = self.messages.revise(submission) {
            self.events.push(Event::Withdrawn(id));
        }
    }

    /// Removes a message. An attempt in flight continues.
    pub(crate) fn withdraw(&mut self, key: u64) {
        if let Some(id) = self.messages.remove(key) {
            self.events.push(Event::Withdrawn(id));
        }
    }

    fn receive_from_peer(&mut self, from: &NodeName, bytes: &Bytes) {
        let Ok(message) = frame::decode::<PeerMessage>(bytes) else { return };
        match message {
            PeerMessage::Permits(message) => self.permits.receive(self.now, from, message),
            PeerMessage::Decisions(memos) => self.receive_memos(from, &memos),
            PeerMessage::Spread { ref root, ref memos } => {
                self.receive_memos(root, memos);
                self.peers.forward(root, &message);
            }
        }
    }

    fn receive_memos(&mut self, from: &NodeName, memos: &[Bytes]) {
        let Some(from) = self.peers.rank(from) else { return };
        self.events.extend(memos.iter().map(|memo| Event::Peer { from, bytes: memo.to_vec() }));
    }

    /// Steps the permits, and stops calls to limited services without an available permit.
    pub(crate) fn step_permits(&mut self) {
        let limited = self.services.all().filter(|service| service.is_limited());
        let names: Vec<_> = limited.map(|service| service.name.clone()).collect();
        for name in &names {
            self.permits.set_demand(name, self.messages.demand(name));
        }
        for PermitEffect::Send { to, message } in self.permits.step(self.now) {
            self.peers.send(to, &PeerMessage::Permits(message));
        }
        let events = self.permits.take_events(self.now).into_iter();
        self.effects.extend(events.map(|(service, event)| Effect::ReportHome { service, event }));
        for name in &names {
            let lacks_permit = self.permits.available(self.now, name) == 0;
            self.hosts.set_without_permit(name, lacks_permit);
        }
    }

    /// Steps the brain until no further events follow.
    fn decide(&mut self) {
        for _ in 0..MAX_ROUNDS {
            self.offer_messages();
            let (listed, gone) = self.hosts.changes(&self.services, &self.messages, self.now);
            self.effects.extend(gone.into_iter().map(|target| Effect::CloseIdle { address: target.address }));
            let mut events = Vec::with_capacity(self.events.len() + 2);
            if std::mem::take(&mut self.brain_settings.changed) {
                events.push(Event::SettingsChanged(self.brain_settings.current.clone()));
            }
            if !listed.is_empty() {
                events.push(Event::Registry(RegistryUpdate::Changes(listed)));
            }
            events.append(&mut self.events);
            if events.is_empty() && self.now < self.brain_wake {
                return;
            }
            if events.is_empty() {
                events.push(Event::Timer);
            }
            self.brain_wake = if self.brain_wake <= self.now { Micros::MAX } else { self.brain_wake };
            for action in self.brain.step(self.now, events) {
                self.execute(action);
            }
        }
    }

    fn offer_messages(&mut self) {
        if self.stopping {
            return;
        }
        for (id, key) in self.messages.offer_next() {
            let Some(held) = self.messages.get(key) else { continue };
            let Submission { schedule_target, priority, due_at, ref service, .. } = held.submission;
            let (class, deadline) = self.brain_settings.class(schedule_target, priority, due_at, self.now);
            let history = History { restored: true, ..History::default() };
            let destination = self.services.number(service).destination;
            let request = Request { id, class, destination, tenant: 0, key: None, deadline, history };
            self.events.push(Event::Message(request));
        }
        // The brain must know a class before the first message of that class.
        if std::mem::take(&mut self.brain_settings.changed) {
            self.events.insert(0, Event::SettingsChanged(self.brain_settings.current.clone()));
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, host, connect, .. } => self.start(id, host, connect),
            // `opened` decides whether the request is written to an opened connection; the brain is not asked.
            Action::Write { .. } | Action::Withhold { .. } => {}
            Action::Cancel { id, attempt } => self.abort(id, attempt),
            Action::Refuse { id, .. } | Action::Fail(id) => self.retry_later(id),
            // The brain logs when its verdict on a host changes.
            Action::Log(_) => self.check_at = Some(self.now),
            Action::Probe(_) | Action::Subscribe => {}
            Action::CloseIdle(host) => {
                let address = self.hosts.get(host).map(|host| host.target.address);
                self.effects.extend(address.map(|address| Effect::CloseIdle { address }));
            }
            Action::Tell { to, bytes } => self.send_memo(to, bytes),
            Action::Wake(at) => self.brain_wake = at,
        }
    }

    /// Delays a message that the brain gave up, and offers it again later.
    fn retry_later(&mut self, id: MessageId) {
        let Some(key) = self.messages.key(id) else { return };
        let delay = AFTER_BRAIN_GAVE_UP.delay(1, self.now, self.settings.seed ^ key);
        self.messages.delay(key, self.now + delay);
    }

    /// Queues a memo for peers. Round reports are needed only for services with a rate limit.
    fn send_memo(&mut self, to: Option<u16>, bytes: Vec<u8>) {
        let is_needed = memo::decode(&bytes).is_some_and(|memo| {
            let service =
                self.services.name(memo.record.destination).and_then(|name| self.services.get(name));
            memo.purpose != Purpose::Round || service.is_some_and(|service| service.is_limited())
        });
        if is_needed {
            self.peers.queue_memo(to, bytes);
        }
    }

    /// Updates the ejected hosts from the brain, and starts health checks for them. Returns false if no update is due.
    fn check_hosts(&mut self) -> bool {
        if self.check_at.take_if(|at| *at <= self.now).is_none() {
            return false;
        }
        let ejected: Vec<HostId> = self.brain.learnt().out.into_iter().map(|(id, _)| id).collect();
        self.hosts.update_ejected(&ejected, self.now, self.settings.seed);
        for (host, target, service) in self.hosts.due_checks(self.now) {
            // Requests to a limited service need a permit, so it gets no health checks.
            let Some(service) = self.services.get(&service).filter(|service| !service.is_limited()) else {
                continue;
            };
            let (path, timeout) = (service.health_path.clone(), self.settings.connect_timeout);
            self.effects.push(Effect::Probe { host, target, path, timeout });
        }
        self.check_at = (!ejected.is_empty()).then_some(self.now + EJECTION_CHECK_INTERVAL);
        true
    }

    /// Takes a permit for an attempt if its service needs one. Fails if none is available.
    pub(crate) fn take_permit(&mut self, service: &str) -> Result<Option<Permit>, NoPermit> {
        if !self.permits.is_limited(service) {
            return Ok(None);
        }
        self.permits.take(self.now, service).map(Some).ok_or(NoPermit)
    }
}

/// This relay holds no permit for a limited service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoPermit;
