//! The rules on runs at hosts: UNASKED, EARLY, TWICE, ORDER, BUDGET, CEILING, REFUSED, and one sending of an attempt.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_wire::Micros;

use super::{CONTACT, Handled, Judge, Told};
use crate::calls::CallKey;
use crate::configuration::{MOST_ATTEMPTS, RATE_PER_S};
use crate::event::Life;
use crate::hosts::Run;
use crate::plan::{MILLISECOND, SECOND};
use crate::report::Rule;

const ORIGIN_WINDOW: Micros = 5 * SECOND;
const ORIGIN_OVERSHOOT: f64 = 1.1;
const ORIGIN_SLACK: f64 = 5.0;
/// A sender that dies so soon after it read a success cannot have told it to stores that have synced it.
const TELLING: Micros = 40 * MILLISECOND;
/// The same while something is in trouble: two slow syncs.
const TELLING_IN_TROUBLE: Micros = 700 * MILLISECOND;

/// So many answers of 422 a message that is refused each time may get.
const MOST_REFUSALS: u32 = 3;

/// A message as a host sees it.
pub struct SentMessage<'a> {
    pub request_id: &'a Arc<str>,
    pub body: &'a Bytes,
    pub ordering_key: &'a Option<Arc<str>>,
}

impl Judge {
    fn is_excused(&self, (read_at, sender): (Micros, Life)) -> bool {
        let Some(died_at) = self.deaths.get(&sender).copied() else { return false };
        let was_trouble = self.troubles.iter().any(|(from, until)| *from < died_at && *until >= read_at);
        died_at <= read_at + if was_trouble { TELLING_IN_TROUBLE } else { TELLING }
    }

    /// A request arrives at the limited service. One that a cut held up does not count.
    pub fn arrived(&mut self, now: Micros, sender: Life, is_held_up: bool) {
        if !is_held_up {
            self.arrivals.push((now, sender.machine));
        }
    }

    /// A host begins to work on a message that came with this call.
    pub fn run_starts(&mut self, now: Micros, sent: &SentMessage<'_>, call: CallKey, service: &str) {
        let (id, sender) = (sent.request_id, call.life);
        let Some(message) = self.tries.get_mut(id) else {
            return self.breach(None, Rule::Unasked, format!("{id} was never sent"));
        };
        message.runs += 1;
        message.last_run_at = now;
        let (is_changed, is_early) = (message.body != *sent.body, now < message.earliest);
        let has_other_key = message.key != *sent.ordering_key;
        let read = message.success_read;
        self.note(
            now,
            id,
            format!("runs at {service} for machine {} life {}", sender.machine, sender.number),
        );
        if is_changed {
            self.breach(Some(id), Rule::Unasked, format!("{id} runs with another body"));
        }
        if has_other_key {
            self.breach(Some(id), Rule::Unasked, format!("{id} runs with the key {:?}", sent.ordering_key));
        }
        if is_early {
            self.breach(Some(id), Rule::Early, format!("{id} runs before its delay is over"));
        }
        if read.is_some_and(|read| !self.is_excused(read)) && self.is_calm(now) {
            self.breach(Some(id), Rule::Twice, format!("{id} runs again after its success was read"));
        }
        let sent_at = self.written.get(&call).copied().unwrap_or(now);
        self.handled(now, id, sender, Handled { service: Some(service), sent_at });
        self.check_order(now, id);
        self.check_budget(now, id);
    }

    /// BUDGET: a message that fails at each run is given up. Hosts count what they answered; the stricter bound counts
    /// what its senders have read, where none of them has died and there was no trouble since.
    fn check_budget(&mut self, now: Micros, id: &Arc<str>) {
        let Some(message) = self.tries.get(id).filter(|message| message.signatures.is_empty()) else {
            return;
        };
        let is_over = message.whole_failures >= 3 * MOST_ATTEMPTS || message.whole_refusals >= MOST_REFUSALS;
        if is_over && self.is_calm(now) {
            let (failures, refusals) = (message.whole_failures, message.whole_refusals);
            let what = format!("{id} runs after {failures} answers of 500 and {refusals} of 422");
            return self.breach(Some(id), Rule::Budget, what);
        }
        let read = &message.failures_read;
        let Some((first_at, _)) = read.first().filter(|_| read.len() >= MOST_ATTEMPTS as usize) else {
            return;
        };
        let has_died = read.iter().any(|(_, sender)| self.deaths.contains_key(sender));
        let was_trouble = self.troubles.iter().any(|(_, until)| *until + CONTACT >= *first_at);
        if !has_died && !was_trouble {
            let what = format!("{id} runs after {} answers of 500 were read", read.len());
            self.breach(Some(id), Rule::Budget, what);
        }
    }

