//! What clients, hosts and operators saw, and the rules that it is held against.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::plan::Service;

/// `configApplyMs`.
const APPLIED_WITHIN: Duration = Duration::from_secs(3);
/// A kill or a start of a process excuses what depends on its being in touch for so long (`contactMs`), after it is back.
const CONTACT: Duration = Duration::from_secs(5);
/// A relay that is killed so soon after a host has written a success, or so shortly before, cannot have told it to a store
/// that has synced it: nobody can know of the success, and its message runs again, after an outage of its hosts even long
/// after. Seen at seed 632, where two relays are killed 0.3 s apart and all hosts of a service are out until 5 s after: the
/// messages that ran again had been read at most 10 ms before the kill of their sender, or not at all as it was gone by then;
/// heirs owned them within 1.1 s, and tried them in vain until the outage was over.
const READER_KILLED: Duration = Duration::from_millis(100);
/// `lossSlackMs`.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// An answer may be cut by a kill so shortly after it.
const CUT_BY_KILL: Duration = Duration::from_secs(2);

/// One message, as far as it was seen.
#[derive(Default)]
struct Seen {
    moves: bool,
    key: Option<usize>,
    sent_at: Option<Instant>,
    accepted_at: Option<Instant>,
    name: Option<String>,
    is_declined: bool,
    runs: Vec<(Instant, Service)>,
    succeeded_at: Option<Instant>,
    /// A host has done it, and is about to say so.
    is_done: bool,
}

/// A change of the configuration that may be in force.
struct Change {
    version: u64,
    service: Service,
    acknowledged_at: Option<Instant>,
}

#[derive(Default)]
struct Known {
    messages: BTreeMap<String, Seen>,
    keys: BTreeMap<usize, Vec<String>>,
    changes: Vec<Change>,
    kills: Vec<Instant>,
    /// Starts and stops, planned ones too.
    disturbances: Vec<Instant>,
    kills_of: BTreeMap<usize, Vec<Instant>>,
    relay_kills: Vec<Instant>,
    /// Requests that each relay declined.
    declined_by: BTreeMap<usize, usize>,
    breaches: BTreeSet<String>,
}

/// The judge of a run.
#[derive(Default)]
pub struct Judge {
    known: Mutex<Known>,
}

/// How a request ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// Not a byte came.
    Unanswered,
    /// The answer broke off.
    CutShort,
}

impl Known {
    fn breach(&mut self, text: String) {
        self.breaches.insert(text);
    }

    fn is_calm(&self, now: Instant) -> bool {
        !self.kills.iter().any(|at| now.duration_since(*at) < CONTACT)
    }

    /// Whether the relay that read a success, or was to read it, may have been killed before it could tell of it.
    fn may_be_untold(&self, succeeded_at: Instant) -> bool {
        let distance = |at: &Instant| at.max(&succeeded_at).duration_since(*at.min(&succeeded_at));
        self.relay_kills.iter().any(|at| distance(at) < READER_KILLED)
    }

    fn is_in_touch(&self, now: Instant) -> bool {
        !self.disturbances.iter().any(|at| now.duration_since(*at) < CONTACT)
    }

    /// The newest version that must have been in force, if only an older one sends a message there.
    fn passed_over(&self, now: Instant, service: Service) -> Option<u64> {
        let is_due = |change: &&Change| {
            change.acknowledged_at.is_some_and(|at| now.duration_since(at) > APPLIED_WITHIN)
        };
        let base = self.changes.iter().filter(is_due).max_by_key(|change| change.version)?;
        let mut allowing = self.changes.iter().filter(|change| change.version >= base.version);
        let is_allowed = allowing.any(|change| change.service == service);
        (!is_allowed).then_some(base.version)
    }
}

impl Judge {
    fn with<T>(&self, act: impl FnOnce(&mut Known) -> T) -> T {
        act(&mut self.known.lock().expect("no thread of a run panics"))
    }

    pub fn killed(&self, node: usize, is_relay: bool) {
        self.with(|known| {
            known.relay_kills.extend(is_relay.then(Instant::now));
            known.kills.push(Instant::now());
            known.kills_of.entry(node).or_default().push(Instant::now());
            known.disturbances.push(Instant::now());
        });
    }

    /// A process begins, stops or reads its settings again.
    pub fn disturbed(&self) {
        self.with(|known| known.disturbances.push(Instant::now()));
    }

    /// A process that was killed is back.
    pub fn returned(&self, was_killed: bool) {
        self.with(|known| {
            known.disturbances.push(Instant::now());
            if was_killed {
                known.kills.push(Instant::now());
            }
        });
    }

    pub fn breach(&self, text: String) {
        self.with(|known| known.breach(text));
    }

    pub fn sent(&self, id: &str, moves: bool, key: Option<usize>) {
        self.with(|known| {
            let seen = Seen { moves, key, sent_at: Some(Instant::now()), ..Seen::default() };
            known.messages.insert(id.to_owned(), seen);
            if let Some(key) = key {
                known.keys.entry(key).or_default().push(id.to_owned());
            }
        });
    }

