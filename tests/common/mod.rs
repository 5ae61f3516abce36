//! A sender under test: settings, a clock, and the actions that it returned. Destinations are not modelled.
#![allow(dead_code)]

use pewterseam::Brain;
use pewterseam::interface::*;

pub const SECOND: Micros = 1_000_000;
pub const MILLI: Micros = 1000;
pub const START: Micros = 100 * SECOND;

/// Class numbers of [`settings`].
pub const FREE: usize = 0;
pub const GUARDED: usize = 1;
pub const ONCE: usize = 2;

pub fn settings() -> Settings {
    let class = |effect, value, in_order| Class {
        effect,
        value,
        late_share: 0.2,
        target_latency: 2 * SECOND,
        deadline: 12 * SECOND,
        in_order,
    };
    let guarded = Effect::Guarded { window: 4 * SECOND, group: Group::All };
    Settings {
        me: 0,
        senders: 2,
        classes: vec![
            class(Effect::Free, 1.0, false),
            class(guarded, 2.0, true),
            class(Effect::SingleShot, 4.0, false),
        ],
        kinds: vec![Kind { limit_per_host: false, max_bundle: 1 }],
        tenants: Vec::new(),
        over_quota_value: 1.0,
        value_decay: ValueDecay::Linear,
        slots: 8,
        max_held: 60,
        max_attempts: 6,
        may_message_peers: true,
        max_retry_after: 3 * SECOND,
        idle_close: 15 * SECOND,
        connect_timeout: SECOND,
        ends_by_notice: false,
        weight_meaning: WeightMeaning::ExactRate,
        polls_registry: false,
        max_poll_pause: 10 * SECOND,
        drain_grace: SECOND,
        cold_share: 0.2,
        cold_time: 10 * SECOND,
        overload_factor: 2.0,
        overload_window: 3 * SECOND,
        order_cooldown: 500 * MILLI,
    }
}

/// Settings where repeats of a guarded message are dropped in one zone only.
pub fn zoned() -> Settings {
    let mut settings = settings();
    settings.classes[GUARDED].effect = Effect::Guarded { window: 4 * SECOND, group: Group::Zone };
    settings
}

pub fn listed(host: u64, destination: DestinationId, weight: f64) -> ListedHost {
    let lifecycle = Lifecycle::Ready;
    ListedHost { host: HostId(host), zone: 0, kind: 0, destination, lifecycle, weight }
}

pub struct Sender {
    pub brain: Brain,
    pub now: Micros,
    pub settings: Settings,
    last_id: u64,
}

impl Sender {
    pub fn new(settings: Settings, hosts: &[ListedHost]) -> Self {
        Sender::seeded(7, settings, hosts)
    }

    pub fn seeded(seed: u64, settings: Settings, hosts: &[ListedHost]) -> Self {
        let mut sender =
            Sender { brain: Brain::new(settings.clone(), seed), now: START, settings, last_id: 0 };
        sender.step(vec![Event::Registry(RegistryUpdate::FullList(hosts.to_vec()))]);
        sender
    }

    pub fn step(&mut self, events: Vec<Event>) -> Vec<Action> {
        self.brain.step(self.now, events)
    }

    /// Lets `span` pass in small steps and collects the actions.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 10 * MILLI).min(end);
            actions.extend(self.step(vec![Event::Timer]));
        }
        actions
    }

    pub fn request(&mut self, class: usize, destination: DestinationId) -> Request {
        self.last_id += 1;
        let deadline = self.now + self.settings.classes[class].deadline;
        let id = MessageId(self.last_id);
        Request { id, class, destination, tenant: 0, key: None, deadline, history: History::default() }
    }

    pub fn submit(&mut self, class: usize, destination: DestinationId) -> (MessageId, Vec<Action>) {
        let request = self.request(class, destination);
        (request.id, self.step(vec![Event::Message(request)]))
    }

    pub fn outcome(&mut self, sent: &Sent, outcome: Outcome) -> Vec<Action> {
        let event = sent.ended(outcome);
        self.step(vec![event])
    }
}

/// An observed send, with the number of its attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub id: MessageId,
    pub host: HostId,
    pub attempt: u32,
    pub timeout: Micros,
}

impl Sent {
    pub fn ended(&self, outcome: Outcome) -> Event {
        Event::Ended(Ended {
            id: self.id,
            attempt: self.attempt,
            outcome,
            took: 200 * MILLI,
            closed: outcome == Outcome::Ok,
            limit: None,
            connection: None,
        })
    }
}

/// The sends among actions, as first attempts.
pub fn sends(actions: &[Action]) -> Vec<Sent> {
    let sent = |action: &Action| match *action {
        Action::Send { id, host, timeout, .. } => Some(Sent { id, host, attempt: 0, timeout }),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

pub fn refused(actions: &[Action]) -> Vec<MessageId> {
    let refusal = |action: &Action| match *action {
        Action::Refuse { id, .. } => Some(id),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

pub fn failed(actions: &[Action]) -> Vec<MessageId> {
    let failure = |action: &Action| match *action {
        Action::Fail(id) => Some(id),
        _ => None,
    };
    actions.iter().filter_map(failure).collect()
}
