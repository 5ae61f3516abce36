//! Clients that ask for the state of their messages while there is traffic.

use std::sync::Arc;

use pewterseam_queue::StatusResult;
use pewterseam_wire::Micros;
use pewterseam_wire::record::MessageName;

use crate::event::{Event, Input};
use crate::history::Interval;
use crate::plan::{MILLISECOND, SECOND};
use crate::world::World;

/// Numbers of reads from here on are those of clients; below are those of the end.
const FIRST_PROBE: u64 = 1 << 32;
/// Of ten messages, so many are asked for.
const ASKED: usize = 4;
const MOST_QUESTIONS: usize = 3;
const LATEST_MS: usize = 8_000;

/// A question without an answer.
pub struct Probe {
    id: Arc<str>,
    sent_at: Micros,
}

impl World {
    /// A message was accepted: some are asked for a few times, from two seconds later on.
    pub(crate) fn plan_questions(&mut self, name: &MessageName) {
        if self.random.below(10) >= ASKED {
            return;
        }
        for _ in 0..1 + self.random.below(MOST_QUESTIONS) {
            let pause = 2 * SECOND + self.random.below(LATEST_MS) as Micros * MILLISECOND;
            self.agenda.add(self.now + pause, Event::AskState { name: name.clone() });
        }
    }

    pub(crate) fn ask_state(&mut self, name: MessageName) {
        let Some(relay) = self.relay_for_clients() else { return };
        let read = FIRST_PROBE + self.last_probe;
        self.last_probe += 1;
        let probe = Probe { id: Arc::from(name.request_id()), sent_at: self.now };
        self.probes.insert(read, probe);
        let arrival = self.now + self.network.delay();
        self.agenda.add(arrival, Event::Process(relay, Input::ReadStatus { read, name }));
    }

    /// A relay tells the state of a message. True if a client had asked for it.
    pub(crate) fn state_told(&mut self, read: u64, state: &StatusResult) -> bool {
        let Some(probe) = self.probes.remove(&read) else { return read >= FIRST_PROBE };
        let interval = Interval { sent_at: probe.sent_at, answered_at: self.now };
        self.judge.state_read(interval, &probe.id, state);
        true
    }
}
