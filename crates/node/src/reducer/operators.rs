//! What operators ask for.

use pewterseam::interface::{Event, Micros, RegistryUpdate};

use super::Reducer;
use crate::client::RequestId;
use crate::io::{Effect, Level};
use crate::operator::{Operation, Verdict};

impl Reducer {
    /// Answers an operator's call; gives what the decisions are to be told of it.
    pub(super) fn operate(&mut self, now: Micros, id: RequestId, operation: Operation) -> Option<Event> {
        self.counters.calls += 1;
        let (verdict, text, news) = match operation {
            Operation::Status if self.is_ready() => (Verdict::Yes, self.status(now), None),
            Operation::Status => (Verdict::NotNow, "not serving yet".to_owned(), None),
            Operation::Metrics => (Verdict::Yes, self.metrics(), None),
            Operation::Enter(name) => self.maintain(&name, true),
            Operation::Exit(name) => self.maintain(&name, false),
            Operation::Pin { destination, zone, away, seconds } => {
                self.pin(now, destination, zone, Some((away, seconds)))
            }
            Operation::Unpin { destination, zone } => self.pin(now, destination, zone, None),
            Operation::Standby | Operation::Active if self.stopping => {
                (Verdict::Conflict, "the process stops".to_owned(), None)
            }
            Operation::Standby | Operation::Active => {
                self.standby = operation == Operation::Standby;
                let word =
                    if self.standby { "standby: clients are sent away" } else { "active: clients are taken" };
                self.log(Level::Info, word.to_owned());
                self.step.effects.push(Effect::Standby(self.standby));
                (Verdict::Yes, word.to_owned(), None)
            }
        };
        self.step.effects.push(Effect::Tell { id, verdict, text });
        news.map(Event::Registry)
    }

    /// Passes an operator's word on a zone on; whether it is decided is seen in `/status`.
    fn pin(
        &mut self, now: Micros, destination: u32, zone: String, pin: Option<(bool, u64)>,
    ) -> (Verdict, String, Option<RegistryUpdate>) {
        let pinned = self.together.as_mut().and_then(|together| together.pin(now, destination, zone, pin));
        let Some(effects) = pinned else {
            return (Verdict::Conflict, "the operator's file has no [failover]".to_owned(), None);
        };
        self.step.effects.extend(effects);
        (Verdict::Yes, "proposed; /status shows what is decided".to_owned(), None)
    }

    fn status(&self, now: Micros) -> String {
        let fleet = self.together.as_ref().map(|together| together.status(now));
        fleet.map_or("serving".to_owned(), |fleet| format!("serving\n{fleet}"))
    }

    pub(super) fn maintain(&mut self, name: &str, under: bool) -> (Verdict, String, Option<RegistryUpdate>) {
        match self.names.maintain(name, under, false) {
            Err(_) => (Verdict::Unknown, "no list ever named this host".to_owned(), None),
            Ok(news) => {
                let word = if under { "under maintenance" } else { "back from maintenance" };
                self.log(Level::Info, format!("host {name}: {word}"));
                self.step.effects.push(Effect::KeepMaintenance(self.names.maintained()));
                (Verdict::Yes, word.to_owned(), news)
            }
        }
    }
}
