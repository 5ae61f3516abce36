//! Knows the rules, sees what clients, hosts and operators see, and keeps a trace of each message.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_control::Outcome;
use pewterseam_queue::{Answer, NewMessage, StatusResult};
use pewterseam_wire::Micros;
use pewterseam_wire::control::{ConfigDocument, ControlState};
use pewterseam_wire::record::{End, MessageName};

use crate::configuration::{MOST_ATTEMPTS, RATE_PER_S, mark};
use crate::event::Life;
use crate::faults::Fault;
use crate::history::{History, Interval};
use crate::operators::Change;
use crate::plan::{MILLISECOND, SECOND};
use crate::report::{Breach, Report, Rule};

const ORIGIN_WINDOW: Micros = 5 * SECOND;
const ORIGIN_OVERSHOOT: f64 = 1.1;
const ORIGIN_SLACK: f64 = 5.0;
/// A repeat counts only if there was no trouble for so long.
const CONTACT: Micros = 4 * SECOND;
/// A sender that dies so soon after it read a success cannot have told it to stores that have synced it.
const TELLING: Micros = 100 * MILLISECOND;
/// The same while something is in trouble: two slow syncs.
const TELLING_IN_TROUBLE: Micros = 700 * MILLISECOND;

/// What a client was told of a try.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Told {
    Nothing,
    Accepted { at: Micros, name: MessageName },
    Declined,
    Unclear,
}

struct Try {
    key: Option<Arc<str>>,
    sent_at: Micros,
    earliest: Micros,
    body: Bytes,
    told: Told,
    runs: usize,
    failures: u32,
    signatures: BTreeSet<Arc<str>>,
    ended_at: Option<Micros>,
    success_read: Option<(Micros, Life)>,
    trace: Vec<(Micros, String)>,
}

/// The judge of one run.
#[derive(Default)]
pub struct Judge {
    tries: BTreeMap<Arc<str>, Try>,
    keys: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    /// Arrivals at the limited service, and the machines that sent them.
    arrivals: Vec<(Micros, usize)>,
    troubles: Vec<(Micros, Micros)>,
    deaths: BTreeMap<Life, Micros>,
    faults: Vec<(Micros, String)>,
    removed_stores: usize,
    history: History,
    indexes: BTreeMap<Life, u64>,
    taken: BTreeMap<u64, Arc<ConfigDocument>>,
    marks: BTreeMap<u64, Option<u64>>,
    breaches: Vec<(Option<Arc<str>>, Rule, String)>,
    fingerprint: u64,
}

impl Judge {
    fn breach(&mut self, id: Option<&Arc<str>>, rule: Rule, what: String) {
        self.breaches.push((id.cloned(), rule, what));
    }

    fn note(&mut self, now: Micros, id: &Arc<str>, line: String) {
        let seen = pewterseam_wire::placement::hash(line.as_bytes(), now);
        self.fingerprint = self.fingerprint.rotate_left(7) ^ seen;
        if let Some(message) = self.tries.get_mut(id) {
            message.trace.push((now, line));
        }
    }

    pub fn fault(&mut self, now: Micros, fault: &Fault) {
        self.faults.push((now, format!("{fault:?}")));
    }

    /// Something else that the faults of a run are to be read with.
    pub fn event(&mut self, now: Micros, what: String) {
        self.faults.push((now, what));
    }

    /// A store was said to be empty, and goes.
    pub fn store_removed(&mut self, now: Micros, machine: usize) {
        self.removed_stores += 1;
        self.event(now, format!("machine {machine} is empty and goes"));
    }

    /// A retirement was acknowledged, and the store is said to be unknown.
    pub fn retirement_forgotten(&mut self, machine: usize) {
        let what = format!("the retirement of machine {machine} was acknowledged and is unknown");
        self.breach(None, Rule::Config, what);
    }

    pub fn trouble(&mut self, from: Micros, until: Micros) {
        self.troubles.push((from, until));
    }

    fn is_calm(&self, now: Micros) -> bool {
        !self.troubles.iter().any(|(from, until)| *from <= now && *until + CONTACT >= now)
    }

    /// A process ends without being asked to.
    pub fn process_dies(&mut self, now: Micros, life: Life) {
        self.deaths.insert(life, now);
    }

    fn is_excused(&self, (read_at, sender): (Micros, Life)) -> bool {
        let Some(died_at) = self.deaths.get(&sender).copied() else { return false };
        let was_trouble = self.troubles.iter().any(|(from, until)| *from < died_at && *until >= read_at);
        died_at <= read_at + if was_trouble { TELLING_IN_TROUBLE } else { TELLING }
    }

