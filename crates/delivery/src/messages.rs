//! The messages on hand: waiting for their turn, handed to the decisions, or resting before another attempt.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use pewterseam::interface::MessageId;
use pewterseam_wire::Micros;

use crate::interface::Submission;

/// Messages of one service that the decisions choose among at a time. Small, as those before the decisions go by the
/// decisions' order and all others by that of the line.
const WINDOW: usize = 8;

/// A place in the line of a service: when the message is late, its priority, its number.
type Turn = (Micros, u8, u64);

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
    fn turn(&self) -> Turn {
        let Submission { due_at, schedule_target, priority, key, .. } = self.submission;
        (due_at + schedule_target, priority, key)
    }
}

/// How soon a message of a line goes; the lesser goes first.
///
/// After an outage a line that goes by age alone has each message late until the last one of the outage has gone. So those
/// that can still be in time go first. Of the late ones the newest goes first: the messages of an ordering key come one
/// after the other, and their latest is in time again soon, while keys wait whose turn was missed by much anyway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// It has waited so long that it goes before all others, the oldest first.
    Urgent(Turn),
    InTime(Turn),
    Late(Reverse<Turn>),
}

/// The messages of one service that could start.
#[derive(Debug, Default)]
struct Line {
    waiting: BTreeSet<Turn>,
    /// Before the decisions and not out.
    handed: BTreeSet<Turn>,
}

impl Line {
    fn len(&self) -> usize {
        self.waiting.len() + self.handed.len()
    }

    /// The message that waits and goes next.
    fn next(&self, now: Micros, is_urgent: impl Fn(u64) -> bool) -> Option<Standing> {
        let oldest = *self.waiting.first()?;
        if is_urgent(oldest.2) {
            return Some(Standing::Urgent(oldest));
        }
        let in_time = self.waiting.range((now, 0, 0)..).next().map(|turn| Standing::InTime(*turn));
        in_time.or_else(|| self.waiting.last().map(|turn| Standing::Late(Reverse(*turn))))
    }

    /// The message before the decisions that goes last.
    fn last_handed(&self, now: Micros, is_urgent: impl Fn(u64) -> bool) -> Option<Standing> {
        let late = self.handed.range(..(now, 0, 0)).find(|turn| !is_urgent(turn.2));
        let late = late.map(|turn| Standing::Late(Reverse(*turn)));
        let in_time = || self.handed.last().filter(|turn| turn.0 >= now);
        late.or_else(|| in_time().map(|turn| Standing::InTime(*turn)))
    }
}

impl Standing {
    fn turn(self) -> Turn {
        match self {
            Standing::Urgent(turn) | Standing::InTime(turn) | Standing::Late(Reverse(turn)) => turn,
        }
    }

    fn key(self) -> u64 {
        self.turn().2
    }
}

/// What changes of the messages before the decisions.
#[derive(Debug, Default)]
pub(crate) struct Handover {
    /// Taken back, as others go first.
    pub(crate) taken_back: Vec<MessageId>,
    pub(crate) handed: Vec<(MessageId, u64)>,
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

    /// Messages of a service that could start now.
    pub(crate) fn demand(&self, service: &str) -> usize {
        self.lines.get(service).map_or(0, Line::len)
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
                    line.handed.remove(&turn);
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
        let service = held.submission.service;
        if self.lines.get(&service).is_some_and(|line| line.len() == 0) {
            self.lines.remove(&service);
            self.ready.remove(&service);
        }
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

    /// Hands the first of each line to the decisions; where these hold enough, in place of those that go last.
    pub(crate) fn hand_on(&mut self, now: Micros) -> Handover {
        let mut handover = Handover::default();
        for service in std::mem::take(&mut self.ready) {
            while let Some(key) = self.next_to_hand(&service, now, &mut handover.taken_back) {
                handover.handed.push((self.hand(key), key));
            }
        }
        handover
    }

    /// The next message of a service for the decisions, if there is room for it or one is taken back for it.
    fn next_to_hand(&mut self, service: &str, now: Micros, taken_back: &mut Vec<MessageId>) -> Option<u64> {
        let is_urgent = |key: u64| self.held.get(&key).is_some_and(|held| held.submission.urgent_at <= now);
        let line = self.lines.get(service)?;
        let next = line.next(now, is_urgent)?;
        if line.handed.len() >= WINDOW {
            let last = line.last_handed(now, is_urgent).filter(|last| next < *last)?;
            taken_back.extend(self.take_back(last.key()));
        }
        Some(next.key())
    }

    /// Puts a message that is before the decisions back in line.
    fn take_back(&mut self, key: u64) -> Option<MessageId> {
        let held = self.held.get_mut(&key)?;
        let Place::Handed(id) = held.place else { return None };
        held.place = Place::InLine;
        let line = self.lines.get_mut(&held.submission.service)?;
        line.handed.remove(&held.turn());
        line.waiting.insert(held.turn());
        self.keys.remove(&id);
        Some(id)
    }

    fn hand(&mut self, key: u64) -> MessageId {
        self.last += 1;
        let id = MessageId(self.last);
        self.keys.insert(id, key);
        if let Some(held) = self.held.get_mut(&key) {
            (held.place, held.attempts) = (Place::Handed(id), 0);
            let line = self.lines.entry(held.submission.service.clone()).or_default();
            line.waiting.remove(&held.turn());
            line.handed.insert(held.turn());
        }
        id
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
                line.handed.remove(&held.turn());
                self.ready.insert(held.submission.service.clone());
            }
            (Place::Out(id), false) => {
                held.place = Place::Handed(id);
                line.handed.insert(held.turn());
            }
            _ => {}
        }
    }

    /// When a rest ends.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        self.resting.first().map(|(until, _)| *until)
    }
}