    /// A request leaves its sender. Each attempt leaves once.
    pub fn written(&mut self, now: Micros, key: CallKey, id: &Arc<str>) {
        if self.written.insert(key, now).is_some() {
            self.breach(Some(id), Rule::SentTwice, format!("{id}: {key:?} is written twice"));
        }
    }

    fn check_order(&mut self, now: Micros, id: &Arc<str>) {
        let Some(message) = self.tries.get(id) else { return };
        let Some(key) = &message.key else { return };
        let is_before = |other: &&Arc<str>| {
            let Some(earlier) = self.tries.get(*other) else { return false };
            let accepted = matches!(earlier.told, Told::Accepted { at, .. } if at < message.sent_at);
            *other != id && accepted && earlier.ended_at.is_none()
        };
        let Some(earlier) = self.keys.get(key).and_then(|ids| ids.iter().find(is_before)).cloned() else {
            return;
        };
        let line = format!("{id} starts before it");
        self.note(now, &earlier, line);
        self.breach(Some(&earlier), Rule::Order, format!("{id} runs before {earlier} has ended"));
        self.breach(Some(id), Rule::Order, format!("{id} runs before {earlier} has ended"));
    }

    /// A host has done with a message and answers.
    pub fn run_ends(&mut self, now: Micros, run: &Run, signature: Option<Arc<str>>) {
        let (id, status) = (&run.request_id, run.status);
        let Some(message) = self.tries.get_mut(id) else { return };
        message.failures += u32::from(status == 500);
        // Nobody can know of an answer that does not leave its host whole.
        message.whole_failures += u32::from(status == 500 && !run.is_answer_lost);
        message.whole_refusals += u32::from(status == 422 && !run.is_answer_lost);
        if status == 200 || status == 422 || message.failures >= MOST_ATTEMPTS {
            message.ended_at.get_or_insert(now);
        }
        let line = format!("the host is done: {status} {signature:?}");
        message.signatures.extend(signature);
        self.note(now, id, line);
    }

    /// A host stops work on a message without a result.
    pub fn run_dropped(&mut self, now: Micros, id: &Arc<str>) {
        self.note(now, id, "the host drops it".to_owned());
    }

    /// The sender has read a success in time.
    pub fn success_read(&mut self, now: Micros, id: &Arc<str>, sender: Life) {
        if let Some(message) = self.tries.get_mut(id) {
            message.success_read.get_or_insert((now, sender));
        }
        self.last_success_at = now;
        self.note(now, id, "its sender reads the success".to_owned());
    }

    /// The sender has read an answer of 500.
    pub fn failure_read(&mut self, now: Micros, id: &Arc<str>, sender: Life) {
        if let Some(message) = self.tries.get_mut(id) {
            message.failures_read.push((now, sender));
        }
        self.note(now, id, "its sender reads the failure".to_owned());
    }

    pub(super) fn check_declined(&mut self) {
        let ran = self.tries.iter().filter(|(_, message)| message.told == Told::Declined && message.runs > 0);
        let ran: Vec<Arc<str>> = ran.map(|(id, _)| id.clone()).collect();
        for id in ran {
            self.breach(Some(&id), Rule::Refused, format!("{id} was refused and ran"));
        }
    }

    pub(super) fn check_ceiling(&mut self) {
        let seconds = (ORIGIN_WINDOW / SECOND) as f64;
        let most = f64::from(RATE_PER_S) * seconds * ORIGIN_OVERSHOOT + ORIGIN_SLACK;
        let mut first = 0;
        for last in 0..self.arrivals.len() {
            let (last_at, _) = self.arrivals[last];
            while self.arrivals[first].0 + ORIGIN_WINDOW < last_at {
                first += 1;
            }
            let window = &self.arrivals[first..=last];
            if window.len() as f64 > most {
                let mut senders = BTreeMap::<usize, usize>::new();
                window.iter().for_each(|(_, sender)| *senders.entry(*sender).or_default() += 1);
                let what = format!(
                    "{} arrivals in 5 s up to {last_at}, {most} at most; by machine {senders:?}",
                    window.len()
                );
                return self.breach(None, Rule::Ceiling, what);
            }
        }
    }
}