    /// A client sends a try.
    pub fn sent(&mut self, now: Micros, new: &NewMessage, relay: Life) {
        let message = Try {
            key: new.ordering_key.clone(),
            sent_at: now,
            earliest: now + new.delay_ms * MILLISECOND,
            body: new.body.clone(),
            told: Told::Nothing,
            runs: 0,
            failures: 0,
            signatures: BTreeSet::new(),
            ended_at: None,
            success_read: None,
            trace: Vec::new(),
        };
        if let Some(key) = &new.ordering_key {
            self.keys.entry(key.clone()).or_default().push(new.request_id.clone());
        }
        self.tries.insert(new.request_id.clone(), message);
        let line =
            format!("sent to machine {} key {:?} delay {} ms", relay.machine, new.ordering_key, new.delay_ms);
        self.note(now, &new.request_id, line);
    }

    /// A client hears of a try, or gives up.
    pub fn told(&mut self, now: Micros, id: &Arc<str>, answer: Option<&Answer>) {
        let Some(message) = self.tries.get_mut(id) else { return };
        message.told = match answer {
            Some(Answer::Accepted { name }) => Told::Accepted { at: now, name: name.clone() },
            Some(Answer::Declined { .. }) => Told::Declined,
            Some(Answer::Unknown) | None => Told::Unclear,
        };
        let line = format!("told {:?}", message.told);
        self.note(now, id, line);
    }

    /// Machines talk about a message.
    pub fn passed(&mut self, now: Micros, name: &MessageName, from: usize, to: usize, what: &str) {
        if let Some(message) = self.tries.get_mut(name.request_id()) {
            message.trace.push((now, format!("{from} -> {to}: {what}")));
        }
    }

    /// A request arrives at the limited service. One that a cut held up does not count.
    pub fn arrived(&mut self, now: Micros, sender: Life, is_held_up: bool) {
        if !is_held_up {
            self.arrivals.push((now, sender.machine));
        }
    }

