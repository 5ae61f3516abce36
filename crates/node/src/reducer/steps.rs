//! One step: inputs in, what follows decided, records and effects out; and a step taken back.

use pewterseam::interface::{Event, MessageId, Micros};
use pewterseam::timeouts;
use pewterseam_durable::record::Record;

use super::Reducer;
use crate::client::Answer;
use crate::io::{Effect, Input, Level, Step};

impl Reducer {
    /// Takes inputs in order, then has it decided once what follows.
    pub fn step(&mut self, now: Micros, inputs: Vec<Input>) -> Step {
        self.step.records = std::mem::take(&mut self.backlog);
        let mut events = Vec::new();
        for input in inputs {
            self.take(now, input, &mut events);
        }
        let said = self.together.as_mut().map(|together| together.look(now));
        self.step.effects.extend(said.into_iter().flatten());
        self.heed_together(now, &mut events);
        self.decide(now, events)
    }

    /// Takes what follows of the fleet for the decisions, and has hosts probed that are to be looked at.
    fn heed_together(&mut self, now: Micros, events: &mut Vec<Event>) {
        let listed_anew = std::mem::take(&mut self.listed_anew);
        let Some(together) = &mut self.together else { return };
        if listed_anew {
            self.step.effects.extend(together.listed(now, || self.names.by_zone()));
        }
        events.extend(together.events());
        for (destination, zone, calls) in together.looks() {
            let hosts = self.names.in_zone(destination, zone);
            // Another one first each time.
            let first = (now / timeouts::RETRY_PAUSE) as usize;
            for call in (0..calls as usize).filter(|_| !hosts.is_empty()) {
                self.probe(hosts[(first + call) % hosts.len()]);
            }
        }
    }

    /// Whether an [`Effect::KeepFleet`] was written: what rests on it follows.
    pub fn kept(&mut self, now: Micros, number: u64, written: bool) -> Step {
        let said = self.together.as_mut().map(|together| together.kept(now, number, written));
        Step { records: Vec::new(), effects: said.into_iter().flatten().collect() }
    }

    /// Takes back what must not be without its record: what was taken on is refused, and calls stay unmade.
    /// Records of what has happened all the same are kept for the next step.
    pub fn undo(&mut self, now: Micros, step: Step) -> Step {
        self.counters.journal_failures += 1;
        let mut events = Vec::new();
        for record in step.records {
            match record {
                Record::Taken { number, .. } => events.push(self.withdraw(MessageId(number))),
                Record::Started { .. } | Record::StartedIn { .. } => {}
                other => self.backlog.push(other),
            }
        }
        for effect in step.effects {
            match effect {
                Effect::Answer { id, answer: Answer::Taken } => {
                    self.counters.taken -= 1;
                    self.counters.refused_by_journal += 1;
                    self.step.effects.push(Effect::Answer { id, answer: Answer::NotKept });
                }
                Effect::Call(call) => {
                    self.counters.sent -= 1;
                    events.extend(self.unmade(now, call.connection));
                }
                other => self.step.effects.push(other),
            }
        }
        self.decide(now, events)
    }

    /// Has decisions made until nothing follows from them at once.
    pub(super) fn decide(&mut self, now: Micros, mut events: Vec<Event>) -> Step {
        loop {
            let actions = self.brain.step(now, events);
            events = actions.into_iter().filter_map(|action| self.act(now, action)).collect();
            if events.is_empty() {
                break;
            }
        }
        let asking = std::mem::take(&mut self.asking);
        self.counters.taken += asking.len() as u64;
        self.counters.answered += asking.len() as u64;
        self.check();
        let closing = self.pool.closing();
        if !closing.is_empty() {
            self.step.effects.push(Effect::Close(closing));
        }
        let mut step = std::mem::take(&mut self.step);
        let taken = asking.into_values().map(|id| Effect::Answer { id, answer: Answer::Taken });
        // Clients are answered before their messages go on.
        step.effects.splice(0..0, taken);
        step
    }

    /// What must hold after each step.
    pub(super) fn check(&mut self) {
        let answered = self.counters.answered == self.counters.requests;
        self.must(answered, "each request that was read is answered in its step");
        let footprint = self.held.values().map(|held| held.footprint).sum::<u64>();
        self.must(footprint == self.footprint, "the footprint is that of the messages on hand");
        let known = self.by_client_id.len() == self.held.len();
        self.must(known, "each message on hand is known by its client's id");
        let out = self.calls_out();
        self.must(out <= self.names.settings().slots, "no more calls are out than there are slots");
    }

    /// Asserted in debug builds, counted in release.
    pub(super) fn must(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        if !holds {
            self.counters.invariants_broken += 1;
            self.log(Level::Error, format!("invariant broken: {what}"));
        }
    }

    pub(super) fn log(&mut self, level: Level, text: String) {
        self.step.effects.push(Effect::Log { level, text });
    }
}
