//! Knows the rules, sees what clients, hosts and operators see, and keeps a trace of each message.

mod bounds;
mod config;
mod handling;
mod routes;
mod runs;
mod states;
mod touch;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_queue::{Answer, NewMessage};
use pewterseam_wire::Micros;
use pewterseam_wire::control::ConfigDocument;
use pewterseam_wire::record::MessageName;

use handling::{Handled, Handling};
use routes::Routes;
pub use runs::SentMessage;
use touch::Touch;

use crate::calls::CallKey;
use crate::event::Life;
use crate::faults::Fault;
use crate::history::History;
use crate::message::PeerMessage;
use crate::plan::{MILLISECOND, SECOND};
use crate::report::{Breach, Report, Rule};

/// A repeat counts only if there was no trouble for so long.
const CONTACT: Micros = 4 * SECOND;
const SHOWN_OF_A_MESSAGE: usize = 200;

/// What a client was told of a try.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Told {
    Nothing,
    Accepted { at: Micros, name: MessageName },
    Declined,
    Unclear,
}

struct Try {
    /// The relay that the client sent it to.
    taker: Life,
    route: Arc<str>,
    key: Option<Arc<str>>,
    sent_at: Micros,
    earliest: Micros,
    body: Bytes,
    told: Told,
    runs: usize,
    /// Answers of 500 that hosts gave.
    failures: u32,
    /// Answers of 500 and of 422 that left their hosts whole.
    whole_failures: u32,
    whole_refusals: u32,
    /// Answers of 500 that their senders have read.
    failures_read: Vec<(Micros, Life)>,
    last_run_at: Micros,
    signatures: BTreeSet<Arc<str>>,
    ended_at: Option<Micros>,
    success_read: Option<(Micros, Life)>,
    trace: Vec<(Micros, String)>,
}

impl Try {
    /// Whether it has ended, its time is over, or its route may have gone.
    fn is_ended(&self, routes: &Routes, retention: Micros, now: Micros) -> bool {
        let is_over = self.ended_at.is_some() || now >= self.sent_at + retention;
        is_over || routes.may_have_dropped(&self.route, self.sent_at, now)
    }
}

/// The judge of one run.
#[derive(Default)]
pub struct Judge {
    /// `retentionS` of all routes.
    retention: Micros,
    tries: BTreeMap<Arc<str>, Try>,
    keys: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    /// Arrivals at the limited service, and the machines that sent them.
    arrivals: Vec<(Micros, usize)>,
    troubles: Vec<(Micros, Micros)>,
    deaths: BTreeMap<Life, Micros>,
    faults: Vec<(Micros, String)>,
    removed_stores: usize,
    history: History,
    routes: Routes,
    handling: Handling,
    /// Which machines were in touch.
    pub touch: Touch,
    indexes: BTreeMap<Life, u64>,
    taken: BTreeMap<u64, Arc<ConfigDocument>>,
    marks: BTreeMap<u64, Option<u64>>,
    /// When each attempt left its sender.
    written: BTreeMap<CallKey, Micros>,
    last_success_at: Micros,
    breaches: Vec<(Option<Arc<str>>, Rule, String)>,
    fingerprint: u64,
}

impl Judge {
    /// The judge of a run with this `retentionS`.
    pub fn new(retention: Micros) -> Self {
        Judge { retention, ..Judge::default() }
    }

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

    /// Something is in trouble, from then until then.
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

    /// A client sends a try.
    pub fn sent(&mut self, now: Micros, new: &NewMessage, relay: Life) {
        let message = Try {
            taker: relay,
            route: new.route.clone(),
            key: new.ordering_key.clone(),
            sent_at: now,
            earliest: now + new.delay_ms * MILLISECOND,
            body: new.body.clone(),
            told: Told::Nothing,
            runs: 0,
            failures: 0,
            whole_failures: 0,
            whole_refusals: 0,
            failures_read: Vec::new(),
            last_run_at: 0,
            signatures: BTreeSet::new(),
            ended_at: None,
            success_read: None,
            trace: Vec::new(),
        };
        if let Some(key) = &new.ordering_key {
            self.keys.entry(key.clone()).or_default().push(new.request_id.clone());
        }
        self.tries.insert(new.request_id.clone(), message);
        let line = format!(
            "sent to machine {} route {} key {:?} delay {} ms",
            relay.machine, new.route, new.ordering_key, new.delay_ms
        );
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

    /// A message cannot be put into a frame.
    pub fn frame_lost(&mut self, message: &PeerMessage, error: &str) {
        let shown: String = format!("{message:?}").chars().take(SHOWN_OF_A_MESSAGE).collect();
        self.breach(None, Rule::Encoding, format!("{shown}: {error}"));
    }

    /// A frame does not read as the message that was sent.
    pub fn frame_changed(&mut self, from: usize, to: usize, what: &str) {
        self.breach(None, Rule::Encoding, format!("a frame from machine {from} to {to}: {what}"));
    }

    /// Messages that were accepted, with their names.
    pub fn accepted(&self) -> Vec<(Arc<str>, MessageName)> {
        let accepted = self.tries.iter().filter_map(|(id, message)| match &message.told {
            Told::Accepted { name, .. } => Some((id.clone(), name.clone())),
            _ => None,
        });
        accepted.collect()
    }

    pub fn is_ended(&self, now: Micros, id: &str) -> bool {
        self.tries.get(id).is_some_and(|message| message.is_ended(&self.routes, self.retention, now))
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