    /// A host begins to work on a message.
    pub fn run_starts(&mut self, now: Micros, id: &Arc<str>, body: &Bytes, sender: Life, service: &str) {
        let Some(message) = self.tries.get_mut(id) else {
            return self.breach(None, Rule::Unasked, format!("{id} was never sent"));
        };
        message.runs += 1;
        let (is_changed, is_early) = (message.body != *body, now < message.earliest);
        let read = message.success_read;
        self.note(
            now,
            id,
            format!("runs at {service} for machine {} life {}", sender.machine, sender.number),
        );
        if is_changed {
            self.breach(Some(id), Rule::Unasked, format!("{id} runs with another body"));
        }
        if is_early {
            self.breach(Some(id), Rule::Early, format!("{id} runs before its delay is over"));
        }
        if read.is_some_and(|read| !self.is_excused(read)) && self.is_calm(now) {
            self.breach(Some(id), Rule::Twice, format!("{id} runs again after its success was read"));
        }
        self.check_order(now, id);
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
    pub fn run_ends(&mut self, now: Micros, id: &Arc<str>, status: u16, signature: Option<Arc<str>>) {
        let Some(message) = self.tries.get_mut(id) else { return };
        message.failures += u32::from(status == 500);
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
        self.note(now, id, "its sender reads the success".to_owned());
    }

    /// An agreed state is in force at a process.
    pub fn in_force(&mut self, now: Micros, life: Life, state: &ControlState) {
        let before = self.indexes.insert(life, state.index).unwrap_or(0);
        if before > state.index {
            let what = format!("machine {} goes back from {before} to {}", life.machine, state.index);
            self.breach(None, Rule::Config, what);
        }
        self.shown(now, &state.config);
    }

    /// A configuration is in force, or was shown to someone.
    fn shown(&mut self, now: Micros, config: &Arc<ConfigDocument>) {
        let known = self.taken.entry(config.version).or_insert_with(|| config.clone());
        let is_same = Arc::ptr_eq(known, config) || known.text == config.text;
        if !is_same {
            let what = format!("version {} stands for two configurations", config.version);
            self.breach(None, Rule::Config, what);
        }
        let mark = self.marks.entry(config.version).or_insert_with(|| mark(&config.text));
        match *mark {
            Some(mark) => self.history.stands(now, config.version, mark),
            None => self.breach(None, Rule::Config, format!("version {} cannot be used", config.version)),
        }
    }

    /// An operator sends a change.
    pub fn change_sent(&mut self, now: Micros, change: &Change) {
        self.history.sent(now, change.write());
    }

    /// A relay answers a change; the operator may not hear it.
    pub fn change_answered(&mut self, interval: Interval, change: &Change, outcome: &Outcome) {
        let write = change.write();
        match outcome {
            Outcome::Accepted { version } => self.history.accepted(interval.answered_at, write, *version),
            Outcome::Conflict { current } => {
                self.history.refused(write);
                self.history.read(interval, *current);
            }
            Outcome::Invalid { errors } => {
                self.history.refused(write);
                let what = format!("version {} is said to be invalid: {}", write.version, errors.join("; "));
                self.breach(None, Rule::Config, what);
            }
            _ => {}
        }
    }

    /// A relay answers a read of the configuration.
    pub fn config_read(&mut self, interval: Interval, config: &Arc<ConfigDocument>) {
        self.shown(interval.answered_at, config);
        self.history.read(interval, config.version);
    }

    /// No relay shows the configuration at the end.
    pub fn config_missing(&mut self) {
        self.breach(None, Rule::Config, "no configuration can be read".to_owned());
    }

    /// Messages that were accepted, with their names.
    pub fn accepted(&self) -> Vec<(Arc<str>, MessageName)> {
        let accepted = self.tries.iter().filter_map(|(id, message)| match &message.told {
            Told::Accepted { name, .. } => Some((id.clone(), name.clone())),
            _ => None,
        });
        accepted.collect()
    }

    pub fn is_ended(&self, id: &str) -> bool {
        self.tries.get(id).is_some_and(|message| message.ended_at.is_some())
    }

    /// The state of an accepted message at the end; none if no relay can tell.
    pub fn final_state(&mut self, now: Micros, id: &Arc<str>, state: Option<&StatusResult>) {
        self.note(now, id, format!("its state is read: {state:?}"));
        let Some(message) = self.tries.get(id) else { return };
        let is_ended = message.ended_at.is_some();
        let wrong = match state {
            Some(StatusResult::Pending) => None,
            Some(StatusResult::Ended(End::Completed { signature })) => {
                let is_signed = message.signatures.contains(signature);
                (!is_signed).then_some((Rule::Mixed, "is completed without a host's signature"))
            }
            Some(StatusResult::Ended(_)) if !is_ended => {
                Some((Rule::Mixed, "is a dead letter and has not ended"))
            }
            Some(StatusResult::Ended(_)) => None,
            Some(StatusResult::Unknown) | None if !is_ended => {
                Some((Rule::Lost, "was accepted, has not ended, and its state does not come"))
            }
            Some(StatusResult::Unknown) | None => None,
        };
        if let Some((rule, what)) = wrong {
            self.breach(Some(id), rule, format!("{id} {what}"));
        }
    }

    /// The body of an accepted message that has not ended; none if no relay can tell.
    pub fn final_body(&mut self, now: Micros, id: &Arc<str>, body: Option<&Bytes>) {
        let Some(message) = self.tries.get(id) else { return };
        if message.ended_at.is_some() {
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

    fn check_declined(&mut self) {
        let ran = self.tries.iter().filter(|(_, message)| message.told == Told::Declined && message.runs > 0);
        let ran: Vec<Arc<str>> = ran.map(|(id, _)| id.clone()).collect();
        for id in ran {
            self.breach(Some(&id), Rule::Refused, format!("{id} was refused and ran"));
        }
    }

    fn check_ceiling(&mut self) {
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

    /// Judges what can only be judged at the end.
    pub fn finish(mut self, seed: u64) -> Report {
        self.check_declined();
        self.check_ceiling();
        for what in self.history.check() {
            self.breach(None, Rule::Config, what);
        }
        let of = |told: fn(&Told) -> bool| self.tries.values().filter(|message| told(&message.told)).count();
        Report {
            seed,
            tries: self.tries.len(),
            accepted: of(|told| matches!(told, Told::Accepted { .. })),
            declined: of(|told| *told == Told::Declined),
            unclear: of(|told| *told == Told::Unclear),
            runs: self.tries.values().map(|message| message.runs).sum(),
            ended: self.tries.values().filter(|message| message.ended_at.is_some()).count(),
            faults: self.faults.len(),
            removed_stores: self.removed_stores,
            acknowledged_changes: self.history.count_of_accepted(),
            fingerprint: self.fingerprint,
            breaches: self.breaches.iter().map(|breach| self.traced(seed, breach)).collect(),
        }
    }

    fn traced(&self, seed: u64, (id, rule, what): &(Option<Arc<str>>, Rule, String)) -> Breach {
        let of_message = id.as_ref().and_then(|id| self.tries.get(id)).map(|message| &message.trace);
        let mut lines: Vec<&(Micros, String)> = of_message.into_iter().flatten().collect();
        lines.extend(&self.faults);
        lines.sort_by_key(|(at, _)| *at);
        let show = |(at, line): &&(Micros, String)| format!("{:>9.3} ms  {line}", *at as f64 / 1_000.0);
        let trace = lines.iter().map(show).collect();
        Breach { rule: *rule, what: format!("seed {seed}: {what}"), trace }
    }
}
