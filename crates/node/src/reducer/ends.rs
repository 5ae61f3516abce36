//! The ends of messages, and who is told of them.

use pewterseam::interface::{Event, MessageId, Micros};
use pewterseam_durable::message::End;
use pewterseam_durable::record::Record;

use super::Reducer;
use crate::client::Answer;
use crate::io::Effect;
use crate::notice::Notice;

impl Reducer {
    pub(super) fn forget(&mut self, id: MessageId) {
        if let Some(held) = self.held.remove(&id) {
            self.footprint -= held.footprint;
            self.by_client_id.remove(&held.message.id);
        }
    }

    /// Books the end of a message that was taken on; its id is remembered for a while.
    pub(super) fn finish(&mut self, now: Micros, id: MessageId, delivered: bool) {
        self.step.records.push(Record::Ended { number: id.0 });
        if let Some(held) = self.held.get(&id) {
            self.ended.add(now, &held.message.id, delivered);
        }
        self.forget(id);
    }

    /// Nothing is owed for a message any more.
    pub(super) fn withdraw(&mut self, id: MessageId) -> Event {
        self.forget(id);
        Event::Withdrawn(id)
    }

    /// Gives a message up: at once to a client that still waits for its answer, else by a notice.
    pub(super) fn end(&mut self, id: MessageId, end: End) -> Option<Event> {
        let Some(request) = self.asking.remove(&id) else {
            self.close(id, end);
            return None;
        };
        self.step.records.retain(|record| !matches!(record, Record::Taken { number, .. } if *number == id.0));
        self.counters.refused_at_once += 1;
        self.count_given_up(id, end);
        self.answer(request, refusal(end));
        Some(self.withdraw(id))
    }

    pub(super) fn close(&mut self, id: MessageId, end: End) {
        self.count_given_up(id, end);
        match end {
            End::Failed => self.counters.failed += 1,
            End::Returned { .. } => self.counters.returned += 1,
        }
        self.step.records.push(Record::Closing { number: id.0, end });
        self.notify(id, end);
    }

    pub(super) fn notify(&mut self, id: MessageId, end: End) {
        let held = self.held.get_mut(&id);
        let notice = held.map(|held| {
            held.closing = Some(end);
            Notice { number: id.0, id: held.message.id.clone(), end }
        });
        self.must(notice.is_some(), "what is given up is on hand");
        self.step.effects.extend(notice.map(Effect::Notify));
    }
}

/// The answer to a client whose message is given up before it was told that it is taken on.
fn refusal(end: End) -> Answer {
    match end {
        End::Failed => Answer::Failed,
        End::Returned { after_ms } => Answer::Refused { after_ms },
    }
}
