//! The messages on hand: waiting for their turn, handed to the decisions, or resting before another attempt.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use pewterseam::interface::MessageId;
use pewterseam_wire::Micros;

use crate::interface::Submission;

/// Messages of one service that the decisions choose among at a time.
const WINDOW: usize = 24;

/// Where a message stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// In line for its service.
    InLine,
    /// Before the decisions, under this number.
    Handed(MessageId),
    /// An attempt of it is out.
    Out(MessageId),
    Resting {
        until: Micros,
    },
}

/// A message on hand.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) submission: Submission,
    pub(crate) place: Place,
    /// Attempts without a clear answer, and answers that it runs elsewhere or that a rate is used up.
    pub(crate) silences: u32,
    pub(crate) conflicts: u32,
    /// Attempts since it was last handed to the decisions, as they count them.
    attempts: u32,
}

impl Held {
    /// Whether the attempt that the decisions know under this number is the one that is out.
    pub(crate) fn is_out(&self, id: MessageId) -> bool {
        self.place == Place::Out(id)
    }

    /// The line goes by when runs should start.
    fn turn(&self) -> (Micros, u8, u64) {
        let Submission { due_at, schedule_target, priority, key, .. } = self.submission;
        (due_at + schedule_target, priority, key)
    }
}

#[derive(Debug, Default)]
struct Line {
    waiting: BTreeSet<(Micros, u8, u64)>,
    /// Before the decisions and not out.
    handed: usize,
}

/// The messages on hand.
#[derive(Debug, Default)]
pub(crate) struct Messages {
    held: HashMap<u64, Held>,
    keys: HashMap<MessageId, u64>,
    lines: BTreeMap<Arc<str>, Line>,
    resting: BTreeSet<(Micros, u64)>,
    /// Services with messages that may be handed on.
    ready: BTreeSet<Arc<str>>,
    last: u64,
}

impl Messages {
    pub(crate) fn get(&self, key: u64) -> Option<&Held> {
        self.held.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: u64) -> Option<&mut Held> {
        self.held.get_mut(&key)
    }

    pub(crate) fn key(&self, id: MessageId) -> Option<u64> {
        self.keys.get(&id).copied()
    }

    /// Takes a message on; one that is held already stays as it is.
    pub(crate) fn add(&mut self, submission: Submission, rest_until: Option<Micros>) {
        let key = submission.key;
        if self.held.contains_key(&key) {
            return;
        }
        let held = Held { submission, place: Place::InLine, silences: 0, conflicts: 0, attempts: 0 };
        self.held.insert(key, held);
        match rest_until {
            Some(until) => self.rest(key, until),
            None => self.line_up(key),
        }
    }

    /// Changes what is asked of a message, and gives its number where the decisions are to forget it: they know it with what
    /// was asked before. One that is out stays there; its line is the new one once its attempt has ended.
    pub(crate) fn revise(&mut self, submission: Submission) -> Option<MessageId> {
        let key = submission.key;
        let place = self.held.get(&key)?.place;
        let is_out = matches!(place, Place::Out(_));
        if !is_out {
            self.leave(key);
        }
        let held = self.held.get_mut(&key)?;
        let due_at = held.submission.due_at;
        let former = std::mem::replace(&mut held.submission, Submission { due_at, ..submission });
        if held.submission.service != former.service {
            (held.silences, held.conflicts) = (0, 0);
        }
        self.drop_empty_line(&former.service);
        match place {
            Place::Out(_) => None,
            Place::Resting { until } => {
                self.rest(key, until);
                None
            }
            Place::InLine => {
                self.line_up(key);
                None
            }
            Place::Handed(id) => {
                self.line_up(key);
                Some(id)
            }
        }
    }

    /// Puts a message whose attempt is over at its place in the line of its service.
    pub(crate) fn return_to_line(&mut self, key: u64) {
        self.leave(key);
        self.line_up(key);
    }

