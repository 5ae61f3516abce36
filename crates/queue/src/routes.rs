//! The routes in force, and what a change of them does to the messages that are held.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use pewterseam_wire::Micros;

use pewterseam_wire::record::End;

use crate::io::{Effect, MessageKey, Submission};
use crate::machine::Queue;
use crate::message::Stage;

/// What a route asks of its messages.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePolicy {
    pub service: Arc<str>,
    pub priority: u8,
    pub timeout_ms: u64,
    pub schedule_target_ms: u64,
    pub max_attempts: u32,
    pub retention_ms: u64,
}

/// The routes in force, by name.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    pub version: u64,
    pub routes: HashMap<Arc<str>, RoutePolicy>,
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
    /// How the routes differ from those before.
    fn changes_since(&self, before: &RouteTable) -> RouteChanges {
        let mut changes = RouteChanges::default();
        for (name, policy) in &self.routes {
            match before.routes.get(name) {
                None => changes.added += 1,
                Some(former) if former.service != policy.service => changes.moved += 1,
                Some(former) if former != policy => changes.altered += 1,
                Some(_) => {}
            }
        }
        changes.dropped = before.routes.keys().filter(|name| !self.routes.contains_key(*name)).count();
        changes
    }

    fn is_moved_since(&self, before: &RouteTable, route: &str) -> bool {
        let service = |table: &RouteTable| table.routes.get(route).map(|policy| policy.service.clone());
        matches!((service(before), service(self)), (Some(former), Some(present)) if former != present)
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
            let route = &message.record.route;
            changes.messages_dropped += usize::from(!routes.routes.contains_key(route));
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

    /// Whether the configuration in force dropped the route of a message. One that is older than the one under which the
    /// message was taken says nothing of it.
    pub(crate) fn is_route_dropped(&self, key: MessageKey) -> bool {
        let Some(message) = self.messages.get(&key) else { return false };
        let is_missing = !self.routes.routes.contains_key(&message.record.route);
        is_missing && self.routes.version >= message.record.config_version
    }

    fn follow_route(&mut self, key: MessageKey, before: &RouteTable) {
        if self.is_route_dropped(key) {
            return self.route_dropped(key);
        }
        let Some(message) = self.messages.get_mut(&key) else { return };
        let route = message.record.route.clone();
        let Some(policy) = self.routes.routes.get(&route) else { return };
        if message.stage == Stage::Waiting {
            // Without its route it was not started, and has no timer.
            return self.start_if_due(key);
        }
        if before.routes.get(&route) == Some(policy) {
            return;
        }
        let submission = policy.submission(message.failures, message.first_run_due(self.now));
        self.effects.push(Effect::Revise { key, submission });
        let is_moved = self.routes.is_moved_since(before, &route);
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