    pub fn answered(&self, id: &str, relay: usize, status: u16, name: Option<&str>) {
        self.with(|known| {
            let Some(seen) = known.messages.get_mut(id) else { return };
            match status {
                202 => {
                    seen.accepted_at = Some(Instant::now());
                    seen.name = Some(name.unwrap_or(id).to_owned());
                }
                408 | 421 | 429 | 503 => {
                    seen.is_declined = true;
                    *known.declined_by.entry(relay).or_default() += 1;
                    if !seen.runs.is_empty() {
                        known.breach(format!("REFUSED: {id} ran and is told {status}"));
                    }
                }
                404 => known.breach(format!("CONFIG: {id} is refused as one without a route")),
                _ => {}
            }
        });
    }

    /// A request that was written whole ended without an answer, so long after its last byte.
    pub fn unanswered(&self, id: &str, relay: usize, after: Duration, lost: Lost) {
        self.with(|known| {
            let kills = known.kills_of.get(&relay).into_iter().flatten();
            if kills.into_iter().any(|at| at.elapsed() < CUT_BY_KILL) {
                return;
            }
            if lost == Lost::CutShort || after > LOSS_SLACK {
                known.breach(format!("LOST: {id}, sent to relay {relay}: {lost:?} after {after:?}"));
            }
        });
    }

    /// A host begins to work on a message.
    pub fn run_starts(&self, id: &str, service: Service) {
        self.with(|known| {
            let now = Instant::now();
            let is_calm = known.is_calm(now);
            let passed_over = known.passed_over(now, service).filter(|_| known.is_in_touch(now));
            let Some(seen) = known.messages.get_mut(id) else {
                return known.breach(format!("UNASKED: {id}"));
            };
            seen.runs.push((now, service));
            let (moves, succeeded_at) = (seen.moves, seen.succeeded_at);
            let (sent_at, key, is_declined) = (seen.sent_at, seen.key, seen.is_declined);
            if is_declined {
                known.breach(format!("REFUSED: {id} runs"));
            }
            if let Some(at) = succeeded_at
                && is_calm
                && !known.may_be_untold(at)
            {
                let kills: Vec<Duration> =
                    known.relay_kills.iter().map(|kill| now.duration_since(*kill)).collect();
                known.breach(format!(
                    "TWICE: {id} runs {:?} after its success; relays were killed {kills:?} before",
                    now.duration_since(at)
                ));
            }
            if moves && let Some(version) = passed_over {
                known.breach(format!("CONFIG: {id} runs at {service:?}, passing over version {version}"));
            }
            let earlier = key.and_then(|key| known.keys.get(&key)).into_iter().flatten();
            let is_open = |other: &&String| {
                known.messages.get(*other).is_some_and(|seen| {
                    let is_before = seen.accepted_at.zip(sent_at).is_some_and(|(taken, sent)| taken < sent);
                    is_before && !seen.is_done
                })
            };
            let open: Vec<String> = earlier.filter(|other| *other != id).filter(is_open).cloned().collect();
            for other in open {
                known.breach(format!("ORDER: {id} runs before {other} has ended"));
            }
        });
    }

    /// A host has done a message: others of its key may begin as soon as the host says so.
    pub fn done(&self, id: &str) {
        self.with(|known| {
            if let Some(seen) = known.messages.get_mut(id) {
                seen.is_done = true;
            }
        });
    }

    /// A host has written its whole answer of success.
    pub fn succeeded(&self, id: &str) {
        self.with(|known| {
            if let Some(seen) = known.messages.get_mut(id) {
                seen.succeeded_at.get_or_insert_with(Instant::now);
            }
        });
    }

    pub fn change_sent(&self, version: u64, service: Service) {
        self.with(|known| known.changes.push(Change { version, service, acknowledged_at: None }));
    }

    pub fn change_acknowledged(&self, version: u64) {
        self.with(|known| {
            let change = known.changes.iter_mut().find(|change| change.version == version);
            if let Some(change) = change {
                change.acknowledged_at.get_or_insert_with(Instant::now);
            }
        });
    }

    /// A change was refused, and is never in force.
    pub fn change_refused(&self, version: u64) {
        self.with(|known| known.changes.retain(|change| change.version != version));
    }

    /// Messages that were accepted: their ids and names.
    pub fn accepted(&self) -> Vec<(String, String)> {
        self.with(|known| {
            let named = known.messages.iter().filter_map(|(id, seen)| Some((id.clone(), seen.name.clone()?)));
            named.collect()
        })
    }

    pub fn has_succeeded(&self, id: &str) -> bool {
        self.with(|known| known.messages.get(id).is_some_and(|seen| seen.succeeded_at.is_some()))
    }

    /// Figures of the run.
    pub fn figures(&self) -> String {
        self.with(|known| {
            let count = |is: fn(&Seen) -> bool| known.messages.values().filter(|seen| is(seen)).count();
            format!(
                "{} sent, {} accepted, {} declined (by relay: {:?}), {} runs, {} changes, {} kills, {} disturbances",
                known.messages.len(),
                count(|seen| seen.accepted_at.is_some()),
                count(|seen| seen.is_declined),
                known.declined_by,
                known.messages.values().map(|seen| seen.runs.len()).sum::<usize>(),
                known.changes.iter().filter(|change| change.acknowledged_at.is_some()).count(),
                known.kills.len(),
                known.disturbances.len(),
            )
        })
    }

    pub fn breaches(&self) -> Vec<String> {
        self.with(|known| known.breaches.iter().cloned().collect())
    }
}
