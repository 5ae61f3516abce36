//! Each input by its kind; what discovery and a new configuration change.

use pewterseam::interface::{Event, HostId, MessageId, Micros, Outcome, RegistryUpdate};

use pewterseam_failover::interface::Seen;
use pewterseam_fleet::interface::{CallId, Input as Asked, MemberId};

use super::Reducer;
use crate::change::Change;
use crate::client::Answer;
use crate::io::{Effect, Input, Level};
use crate::list::List;
use crate::names::Told;

impl Reducer {
    pub(super) fn take(&mut self, now: Micros, input: Input, events: &mut Vec<Event>) {
        match input {
            Input::Offer { id, offer } => events.extend(self.offer(now, id, offer)),
            Input::Question { id, question } => self.question(id, question),
            Input::BadRequest => self.counters.bad_requests += 1,
            Input::Operation { id, operation } => events.extend(self.operate(now, id, operation)),
            Input::BadOps => self.counters.bad_calls += 1,
            Input::Silent => self.counters.connections_silent += 1,
            Input::Crowded => self.counters.connections_refused += 1,
            Input::Opened(connection) => events.extend(self.opened(connection)),
            Input::NotOpened(connection) => events.extend(self.not_opened(now, connection)),
            Input::Closed(connection) => self.closed_connection(now, connection, events),
            Input::Stalled { connection, stalled } => {
                let carried = self.carried.get(&connection);
                events.extend(carried.map(|c| Event::Stalled { id: c.id, attempt: c.attempt, stalled }));
            }
            Input::Called { connection, reply } => events.extend(self.called(now, connection, reply)),
            Input::Probed { host, reply } => {
                let limit = self.names.limit(reply.report.as_deref());
                self.saw(now, host, reply.outcome, reply.took, true);
                events.push(Event::Probed { host, outcome: reply.outcome, limit });
            }
            Input::Listed(list) => {
                self.counters.lists += 1;
                if std::mem::take(&mut self.list_fails) {
                    self.log(Level::Info, "discovery answers again".to_owned());
                }
                self.begin(Some(&list), events);
            }
            Input::ListFailed => {
                self.counters.list_failures += 1;
                if !std::mem::replace(&mut self.list_fails, true) {
                    self.log(Level::Warn, "discovery does not answer; the last list stays in use".to_owned());
                }
                self.begin(None, events);
                events.push(Event::Registry(RegistryUpdate::Failed));
            }
            Input::ListRefused => {
                self.counters.list_refusals += 1;
                self.begin(None, events);
                events.push(Event::Registry(RegistryUpdate::Overloaded));
            }
            Input::Peer { from, bytes } => {
                self.counters.peer_messages_in += 1;
                if let Some(together) = self.together.as_mut().filter(|together| together.is_ours(&bytes)) {
                    let said = together.take(now, Asked::Datagram { from: MemberId(from), bytes });
                    return self.step.effects.extend(said);
                }
                events.push(Event::Peer { from, bytes });
            }
            Input::MemberCall { id, body } => {
                self.counters.member_calls += 1;
                match &mut self.together {
                    Some(together) => {
                        let said = together.take(now, Asked::Call { call: CallId(id.0), body });
                        self.step.effects.extend(said);
                    }
                    None => self.step.effects.push(Effect::Answer { id, answer: Answer::NoFleet }),
                }
            }
            Input::MemberAnswered { call, answer } => self.ask_fleet(now, Asked::Answer { call, answer }),
            Input::FleetKeys(keys) => self.ask_fleet(now, Asked::Keys(keys)),
            Input::Stray => self.counters.peer_messages_dropped += 1,
            Input::Told { numbers, read } => {
                if !read {
                    self.log(
                        Level::Error,
                        "the platform can't read a notice; it is not told again".to_owned(),
                    );
                }
                self.notices_fail = false;
                for number in numbers {
                    self.counters.notices_answered += u64::from(read);
                    self.finish(now, MessageId(number), false);
                    events.push(Event::Withdrawn(MessageId(number)));
                }
            }
            Input::NotTold { status } => {
                self.counters.notices_not_answered += 1;
                let answer = status.map_or("no answer".to_owned(), |status| format!("status {status}"));
                if !std::mem::replace(&mut self.notices_fail, true) {
                    self.log(Level::Warn, format!("notices meet with {answer}; they are told again"));
                }
            }
            Input::WrittenAnew { done } => self.counters.journal_failures += u64::from(!done),
            Input::Configured(Ok(change)) => events.extend(self.configure(change)),
            Input::Configured(Err(rejected)) => {
                self.counters.configurations_rejected += 1;
                self.log(
                    Level::Error,
                    format!("the new configuration is not taken, the old one stays: {rejected}"),
                );
            }
            Input::Stop { by } => {
                self.stopping = true;
                self.ask_fleet(now, Asked::Stop);
                self.log(Level::Info, "stopping: it is ready no more".to_owned());
                events.push(Event::Stop { by });
            }
            Input::Close => {
                self.closed = true;
                self.log(Level::Info, "stopping: new requests are refused".to_owned());
            }
        }
    }

    /// Tells failover how a call or a probe ended.
    pub(super) fn saw(&mut self, now: Micros, host: HostId, outcome: Outcome, took: Micros, probe: bool) {
        let Some((destination, zone)) = self.names.stands(host) else { return };
        let end = Seen { destination, zone, outcome, took, limit: None, probe };
        let said = self.together.as_mut().map(|together| together.ended(now, end));
        self.step.effects.extend(said.into_iter().flatten());
    }

    /// Gives an input to the fleet's machine, if there is one.
    fn ask_fleet(&mut self, now: Micros, asked: Asked) {
        let said = self.together.as_mut().map(|together| together.take(now, asked));
        self.step.effects.extend(said.into_iter().flatten());
    }

    /// Takes a new configuration over, as far as a running relay can.
    pub(super) fn configure(&mut self, change: Change) -> Option<Event> {
        self.counters.configurations += 1;
        let Change { discovery, settings, at_next_start } = change;
        let moved =
            discovery.map_or("discovery stays".to_owned(), |address| format!("discovery is at {address}"));
        self.log(Level::Info, format!("new configuration: {moved}"));
        if !at_next_start.is_empty() {
            let keys = at_next_start.join(", ");
            self.log(Level::Warn, format!("new configuration: {keys} will be heeded at the next start"));
        }
        self.step.effects.extend(discovery.map(Effect::Move));
        let settings = settings.map(|deployment| self.names.retune(&deployment))?;
        for class in self.names.class_names().to_vec() {
            self.ends_of(&class);
        }
        self.log(Level::Info, "new configuration: classes and attempts are heeded now".to_owned());
        Some(Event::SettingsChanged(settings))
    }

    pub(super) fn list(&mut self, list: &List) -> Event {
        let Told { news, gone, unknown } = self.names.list(list);
        self.listed_anew = true;
        // Danger: over a long day, connections to hosts that are gone take the descriptors.
        gone.into_iter().for_each(|host| self.pool.close(host));
        if unknown > 0 {
            self.counters.list_entries_dropped += unknown as u64;
            self.log(Level::Warn, format!("{unknown} hosts of the list are of a kind not in the settings"));
        }
        Event::Registry(news)
    }
}
