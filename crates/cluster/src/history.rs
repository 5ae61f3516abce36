//! Whether what operators were told of the configuration is linearizable, as of a register with compare-and-set.
//!
//! Each change names the version that it replaces and a greater one, and no two changes carry the same mark. So the
//! states that stood form one chain in the order of their versions, and a history is linearizable exactly if each of
//! them can be given a moment, in that order, at which it came into force: after its change was sent, before anyone
//! was told of it, and after the last read of an older one was sent. The earliest moments that fit are tried.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_wire::Micros;

/// A change, told from all others by its mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Write {
    pub if_match: u64,
    pub version: u64,
    pub mark: u64,
}

/// A call and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    pub sent_at: Micros,
    pub answered_at: Micros,
}

/// A state that stood.
struct State {
    mark: u64,
    /// The earliest that anybody was told of it.
    known_at: Micros,
}

/// What operators sent and were told, and what processes put in force.
#[derive(Default)]
pub struct History {
    /// Changes by their marks, and when they were sent first.
    writes: BTreeMap<u64, (Write, Micros)>,
    accepted: BTreeSet<u64>,
    refused: BTreeSet<u64>,
    states: BTreeMap<u64, State>,
    /// The latest sending of a read that was answered with this version.
    reads: BTreeMap<u64, Micros>,
    breaches: Vec<String>,
}

impl History {
    /// A change is sent, perhaps not for the first time.
    pub fn sent(&mut self, now: Micros, write: Write) {
        self.writes.entry(write.mark).or_insert((write, now));
    }

    /// A change is answered with 200.
    pub fn accepted(&mut self, now: Micros, write: Write, version: u64) {
        if version != write.version {
            self.breaches.push(format!("version {} is acknowledged as {version}", write.version));
        }
        if self.refused.contains(&write.mark) {
            self.breaches.push(format!("version {} was refused and is acknowledged", write.version));
        }
        self.accepted.insert(write.mark);
        self.stands(now, write.version, write.mark);
    }

    /// A change is answered with 412, or with 400. All changes of the harness are valid.
    pub fn refused(&mut self, write: Write) {
        if self.accepted.contains(&write.mark) {
            self.breaches.push(format!("version {} was acknowledged and is refused", write.version));
        }
        self.refused.insert(write.mark);
    }

    /// Changes that were acknowledged.
    pub fn count_of_accepted(&self) -> usize {
        self.accepted.len()
    }

    /// A state is in force at a process, or was shown to someone.
    pub fn stands(&mut self, now: Micros, version: u64, mark: u64) {
        let state = self.states.entry(version).or_insert(State { mark, known_at: now });
        state.known_at = state.known_at.min(now);
        if state.mark != mark {
            let what = format!("version {version} stands for changes {} and {mark}", state.mark);
            self.breaches.push(what);
        }
    }

    /// A read, or a refusal that names the current version, is answered with a version.
    pub fn read(&mut self, interval: Interval, version: u64) {
        let latest = self.reads.entry(version).or_default();
        *latest = interval.sent_at.max(*latest);
        if let Some(state) = self.states.get_mut(&version) {
            state.known_at = state.known_at.min(interval.answered_at);
        }
    }

    /// All that contradicts the rules.
    pub fn check(&self) -> Vec<String> {
        let mut breaches = self.breaches.clone();
        breaches.extend(self.check_refusals());
        breaches.extend(self.check_chain());
        breaches.extend(self.check_moments());
        breaches
    }

    fn check_refusals(&self) -> Vec<String> {
        let is_refused = |(_, state): &(&u64, &State)| self.refused.contains(&state.mark);
        let refused = self.states.iter().filter(is_refused);
        refused.map(|(version, _)| format!("version {version} was refused and is in force")).collect()
    }

    /// Each state replaces the one before it, where all states between are known.
    fn check_chain(&self) -> Vec<String> {
        let mut breaches = Vec::new();
        let mut replaced = BTreeMap::new();
        for (version, state) in self.states.iter().filter(|(version, _)| **version > 0) {
            let Some((write, _)) = self.writes.get(&state.mark) else {
                breaches.push(format!("version {version} was never sent"));
                continue;
            };
            if write.version != *version {
                breaches.push(format!("version {version} was sent as {}", write.version));
            }
            if let Some(other) = replaced.insert(write.if_match, *version) {
                breaches.push(format!("{other} and {version} both stand on {}", write.if_match));
            }
            let is_skipped = |known: &u64| *known > write.if_match && known < version;
            if let Some(skipped) = self.states.keys().find(|known| is_skipped(known)) {
                breaches.push(format!("version {version} replaces {}, not {skipped}", write.if_match));
            }
        }
        breaches
    }

    /// Gives each state the earliest moment that fits.
    fn check_moments(&self) -> Vec<String> {
        let mut breaches = Vec::new();
        let mut moment = 0;
        let mut reads = self.reads.iter().peekable();
        let mut read_last = (0, 0);
        for (version, state) in self.states.iter().filter(|(version, _)| **version > 0) {
            while let Some((read, sent_at)) = reads.next_if(|(read, _)| *read < version) {
                if *read > 0 && !self.states.contains_key(read) {
                    breaches.push(format!("version {read} is read and never stood"));
                    continue;
                }
                read_last = read_last.max((*sent_at, *read));
            }
            let sent_at = self.writes.get(&state.mark).map_or(0, |(_, sent_at)| *sent_at);
            moment = moment.max(sent_at).max(read_last.0);
            if moment > state.known_at {
                breaches.push(format!(
                    "version {version} is known at {} us, {} is read by a call of {} us",
                    state.known_at, read_last.1, read_last.0
                ));
                // One late moment is one breach, not one for each state after it.
                moment = state.known_at;
            }
        }
        let newest = self.states.keys().next_back().copied().unwrap_or(0);
        let unknown = reads.filter(|(read, _)| **read > newest);
        breaches.extend(unknown.map(|(read, _)| format!("version {read} is read and never stood")));
        breaches
    }
}
