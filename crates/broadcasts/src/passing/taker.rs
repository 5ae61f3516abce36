//! The side that passes parts on.

use std::collections::BTreeMap;

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::{MemberId, Ticket, Unanswered};

use super::io::{Answer, Ask, Effect, Folder, Hand, Pass};
use super::machine::Seen;
use super::record::Record;
use super::{ASK_AGAIN, ASK_DEAD_AGAIN, GRACE, KEEP, MOST_PARTS, PATIENCE};
use crate::groups::{PartEnd, PartId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The gateway's folder is asked for; nothing is recorded, the part is still ours.
    Asking,
    /// Recorded as passed on; it may have been taken.
    Passing,
    /// The same, and it is asked back: this pass is handed over no more.
    Withdrawing,
    /// The folder that it was handed to is gone. It is not ours, and nobody can say whose it is.
    Lost,
    Passed,
    Back,
    Over(PartEnd),
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    hand: Hand,
    to: MemberId,
    state: State,
    since: Micros,
    /// When it is asked next.
    next: Micros,
    /// A request may have reached the gateway. After a start it may always.
    reached: bool,
    /// Requests to take it on of which it isn't known yet.
    hands_out: u32,
}

impl Sent {
    fn new(now: Micros, hand: Hand, to: MemberId, state: State, reached: bool) -> Self {
        Sent { hand, to, state, since: now, next: now, reached, hands_out: 0 }
    }

    /// Surely no request to take it on was ever on its way.
    fn never_sent(&self) -> bool {
        !self.reached && self.hands_out == 0
    }
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    part: PartId,
    pass: Pass,
    /// The gateway's incarnation as it was seen then.
    incarnation: u32,
    /// It was a request to take it on.
    hand: bool,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Taker {
    parts: BTreeMap<PartId, Sent>,
    /// With the member's incarnation: the next process may have lost it.
    folders: BTreeMap<MemberId, (u32, Folder)>,
    tickets: BTreeMap<Ticket, Asked>,
    last_ticket: u64,
}

impl Taker {
    pub(super) fn replay(&mut self, now: Micros, record: &Record) {
        match *record {
            Record::Passing { hand, to } => {
                self.parts.insert(hand.part, Sent::new(now, hand, to, State::Passing, true));
            }
            Record::Passed { part } => self.set(part, State::Passed),
            Record::Back { part } => self.set(part, State::Back),
            Record::Over { part, end } => self.set(part, State::Over(end)),
            _ => {}
        }
    }

    fn set(&mut self, part: PartId, state: State) {
        if let Some(sent) = self.parts.get_mut(&part) {
            sent.state = state;
        }
    }

    /// What has to be told again after a start.
    pub(super) fn again(&self, effects: &mut Vec<Effect>) {
        for (part, sent) in &self.parts {
            match sent.state {
                State::Over(end) => effects.push(Effect::Over { part: *part, end }),
                State::Back => effects.push(Effect::Own { part: *part, deadline: sent.hand.deadline }),
                _ => {}
            }
        }
    }

    /// Whether a part is neither this relay's own nor over.
    pub(super) fn out(&self, part: PartId) -> bool {
        use State::{Lost, Passed, Passing, Withdrawing};
        let state = self.parts.get(&part).map(|sent| sent.state);
        matches!(state, Some(Passing | Withdrawing | Lost | Passed))
    }

    pub(super) fn pass_on(
        &mut self, now: Micros, part: PartId, to: MemberId, deadline: Micros, effects: &mut Vec<Effect>,
    ) {
        let before = self.parts.get(&part).map(|sent| (sent.state, sent.hand.pass));
        match before {
            None if self.parts.len() < MOST_PARTS => {}
            Some((State::Back, _)) => {}
            Some(_) => return,
            None => return effects.push(Effect::Own { part, deadline }),
        }
        let pass = Pass(before.map_or(1, |(_, pass)| pass.0 + 1));
        let folder = self.folders.get(&to).map(|(_, folder)| *folder);
        let hand = Hand { part, pass, folder: folder.unwrap_or(Folder(0)), deadline };
        self.parts.insert(part, Sent::new(now, hand, to, State::Asking, false));
        if let Some(folder) = folder {
            self.begin(part, folder, effects);
        }
    }

    /// The record of passing on, before the first request.
    fn begin(&mut self, part: PartId, folder: Folder, effects: &mut Vec<Effect>) {
        let Some(sent) = self.parts.get_mut(&part).filter(|sent| sent.state == State::Asking) else { return };
        (sent.hand.folder, sent.state, sent.next) = (folder, State::Passing, 0);
        effects.push(Effect::Persist(vec![Record::Passing { hand: sent.hand, to: sent.to }]));
    }

    /// Folders of processes that are gone are asked for anew.
    pub(super) fn members(&mut self, seen: &Seen) {
        self.folders.retain(|id, (incarnation, _)| seen.incarnation(*id) == *incarnation);
    }

    /// All that is due.
    pub(super) fn due(&mut self, now: Micros, seen: &Seen, effects: &mut Vec<Effect>) {
        let parts: Vec<PartId> = self.parts.keys().copied().collect();
        parts.into_iter().for_each(|part| self.due_of(now, part, seen, effects));
        self.tickets.retain(|_, asked| self.parts.contains_key(&asked.part));
    }

