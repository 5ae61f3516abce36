//! The rules on what is read of a message: LOST and MIXED.

use std::sync::Arc;

use bytes::Bytes;
use pewterseam_queue::StatusResult;
use pewterseam_wire::Micros;
use pewterseam_wire::record::End;

use super::{CONTACT, Judge, Told, Try};
use crate::history::Interval;
use crate::plan::SECOND;
use crate::report::Rule;

/// So long after it was accepted a message may be unknown to a relay.
const KNOWN_WITHIN: Micros = 2 * SECOND;
/// So long a message that is due may be without a host while all is calm.
const LEFT_LYING: Micros = 6 * SECOND;
/// While other messages succeed, hosts are busy.
const BUSY: Micros = 3 * SECOND;

impl Judge {
    /// The state of a message is read while there is traffic.
    pub fn state_read(&mut self, interval: Interval, id: &Arc<str>, state: &StatusResult) {
        let Interval { sent_at, answered_at } = interval;
        self.note(answered_at, id, format!("its state is read: {state:?}, asked for at {sent_at}"));
        let Some(message) = self.tries.get(id) else { return };
        let Told::Accepted { at, .. } = message.told else { return };
        let is_due = sent_at > at + KNOWN_WITHIN && self.is_calm(sent_at) && self.is_calm(answered_at);
        match state {
            StatusResult::Unknown if is_due => {
                self.breach(Some(id), Rule::Lost, format!("{id} was accepted and is said to be unknown"));
            }
            StatusResult::Ended(_) => self.check_end(answered_at, id, state),
            _ => {}
        }
    }

    /// MIXED: success has a host's signature, and a dead letter has ended.
    fn check_end(&mut self, now: Micros, id: &Arc<str>, state: &StatusResult) {
        let Some(message) = self.tries.get(id) else { return };
        let wrong = match state {
            StatusResult::Ended(End::Completed { signature }) => {
                let is_signed = message.signatures.contains(signature);
                (!is_signed).then_some("is completed without a host's signature")
            }
            StatusResult::Ended(_) => (!message.is_ended(&self.routes, self.retention, now))
                .then_some("is a dead letter and has not ended"),
            _ => None,
        };
        if let Some(what) = wrong {
            self.breach(Some(id), Rule::Mixed, format!("{id} {what}"));
        }
    }

    /// The state of an accepted message at the end; none if no relay can tell.
    pub fn final_state(&mut self, now: Micros, id: &Arc<str>, state: Option<&StatusResult>) {
        self.note(now, id, format!("its state is read: {state:?}"));
        let Some(message) = self.tries.get(id) else { return };
        match state {
            Some(StatusResult::Pending) => self.check_pending(now, id),
            Some(StatusResult::Ended(_)) => {
                state.into_iter().for_each(|state| self.check_end(now, id, state))
            }
            Some(StatusResult::Unknown) | None if !message.is_ended(&self.routes, self.retention, now) => {
                let what = format!("{id} was accepted, has not ended, and its state does not come");
                self.breach(Some(id), Rule::Lost, what);
            }
            Some(StatusResult::Unknown) | None => {}
        }
    }

    /// LOST: a message that is left lying though its time has come and hosts are idle.
    fn check_pending(&mut self, now: Micros, id: &Arc<str>) {
        let Some(message) = self.tries.get(id) else { return };
        let begins = message.earliest.max(message.last_run_at) + LEFT_LYING;
        let is_calm = !self.troubles.iter().any(|(_, until)| *until + CONTACT + LEFT_LYING >= now);
        let has_failed = |other: &Try| {
            !other.is_ended(&self.routes, self.retention, now) && other.failures + other.whole_refusals > 0
        };
        let of_key = message.key.iter().flat_map(|key| &self.keys[key]);
        let fails = has_failed(message) || of_key.filter_map(|id| self.tries.get(id)).any(has_failed);
        let is_busy = self.last_success_at + BUSY >= now;
        if now > begins
            && is_calm
            && !fails
            && !is_busy
            && !message.is_ended(&self.routes, self.retention, now)
        {
            self.breach(Some(id), Rule::Lost, format!("{id} is pending, and no host has had it"));
        }
    }

    /// The body of an accepted message that has not ended; none if no relay can tell.
    pub fn final_body(&mut self, now: Micros, id: &Arc<str>, body: Option<&Bytes>) {
        let Some(message) = self.tries.get(id) else { return };
        if message.is_ended(&self.routes, self.retention, now) {
            return;
        }
        let wrong = match body {
            None => Some((Rule::Lost, "was accepted, has not ended, and its body does not come")),
            Some(body) if *body != message.body => Some((Rule::Mixed, "has another body")),
            Some(_) => None,
        };
        if let Some((rule, what)) = wrong {
            self.note(now, id, "its body is read".to_owned());
            self.breach(Some(id), rule, format!("{id} {what}"));
        }
    }
}
