//! The time bounds of DRAIN and CONFIG: what machines in touch must know by then.

use std::sync::Arc;

use pewterseam_wire::Micros;

use super::Judge;
use super::handling::Handled;
use crate::event::Life;
use crate::plan::{MILLISECOND, SECOND};
use crate::report::Rule;

/// `drainMs`.
const DRAINED_WITHIN: Micros = 3 * SECOND;
/// A relay has been handed what a client sent so long ago.
const TAKEN_WITHIN: Micros = 100 * MILLISECOND;

impl Judge {
    /// Whether a request was taken by a machine in touch, and is handled by one.
    fn is_handled_in_touch(&self, now: Micros, id: &Arc<str>, handler: Life) -> bool {
        let Some(message) = self.tries.get(id) else { return false };
        let taken_by = (message.sent_at + TAKEN_WITHIN).min(now);
        let taker = message.taker.machine;
        [(taker, message.sent_at), (taker, taken_by), (handler.machine, now)]
            .into_iter()
            .all(|(machine, moment)| self.touch.is_in_touch(machine, moment))
    }

    /// DRAIN: a host that the list shows as draining since then receives a request.
    pub fn draining_host_receives(&mut self, now: Micros, id: &Arc<str>, sender: Life, since: Micros) {
        if now > since + DRAINED_WITHIN && self.is_handled_in_touch(now, id, sender) {
            let late = (now - since) / MILLISECOND;
            let what =
                format!("{id} comes from machine {} to a host {late} ms after it drains", sender.machine);
            self.breach(Some(id), Rule::Drain, what);
        }
    }

    /// CONFIG: a client's request is refused as one without a route.
    pub fn refused_without_route(&mut self, now: Micros, id: &Arc<str>, handler: Life) {
        let Some(message) = self.tries.get(id) else { return };
        let sent_at = message.sent_at;
        self.handled(now, id, handler, Handled { service: None, sent_at });
    }

    /// CONFIG: a request runs at a service, or is refused as one without a route.
    pub(super) fn handled(&mut self, now: Micros, id: &Arc<str>, handler: Life, handled: Handled<'_>) {
        let Some(message) = self.tries.get(id) else { return };
        let route = message.route.clone();
        let done = handled.service.map_or("is refused".to_owned(), |service| format!("runs at {service}"));
        if let Some(version) = self.handling.passed_over(&route, handled)
            && self.is_handled_in_touch(now, id, handler)
        {
            let what = format!("{id} of {route} was sent on long after version {version}, and {done}");
            self.breach(Some(id), Rule::Config, what);
        }
        if let Some(version) = self.handling.downgraded_from(now, handler, &route, handled) {
            let machine = handler.machine;
            let what = format!("{id} of {route} {done}, and machine {machine} has shown version {version}");
            self.breach(Some(id), Rule::Downgrade, what);
        }
    }
}