    pub(super) fn due_of(&mut self, now: Micros, part: PartId, seen: &Seen, effects: &mut Vec<Effect>) {
        let Some(sent) = self.parts.get_mut(&part) else { return };
        let deadline = sent.hand.deadline;
        if matches!(sent.state, State::Over(_) | State::Back) {
            if now >= deadline.saturating_add(KEEP) {
                self.parts.remove(&part);
            }
            return;
        }
        let lives = seen.lives(sent.to);
        let given_up = now >= sent.since.saturating_add(PATIENCE) || !lives;
        if sent.state == State::Asking && (given_up || now >= deadline) {
            return self.not_begun(part, effects);
        }
        let asked_back = sent.state == State::Withdrawing || given_up;
        if matches!(sent.state, State::Passing | State::Withdrawing) && asked_back && sent.never_sent() {
            return self.back(part, effects);
        }
        if now >= deadline.saturating_add(GRACE) {
            return self.over(part, PartEnd::Failed, effects);
        }
        if sent.state == State::Passing && given_up {
            (sent.state, sent.next) = (State::Withdrawing, now);
        }
        if now < sent.next || matches!(sent.state, State::Passed | State::Lost) {
            return;
        }
        self.last_ticket += 1;
        // Those of the gateway's side are odd.
        let (ticket, to, hand) = (Ticket(self.last_ticket * 2), sent.to, sent.hand);
        sent.next = now + if lives { ASK_AGAIN } else { ASK_DEAD_AGAIN };
        let passing = sent.state == State::Passing;
        sent.hands_out += u32::from(passing);
        let asked = Asked { part, pass: hand.pass, incarnation: seen.incarnation(to), hand: passing };
        self.tickets.insert(ticket, asked);
        effects.push(match sent.state {
            State::Asking => Effect::Ask { ticket, to, ask: Ask::Folder },
            State::Withdrawing => Effect::Ask { ticket, to, ask: Ask::Withdraw(hand) },
            _ => Effect::Hand { ticket, to, hand },
        });
    }

    /// Nothing was recorded or sent: it never left. An earlier pass's number stays known.
    fn not_begun(&mut self, part: PartId, effects: &mut Vec<Effect>) {
        let Some(sent) = self.parts.get_mut(&part) else { return };
        let deadline = sent.hand.deadline;
        if sent.hand.pass.0 > 1 {
            sent.state = State::Back;
        } else {
            self.parts.remove(&part);
        }
        effects.push(Effect::Own { part, deadline });
    }

    /// The part that the answer is about.
    pub(super) fn replied(
        &mut self, ticket: Ticket, answer: Result<Answer, Unanswered>, effects: &mut Vec<Effect>,
    ) -> Option<PartId> {
        let asked = self.tickets.remove(&ticket)?;
        let part = asked.part;
        let sent = self.parts.get_mut(&part).filter(|sent| sent.hand.pass == asked.pass)?;
        if asked.hand {
            sent.hands_out = sent.hands_out.saturating_sub(1);
            // Danger: whatever else went wrong, the request may be there, or may come yet.
            sent.reached |= !matches!(answer, Err(Unanswered::NotConnected | Unanswered::Unknown));
        }
        let (to, open) = (sent.to, matches!(sent.state, State::Passing | State::Withdrawing));
        match answer {
            Ok(Answer::Folder(folder)) => {
                self.folders.insert(to, (asked.incarnation, folder));
                self.begin(part, folder, effects);
            }
            Ok(Answer::Taken) if open => {
                sent.state = State::Passed;
                effects.push(Effect::Persist(vec![Record::Passed { part }]));
            }
            Ok(Answer::NeverTaken) if open => self.back(part, effects),
            Ok(Answer::Refused) if sent.state == State::Passing => {
                (sent.state, sent.next) = (State::Withdrawing, 0);
            }
            Ok(Answer::OtherFolder(folder)) if open => {
                sent.state = State::Lost;
                self.folders.insert(to, (asked.incarnation, folder));
            }
            _ => {}
        }
        Some(part)
    }

    /// A gateway tells an end.
    pub(super) fn ended(&mut self, part: PartId, end: PartEnd, effects: &mut Vec<Effect>) {
        if self.out(part) {
            self.over(part, end, effects);
        }
    }

    fn back(&mut self, part: PartId, effects: &mut Vec<Effect>) {
        let Some(sent) = self.parts.get_mut(&part) else { return };
        sent.state = State::Back;
        effects.push(Effect::Persist(vec![Record::Back { part }]));
        effects.push(Effect::Own { part, deadline: sent.hand.deadline });
    }

    fn over(&mut self, part: PartId, end: PartEnd, effects: &mut Vec<Effect>) {
        self.set(part, State::Over(end));
        effects.push(Effect::Persist(vec![Record::Over { part, end }]));
        effects.push(Effect::Over { part, end });
    }

    pub(super) fn end_of(&self, part: PartId) -> Option<PartEnd> {
        match self.parts.get(&part)?.state {
            State::Over(end) => Some(end),
            _ => None,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.parts.len()
    }
}
