//! The routes in force, and the effect of a change of routes on the messages held.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use pewterseam_config::{CompiledConfig, Route};
use pewterseam_wire::Micros;
use pewterseam_wire::record::{End, Record, RouteKey};

use crate::io::{Effect, MessageKey, Submission};
use crate::machine::Queue;
use crate::message::Stage;

/// Maximum retention, also for a route that sets none. It is longer than any process runs and does not overflow when
/// converted to microseconds.
const MAX_RETENTION_MS: u64 = u64::MAX / 2_000_000;

/// Settings of a route that apply to its messages.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePolicy {
    pub service: Arc<str>,
    pub priority: u8,
    pub timeout_ms: u64,
    pub schedule_target_ms: u64,
    /// 0 means no limit.
    pub max_attempts: u32,
    pub retention_ms: u64,
}

/// The routes in force.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    pub version: u64,
    pub routes: HashMap<RouteKey, RoutePolicy>,
}

/// Differences between two route tables, and the number of messages held that they affect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteChanges {
    pub added: usize,
    pub dropped: usize,
    /// Routes whose messages now go to another service.
    pub moved: usize,
    /// Routes of the same service that differ in another setting.
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
            retention_ms: route.retention_ms().min(MAX_RETENTION_MS),
        }
    }

    /// Whether a message with this many failures has used all its attempts.
    pub(crate) fn has_used_all_attempts(&self, failures: u32) -> bool {
        self.max_attempts > 0 && failures >= self.max_attempts
    }

    /// The submission of a message with this many failures.
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
    pub fn from_config(config: &CompiledConfig) -> Self {
        let routes = config.routes().map(|route| (route.key(), RoutePolicy::of(route))).collect();
        RouteTable { version: config.version, routes }
    }

    pub(crate) fn policy(&self, route: Option<&RouteKey>) -> Option<&RoutePolicy> {
        self.routes.get(route?)
    }

    /// The route that the message would match if it were submitted now.
    fn find(&self, record: &Record) -> Option<&RouteKey> {
        let matches = |route: &&RouteKey| route.matches(&record.host, &record.target);
        self.routes.keys().filter(matches).max_by_key(|route| route.path_prefix.len())
    }

    /// How the routes differ from the previous ones.
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
    /// What a new route table would change. Called before [`Queue::set_routes`].
    pub fn route_changes(&self, routes: &RouteTable) -> RouteChanges {
        let mut changes = routes.changes_since(&self.routes);
        for message in self.messages.values() {
            let route = message.route.as_ref();
            changes.messages_dropped += usize::from(route.is_some() && routes.policy(route).is_none());
            changes.messages_moved += usize::from(routes.is_moved_since(&self.routes, route));
        }
        changes
    }

    /// Puts new routes in force. Ends the messages whose route was dropped, and revises submitted messages whose
    /// route has changed.
    pub fn set_routes(&mut self, now: Micros, routes: Arc<RouteTable>) -> Vec<Effect> {
        self.now = now;
        let before = std::mem::replace(&mut self.routes, routes);
        for key in self.keys(|stage| matches!(stage, Stage::Waiting | Stage::Running)) {
            self.apply_route_change(key, &before);
        }
        self.take_effects()
    }

    /// Finds the route of a message whose record does not contain it. Uses the first configuration that is at least
    /// as new as the one under which the message was accepted.
    pub(crate) fn find_route(&mut self, key: MessageKey) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        if message.route.is_none() && self.routes.version >= message.record.config_version {
            message.route = self.routes.find(&message.record).cloned();
        }
    }

    /// Whether the configuration in force has dropped the route of the message. A configuration older than the one
    /// under which the message was accepted does not count.
    pub(crate) fn is_route_dropped(&self, key: MessageKey) -> bool {
        let Some(message) = self.messages.get(&key) else { return false };
        let is_missing = self.routes.policy(message.route.as_ref()).is_none();
        is_missing && self.routes.version >= message.record.config_version
    }

    fn apply_route_change(&mut self, key: MessageKey, before: &RouteTable) {
        self.find_route(key);
        if self.is_route_dropped(key) {
            return self.end_for_dropped_route(key);
        }
        let Some(message) = self.messages.get_mut(&key) else { return };
        let route = message.route.clone();
        let Some(policy) = self.routes.policy(route.as_ref()) else { return };
        if message.stage == Stage::Waiting {
            // The message could not start without its route, so it has no timer.
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

    fn end_for_dropped_route(&mut self, key: MessageKey) {
        let is_running = self.messages.get(&key).is_some_and(|message| message.stage == Stage::Running);
        if is_running {
            self.effects.push(Effect::Withdraw { key });
        }
        self.end(key, End::RouteDropped);
    }
}