    /// Services that messages are on hand for.
    pub(crate) fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.lines.keys()
    }

    /// Puts what is before the decisions of these services back in line, and gives the numbers that the decisions are to
    /// forget.
    pub(crate) fn take_back(&mut self, services: &BTreeSet<Arc<str>>) -> BTreeSet<MessageId> {
        let handed = self.held.iter().filter_map(|(key, held)| match held.place {
            Place::Handed(id) if services.contains(&held.submission.service) => Some((id, *key)),
            _ => None,
        });
        let handed: BTreeMap<MessageId, u64> = handed.collect();
        for key in handed.values() {
            self.return_to_line(*key);
        }
        handed.into_keys().collect()
    }

    fn drop_empty_line(&mut self, service: &Arc<str>) {
        if self.lines.get(service).is_some_and(|line| line.waiting.is_empty() && line.handed == 0) {
            self.lines.remove(service);
            self.ready.remove(service);
        }
    }

    /// Messages of a service that could start now.
    pub(crate) fn demand(&self, service: &str) -> usize {
        self.lines.get(service).map_or(0, |line| line.waiting.len() + line.handed)
    }

    fn line_up(&mut self, key: u64) {
        let Some(held) = self.held.get_mut(&key) else { return };
        held.place = Place::InLine;
        let service = &held.submission.service;
        self.lines.entry(service.clone()).or_default().waiting.insert(held.turn());
        self.ready.insert(service.clone());
    }

    /// Takes a message out of wherever it stands.
    fn leave(&mut self, key: u64) -> Option<Place> {
        let held = self.held.get(&key)?;
        let (place, turn) = (held.place, held.turn());
        let line = self.lines.get_mut(&held.submission.service);
        match place {
            Place::InLine => {
                if let Some(line) = line {
                    line.waiting.remove(&turn);
                }
            }
            Place::Handed(id) => {
                if let Some(line) = line {
                    line.handed -= 1;
                }
                self.ready.insert(held.submission.service.clone());
                self.keys.remove(&id);
            }
            Place::Out(id) => {
                self.keys.remove(&id);
            }
            Place::Resting { until } => {
                self.resting.remove(&(until, key));
            }
        }
        Some(place)
    }

    /// Has a message rest until then.
    pub(crate) fn rest(&mut self, key: u64, until: Micros) {
        self.leave(key);
        if let Some(held) = self.held.get_mut(&key) {
            held.place = Place::Resting { until };
            self.resting.insert((until, key));
        }
    }

    /// Forgets a message; gives its number where the decisions know it.
    pub(crate) fn remove(&mut self, key: u64) -> Option<MessageId> {
        let place = self.leave(key)?;
        let held = self.held.remove(&key)?;
        self.drop_empty_line(&held.submission.service);
        match place {
            Place::Handed(id) | Place::Out(id) => Some(id),
            Place::InLine | Place::Resting { .. } => None,
        }
    }

    /// Lines up what has rested.
    pub(crate) fn wake(&mut self, now: Micros) {
        while let Some((_, key)) = self.resting.first().copied().filter(|(until, _)| *until <= now) {
            self.leave(key);
            self.line_up(key);
        }
    }

    /// The messages that are handed to the decisions now, the first of each line.
    pub(crate) fn hand_on(&mut self) -> Vec<(MessageId, u64)> {
        let mut handed = Vec::new();
        for service in std::mem::take(&mut self.ready) {
            let Some(line) = self.lines.get_mut(&service) else { continue };
            while line.handed < WINDOW
                && let Some((_, _, key)) = line.waiting.pop_first()
            {
                self.last += 1;
                let id = MessageId(self.last);
                line.handed += 1;
                self.keys.insert(id, key);
                if let Some(held) = self.held.get_mut(&key) {
                    (held.place, held.attempts) = (Place::Handed(id), 0);
                }
                handed.push((id, key));
            }
        }
        handed
    }

    /// The decisions' number of the next attempt of a message.
    pub(crate) fn next_number(&mut self, key: u64) -> u32 {
        let Some(held) = self.held.get_mut(&key) else { return 0 };
        held.attempts += 1;
        held.attempts - 1
    }

    /// Messages on hand, and those with an attempt out.
    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    pub(crate) fn out(&self) -> usize {
        self.held.values().filter(|held| matches!(held.place, Place::Out(_))).count()
    }

    /// Books that an attempt of a message is out, or no longer is while the decisions keep the message.
    pub(crate) fn set_out(&mut self, key: u64, out: bool) {
        let Some(held) = self.held.get_mut(&key) else { return };
        let line = self.lines.entry(held.submission.service.clone()).or_default();
        match (held.place, out) {
            (Place::Handed(id), true) => {
                held.place = Place::Out(id);
                line.handed -= 1;
                self.ready.insert(held.submission.service.clone());
            }
            (Place::Out(id), false) => {
                held.place = Place::Handed(id);
                line.handed += 1;
            }
            _ => {}
        }
    }

    /// When a rest ends.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        self.resting.first().map(|(until, _)| *until)
    }
}
