//! What clients, hosts and operators saw, and the rules that it is held against.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::operator::{LEAST_TIMEOUT_MS, LIMITED_RATE};
use crate::plan::Service;
use crate::senders::Connection;

/// The shortest `timeoutMs` of a route.
const LEAST_TIMEOUT: Duration = Duration::from_millis(LEAST_TIMEOUT_MS as u64);
/// `configApplyMs`.
const APPLIED_WITHIN: Duration = Duration::from_secs(3);
/// A kill or a start of a process excuses what depends on its being in touch for so long (`contactMs`), after it is back.
const CONTACT: Duration = Duration::from_secs(5);
/// The rule TWICE counts an answer as read in time that was complete so long before the route's time-out.
const READ_WITHIN: Duration = Duration::from_millis(50);
/// A relay tells a success to the stores within this, and the slowest disk of the deployments has synced it.
const TOLD_WITHIN: Duration = Duration::from_millis(12);
/// From a host's last byte until a relay that lives has made its success known: whoever sent the message and is killed later
/// leaves nobody in doubt. Of one that is killed earlier nobody can know what it had read, and the message may run again, after
/// an outage of its hosts even long after (seed 632).
const KNOWN_WITHIN: Duration = READ_WITHIN.saturating_add(TOLD_WITHIN);
/// `lossSlackMs`.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// `originWindowS` and `originOvershoot`; the rule allows some requests more.
const WINDOW: Duration = Duration::from_secs(5);
const OVERSHOOT: f64 = 1.1;
const ALLOWANCE: f64 = 5.0;
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
    runs: usize,
    success: Option<Success>,
    /// A host has done it, and is about to say so.
    is_done: bool,
}

/// One run of a message at a host.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub began: Instant,
    /// The connection on which it came.
    pub connection: Connection,
}

/// The first success of a message that its host has written whole.
#[derive(Clone, Copy, Debug)]
struct Success {
    run: Run,
    at: Instant,
}

/// A relay that was killed, with what it had open when it ran last.
pub struct KilledRelay {
    pub at: Instant,
    pub connections: BTreeSet<Connection>,
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
    killed_relays: Vec<KilledRelay>,
    /// Starts and ends of stores, planned ones too.
    store_disturbances: Vec<Instant>,
    /// When each outage of a service's hosts ended; none while it lasts.
    outages: Vec<Option<Instant>>,
    /// Requests that each relay declined.
    declined_by: BTreeMap<usize, usize>,
    /// When requests came to the limited service.
    limited_arrivals: Vec<Instant>,
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
    /// The most requests that came to the limited service in any window.
    fn most_in_a_window(&self) -> usize {
        let arrivals = &self.limited_arrivals;
        let in_window = |(number, first): (usize, &Instant)| {
            arrivals[number..].partition_point(|at| at.duration_since(*first) <= WINDOW)
        };
        arrivals.iter().enumerate().map(in_window).max().unwrap_or(0)
    }

    fn breach(&mut self, text: String) {
        self.breaches.insert(text);
    }

    /// Whether there was no unplanned trouble for `contactMs`: kills and what follows them, and outages of hosts.
    fn is_calm(&self, now: Instant) -> bool {
        let is_over =
            |ended: &Option<Instant>| ended.is_some_and(|ended| now.duration_since(ended) >= CONTACT);
        !self.kills.iter().any(|at| now.duration_since(*at) < CONTACT) && self.outages.iter().all(is_over)
    }

    /// Whether the relay that sent a run was killed before it could make the success known.
    fn may_be_untold(&self, success: &Success) -> bool {
        let connection = &success.run.connection;
        let has_sent = |killed: &KilledRelay| killed.connections.contains(connection);
        let killed = |killed: &KilledRelay| has_sent(killed) && killed.at < success.at + KNOWN_WITHIN;
        self.killed_relays.iter().any(killed)
    }

    /// Whether all stores were there for long when a success was to be told to them, so that each heir learns of it.
    fn is_told_to_stores(&self, success: &Success) -> bool {
        let told_at = success.at + KNOWN_WITHIN;
        let reaches = |at: &Instant| *at < told_at && success.at < *at + CONTACT;
        !self.store_disturbances.iter().any(reaches)
    }

