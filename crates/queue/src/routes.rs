//! The routes in force, and what a change of them does to the messages that are held.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use pewterseam_config::{CompiledConfig, Route};
use pewterseam_wire::Micros;
use pewterseam_wire::record::{End, Record, RouteKey};

use crate::io::{Effect, MessageKey, Submission};
use crate::machine::Queue;
use crate::message::Stage;

/// The longest retention, also that of a route that names none: longer than any process runs, and far from an overflow in
/// microseconds.
const LONGEST_RETENTION_MS: u64 = u64::MAX / 2_000_000;

/// What a route asks of its messages.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePolicy {
    pub service: Arc<str>,
    pub priority: u8,
    pub timeout_ms: u64,
    pub schedule_target_ms: u64,
    /// 0: no limit.
    pub max_attempts: u32,
    pub retention_ms: u64,
}

/// The routes in force.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    pub version: u64,
    pub routes: HashMap<RouteKey, RoutePolicy>,
}

/// How one table of routes differs from the one before, and which messages that concerns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteChanges {
    pub added: usize,
    pub dropped: usize,
    /// Routes whose messages another service runs.
    pub moved: usize,
    /// Routes that differ in something else.
    pub altered: usize,
    /// Messages held here whose route was dropped.
    pub messages_dropped: usize,
    /// Messages held here whose route was moved.
    pub messages_moved: usize,
}

impl RoutePolicy {
    fn of(route: &Route) -> Self {
        RoutePolicy {
            service: route.backend.clone(),
            priority: u8::try_from(route.priority).unwrap_or(u8::MAX),
            timeout_ms: route.timeout_ms.ceil() as u64,
            schedule_target_ms: route.schedule_target_ms.ceil() as u64,
            max_attempts: route.max_attempts,
            retention_ms: route.retention_ms().min(LONGEST_RETENTION_MS),
        }
    }

    /// Whether a message that has failed so often has ended.
    pub(crate) fn is_used_up(&self, failures: u32) -> bool {
        self.max_attempts > 0 && failures >= self.max_attempts
    }

    /// What a message that has failed so often is handed to the runner with.
    pub(crate) fn submission(&self, failures: u32, due_at: Micros) -> Submission {
        Submission {
            service: self.service.clone(),
            priority: self.priority,
            timeout_ms: self.timeout_ms,
            schedule_target_ms: self.schedule_target_ms,
            retention_ms: self.retention_ms,
            failures,
            due_at,
        }
    }
}

impl RouteTable {
    /// The routes of a configuration.
    pub fn of(config: &CompiledConfig) -> Self {
        let routes = config.routes().map(|route| (route.key(), RoutePolicy::of(route))).collect();
        RouteTable { version: config.version, routes }
    }

    pub(crate) fn policy(&self, route: Option<&RouteKey>) -> Option<&RoutePolicy> {
        self.routes.get(route?)
    }

    /// The route that a message falls under, as if it came now.
    fn find(&self, record: &Record) -> Option<&RouteKey> {
        let matches = |route: &&RouteKey| route.matches(&record.host, &record.target);
        self.routes.keys().filter(matches).max_by_key(|route| route.path_prefix.len())
    }

    /// How the routes differ from those before.
    fn changes_since(&self, before: &RouteTable) -> RouteChanges {
        let mut changes = RouteChanges::default();
        for (route, policy) in &self.routes {
            match before.routes.get(route) {
                None => changes.added += 1,
                Some(former) if former.service != policy.service => changes.moved += 1,
                Some(former) if former != policy => changes.altered += 1,
                Some(_) => {}
            }
        }
        changes.dropped = before.routes.keys().filter(|route| !self.routes.contains_key(*route)).count();
        changes
    }

    fn is_moved_since(&self, before: &RouteTable, route: Option<&RouteKey>) -> bool {
        let (former, present) = (before.policy(route), self.policy(route));
        matches!((former, present), (Some(former), Some(present)) if former.service != present.service)
    }
}

impl fmt::Display for RouteChanges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RouteChanges { added, dropped, moved, altered, messages_dropped, messages_moved } = self;
        write!(
            f,
            "routes: {added} added, {dropped} dropped, {moved} moved to another service, {altered} altered; messages \
             held: {messages_dropped} of dropped routes, {messages_moved} of moved ones"
        )
    }
}

impl Queue {
    /// What a table of routes would change; asked before [`Queue::set_routes`].
    pub fn route_changes(&self, routes: &RouteTable) -> RouteChanges {
        let mut changes = routes.changes_since(&self.routes);
        for message in self.messages.values() {
            let route = message.route.as_ref();
            changes.messages_dropped += usize::from(route.is_some() && routes.policy(route).is_none());
            changes.messages_moved += usize::from(routes.is_moved_since(&self.routes, route));
        }
        changes
    }

    /// A configuration is in force. Messages whose route it dropped have ended; those that were submitted go by what it says
    /// of their route from now on.
    pub fn set_routes(&mut self, now: Micros, routes: Arc<RouteTable>) -> Vec<Effect> {
        self.now = now;
        let before = std::mem::replace(&mut self.routes, routes);
        for key in self.keys(|stage| matches!(stage, Stage::Waiting | Stage::Running)) {
            self.follow_route(key, &before);
        }
        self.take_effects()
    }

    /// Finds the route of a message whose record does not tell it, in the first configuration that is not older than the one
    /// under which it was taken.
    pub(crate) fn find_route(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        if message.route.is_none() && self.routes.version >= message.record.config_version {
            message.route = self.routes.find(&message.record).cloned();
        }
    }

    /// Whether the configuration in force dropped the route of a message. One that is older than the one under which the
    /// message was taken says nothing of it.
    pub(crate) fn is_route_dropped(&self, key: MessageKey) -> bool {
        let Some(message) = self.messages.get(&key) else { return false };
        let is_missing = self.routes.policy(message.route.as_ref()).is_none();
        is_missing && self.routes.version >= message.record.config_version
    }

    fn follow_route(&mut self, key: MessageKey, before: &RouteTable) {
        self.find_route(key);
        if self.is_route_dropped(key) {
            return self.route_dropped(key);
        }
        let Some(message) = self.messages.get_mut(&key) else { return };
        let route = message.route.clone();
        let Some(policy) = self.routes.policy(route.as_ref()) else { return };
        if message.stage == Stage::Waiting {
            // Without its route it was not started, and has no timer.
            return self.start_if_due(key);
        }
        if before.policy(route.as_ref()) == Some(policy) {
            return;
        }
        let submission = policy.submission(message.failures, message.first_run_due(self.now));
        self.effects.push(Effect::Revise { key, submission });
        let is_moved = self.routes.is_moved_since(before, route.as_ref());
        if is_moved && let Some(unsent) = message.confirmation.take() {
            self.effects.push(Effect::RefuseSend { attempt: unsent.attempt });
        }
    }

    fn route_dropped(&mut self, key: MessageKey) {
        let is_running = self.messages.get(&key).is_some_and(|message| message.stage == Stage::Running);
        if is_running {
            self.effects.push(Effect::Withdraw { key });
        }
        self.end(key, End::RouteDropped);
    }
}
