//! Messages between voters, in calls.

use std::panic::{AssertUnwindSafe, catch_unwind};

use serde::{Deserialize, Serialize};

use super::calling::Why;
use super::{Fleet, Role};
use crate::calls::{AnswerTo, Purpose, Refused};
use crate::interface::{CallId, Micros, VoterId};
use crate::log::{Message, Voters, Wrong};

/// Messages to a voter that wait for the call before; the oldest are dropped, as any may be lost.
pub(super) const MOST_WAITING: usize = 64;
/// Bytes of entries and snapshots that go into one call; the first message always goes.
const MOST_LOG_BYTES: usize = 256 * 1024;

/// What goes to a voter in one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct LogCall {
    /// Of the sender, newest life and mark.
    life: u32,
    mark: u64,
    messages: Vec<Message>,
}

/// Its answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum LogAnswer {
    Taken,
    /// Taken, and the sender has no seat as far as is known here.
    Seats(Voters),
    /// The voter that was written to is no more: its seat's life is over.
    Gone {
        life: u32,
    },
}

/// Messages that wait for a voter.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pub(super) waiting: Vec<Message>,
    out: bool,
}

impl Fleet {
    pub(super) fn on_log_call(&mut self, now: Micros, call: CallId, answer: AnswerTo, said: LogCall) {
        let LogCall { life, mark, messages } = said;
        self.saw_mark(answer.from, life, mark);
        let Some(to) = messages.first().map(|message| message.to) else {
            return self.answer(call, answer, &LogAnswer::Taken);
        };
        if to.place != self.config.me {
            self.counters.voter_messages_refused += 1;
            return self.refuse(call, Refused::Malformed);
        }
        match self.is_seated_as(now, to) {
            Ok(true) => {}
            Ok(false) => return self.refuse(call, Refused::NotNow),
            Err(life) => {
                self.counters.voter_messages_refused += 1;
                return self.answer(call, answer, &LogAnswer::Gone { life });
            }
        }
        for message in messages.iter().filter(|message| message.from.place == answer.from) {
            let Role::Seated(voter) = &mut self.role else { break };
            match catch_unwind(AssertUnwindSafe(|| voter.message(message))) {
                Ok(Ok(())) => {}
                Ok(Err(Wrong::Senseless)) => self.counters.voter_messages_refused += 1,
                Ok(Err(Wrong::Promised)) => {
                    self.counters.voter_messages_refused += 1;
                    self.lost_seat(now, "the leader counts on entries that this voter does not have");
                }
                Err(_) => self.broken(),
            }
        }
        self.voter_step(now);
        // Danger: a voter that was removed while it was away is told so by nobody else, and asks for votes
        // for ever.
        let from = messages.first().map(|message| message.from);
        match from.filter(|from| !self.voters.seats(*from)) {
            Some(_) if matches!(self.role, Role::Seated(_)) => {
                let voters = self.voters.clone();
                self.answer(call, answer, &LogAnswer::Seats(voters));
            }
            _ => self.answer(call, answer, &LogAnswer::Taken),
        }
    }

    /// Sends what waits for a voter, unless a call to it is out.
    pub(super) fn flush(&mut self, now: Micros, to: VoterId) {
        let Role::Seated(voter) = &self.role else { return };
        let (life, mark) = (voter.id().life, voter.mark());
        let Some(outbox) = self.outboxes.get_mut(&to) else { return };
        if outbox.out || outbox.waiting.is_empty() {
            return;
        }
        let mut bytes = 0;
        let mut count = 0;
        for message in &outbox.waiting {
            bytes += message.entries.iter().map(|entry| entry.data.len()).sum::<usize>();
            bytes += message.snapshot.as_ref().map_or(0, |snapshot| snapshot.data.len());
            if count > 0 && bytes > MOST_LOG_BYTES {
                break;
            }
            count += 1;
        }
        let messages: Vec<Message> = outbox.waiting.drain(..count).collect();
        outbox.out = true;
        let snapshot = messages.iter().any(|message| message.snapshot.is_some());
        let body = postcard::to_stdvec(&LogCall { life, mark, messages }).unwrap_or_default();
        self.call(now, to.place, Purpose::LOG, body, Why::Log { voter: to, snapshot });
    }

    pub(super) fn on_log_answer(
        &mut self, now: Micros, to: VoterId, snapshot: bool, answer: Option<LogAnswer>,
    ) {
        if let Some(outbox) = self.outboxes.get_mut(&to) {
            outbox.out = false;
        }
        if let Role::Seated(voter) = &mut self.role {
            match &answer {
                Some(LogAnswer::Taken) if snapshot => voter.took_snapshot(to),
                Some(LogAnswer::Taken) => {}
                Some(LogAnswer::Seats(voters)) => {
                    let voters = voters.clone();
                    self.take_voters(&voters);
                }
                Some(LogAnswer::Gone { life }) if *life >= to.life => {
                    self.gone_voters.insert(to);
                    voter.unreachable(to);
                }
                _ => voter.unreachable(to),
            }
        }
        if answer.is_some() {
            self.flush(now, to);
        } else if let Some(outbox) = self.outboxes.get_mut(&to) {
            // Most of it has been overtaken; what counts is sent anew.
            outbox.waiting.clear();
        }
    }
}