    /// What a run breaks of a message that has succeeded before.
    fn repeat(&self, now: Instant, success: &Success) -> Option<&'static str> {
        let is_read_in_time = success.at + READ_WITHIN < success.run.began + LEAST_TIMEOUT;
        if !is_read_in_time || self.may_be_untold(success) {
            return None;
        }
        if self.is_calm(now) {
            return Some("TWICE");
        }
        self.is_told_to_stores(success).then_some("FORGOTTEN")
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

    /// A process is killed; a store has no connections to hosts.
    pub fn killed(&self, node: usize, relay: Option<KilledRelay>) {
        self.with(|known| {
            match relay {
                Some(relay) => known.killed_relays.push(relay),
                None => known.store_disturbances.push(Instant::now()),
            }
            known.kills.push(Instant::now());
            known.kills_of.entry(node).or_default().push(Instant::now());
            known.disturbances.push(Instant::now());
        });
    }

    /// A process begins, stops or reads its settings again.
    pub fn disturbed(&self, is_relay: bool) {
        self.with(|known| {
            known.disturbances.push(Instant::now());
            known.store_disturbances.extend((!is_relay).then(Instant::now));
        });
    }

    /// The hosts of a service take nothing from now on, up to [`Judge::outage_ended`].
    pub fn outage_began(&self) -> usize {
        self.with(|known| {
            known.outages.push(None);
            known.outages.len() - 1
        })
    }

    pub fn outage_ended(&self, number: usize) {
        self.with(|known| known.outages[number] = Some(Instant::now()));
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
                    if seen.runs > 0 {
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
            let passed_over = known.passed_over(now, service).filter(|_| known.is_in_touch(now));
            let Some(seen) = known.messages.get_mut(id) else {
                return known.breach(format!("UNASKED: {id}"));
            };
            seen.runs += 1;
            let (moves, success) = (seen.moves, seen.success);
            let (sent_at, key, is_declined) = (seen.sent_at, seen.key, seen.is_declined);
            if is_declined {
                known.breach(format!("REFUSED: {id} runs"));
            }
            if let Some(success) = success
                && let Some(rule) = known.repeat(now, &success)
            {
                let kills = known.killed_relays.iter().map(|kill| now.duration_since(kill.at));
                let kills: Vec<Duration> = kills.collect();
                known.breach(format!(
                    "{rule}: {id} runs {:?} after its success; relays were killed {kills:?} before",
                    now.duration_since(success.at)
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
    pub fn succeeded(&self, id: &str, run: Run) {
        self.with(|known| {
            if let Some(seen) = known.messages.get_mut(id) {
                seen.success.get_or_insert_with(|| Success { run, at: Instant::now() });
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
        self.with(|known| known.messages.get(id).is_some_and(|seen| seen.success.is_some()))
    }

    /// A request came to the limited service.
    pub fn limited_arrived(&self) {
        self.with(|known| known.limited_arrivals.push(Instant::now()));
    }

    /// CEILING: no window sees more requests than the limited service's rate allows.
    pub fn check_rate(&self) {
        let allowed = LIMITED_RATE * WINDOW.as_secs_f64() * OVERSHOOT + ALLOWANCE;
        self.with(|known| {
            let most = known.most_in_a_window();
            if most as f64 > allowed {
                known.breach(format!("CEILING: {most} requests in {WINDOW:?}, {allowed} allowed"));
            }
        });
    }

    /// Figures of the run.
    pub fn figures(&self) -> String {
        self.with(|known| {
            let count = |is: fn(&Seen) -> bool| known.messages.values().filter(|seen| is(seen)).count();
            format!(
                "{} sent, {} accepted, {} declined (by relay: {:?}), {} runs, {} changes, {} kills, {} disturbances, \
                 at most {} to the limited service in {WINDOW:?}",
                known.messages.len(),
                count(|seen| seen.accepted_at.is_some()),
                count(|seen| seen.is_declined),
                known.declined_by,
                known.messages.values().map(|seen| seen.runs).sum::<usize>(),
                known.changes.iter().filter(|change| change.acknowledged_at.is_some()).count(),
                known.kills.len(),
                known.disturbances.len(),
                known.most_in_a_window(),
            )
        })
    }

    pub fn breaches(&self) -> Vec<String> {
        self.with(|known| known.breaches.iter().cloned().collect())
    }
}
