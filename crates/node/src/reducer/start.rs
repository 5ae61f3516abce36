//! From the journal and the first word of discovery to a relay that serves.

use pewterseam::interface::{Event, History, Learnt, MessageId, Micros, PossibleRun, Request as Order};
use pewterseam_durable::message::End;
use pewterseam_durable::record::Past;
use pewterseam_durable::replay::{History as Kept, Restored};

use super::{Reducer, Start};
use crate::io::Step;
use crate::list::List;

impl Reducer {
    /// Takes over what the journal tells. Danger: the list as last known may be old, and hosts that drain or are
    /// gone by discovery's word would be sent what was restored. It is asked first; the old list is for when it
    /// does not answer.
    pub fn start(&mut self, now: Micros, history: Kept, known: Option<List>) -> Step {
        self.next = self.next.max(history.next);
        let messages = history.messages.into_iter();
        let restored = messages.filter_map(|restored| self.restore(now, restored)).collect();
        self.start = Some(Start { known, restored });
        self.decide(now, Vec::new())
    }

    /// Takes what the process before had learnt of hosts, if it left that; before `start`.
    pub fn recall(&mut self, learnt: Option<Learnt>) {
        self.learnt = learnt;
    }

    /// What has been learnt of hosts, for the next process.
    pub fn learnt(&self) -> Learnt {
        self.brain.learnt()
    }

    /// Goes on with the first word of discovery, or without it.
    pub(super) fn begin(&mut self, told: Option<&List>, events: &mut Vec<Event>) {
        let Start { known, restored } = match self.start.take() {
            Some(start) => start,
            None => Start { known: None, restored: Vec::new() },
        };
        events.extend(told.or(known.as_ref()).map(|list| self.list(list)));
        events.extend(self.learnt.take().map(Event::Learnt));
        events.extend(restored);
    }

    /// Takes a message over from the journal. One that the settings don't know any more is given up.
    pub(super) fn restore(&mut self, now: Micros, restored: Restored) -> Option<Event> {
        let Restored { number, message, past, cut, closing } = restored;
        self.counters.restored += 1;
        let id = MessageId(number);
        let order = self.names.request(id, &message).ok();
        self.hold(id, message, past);
        match (closing, &order) {
            (Some(end), _) => self.notify(id, end),
            (None, None) => self.close(id, End::Failed),
            (None, Some(_)) => {}
        }
        let (Past { attempts, ran, failed, failed_at, ran_in }, cut_at) = (past, cut.then_some(now));
        // An older journal does not tell when.
        let failed_at = failed_at.or(failed.then_some(0));
        let zone = ran_in.and_then(|zone| self.names.zone(zone));
        let ran = ran.map(|at| PossibleRun { at, zone });
        let history = History {
            restored: true,
            attempts,
            possible_run: ran,
            failed_at,
            interrupted_at: cut_at,
            given_up: closing.is_some(),
        };
        order.map(|order| Event::Message(Order { history, ..order }))
    }
}
