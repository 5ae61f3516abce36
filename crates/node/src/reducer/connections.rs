//! Connections to hosts and the calls on them, from the dial to the outcome.

use pewterseam::interface::{ConnectionUse, Ended, Event, MessageId, Micros, Outcome};
use pewterseam_durable::record::{Over, Record};

use super::held::Carried;
use super::{ABORTED, Reducer, SUCCEEDED};
use crate::call::Reply;
use crate::io::Effect;
use crate::pool::ConnectionId;

impl Reducer {
    /// A connection was opened for an attempt: whether it goes is decided anew.
    pub(super) fn opened(&mut self, connection: ConnectionId) -> Option<Event> {
        let carried = self.carried.get(&connection);
        self.must(carried.is_some(), "connections are opened for attempts");
        let Carried { id, attempt, .. } = *self.carried.get(&connection)?;
        Some(Event::Opened { id, attempt })
    }

    pub(super) fn not_opened(&mut self, now: Micros, connection: ConnectionId) -> Option<Event> {
        let took = now - self.carried.get(&connection)?.at;
        let (outcome, closed, report, kept) = (Outcome::ConnectFailed, false, None, false);
        self.called(now, connection, Reply { outcome, closed, took, report, kept })
    }

    /// An idle connection closed. Danger: a call was just to be written to it; another is opened for that. Danger: it
    /// had only just opened, and by that word in the same step the call is written to the other one, which is not open
    /// yet: it is never sent, and holds its slot for ever.
    pub(super) fn closed_connection(
        &mut self, now: Micros, connection: ConnectionId, events: &mut Vec<Event>,
    ) {
        let Some(carried) = self.carried.remove(&connection) else {
            self.pool.lost(connection);
            return;
        };
        events.retain(|event| !matches!(event, Event::Opened { id, .. } if *id == carried.id));
        if let Some(held) = self.held.get_mut(&carried.id)
            && let Some(out) = held.out.as_mut().filter(|out| out.connection == connection)
            && out.written_at.take().is_some()
        {
            self.counters.sent -= 1;
            self.step.records.push(Record::Over { number: carried.id.0, how: Over::Unseen });
        }
        self.open(Carried { idle_for: None, ..carried }, now);
    }

    /// Asks for a connection for an attempt.
    pub(super) fn open(&mut self, carried: Carried, now: Micros) {
        let connection = self.pool.open();
        if let Some(out) = self.held.get_mut(&carried.id).and_then(|held| held.out.as_mut()) {
            out.connection = connection;
        }
        let within = carried.connect.min(carried.until.saturating_sub(now));
        self.step.effects.push(Effect::Open { connection, address: carried.address, within });
        self.carried.insert(connection, carried);
    }

    /// A call that could not be recorded stays unmade, and its connection idle.
    pub(super) fn unmade(&mut self, now: Micros, connection: ConnectionId) -> Option<Event> {
        let Carried { id, attempt, host, address, idle_for, .. } = self.carried.remove(&connection)?;
        self.pool.put(connection, host, address, now);
        if let Some(held) = self.held.get_mut(&id) {
            held.out = None;
        }
        let (outcome, took, closed, limit) = (Outcome::NotSent, 0, false, None);
        let carrier = Some(ConnectionUse { idle_for, kept: true });
        Some(Event::Ended(Ended { id, attempt, outcome, took, closed, limit, connection: carrier }))
    }

    /// An attempt is not to be made: it is as if it had never been, and its connection is idle.
    pub(super) fn withhold(&mut self, now: Micros, id: MessageId, attempt: u32) {
        let of_attempt = |carried: &Carried| carried.id == id && carried.attempt == attempt;
        let found = self.carried.iter().find(|(_, carried)| of_attempt(carried));
        let Some((connection, Carried { host, address, .. })) = found.map(|(id, carried)| (*id, *carried))
        else {
            return self.must(false, "what is withheld has a connection");
        };
        self.counters.withheld += 1;
        self.carried.remove(&connection);
        self.pool.put(connection, host, address, now);
        if let Some(held) = self.held.get_mut(&id)
            && held.out.take_if(|out| out.connection == connection).is_some()
        {
            held.past.attempts -= 1;
        }
    }

    pub(super) fn called(&mut self, now: Micros, connection: ConnectionId, reply: Reply) -> Option<Event> {
        let Reply { outcome, closed, took, report, kept } = reply;
        let Carried { id, attempt, host, address, at: decided_at, idle_for, .. } =
            self.carried.remove(&connection)?;
        if kept {
            self.pool.put(connection, host, address, now);
        }
        let carrier = ConnectionUse { idle_for, kept };
        let mut opening = 0;
        let counters = &mut self.counters;
        *match outcome {
            Outcome::Ok => &mut counters.delivered,
            Outcome::Error => &mut counters.errors,
            Outcome::Rejected { .. } => &mut counters.turned_away,
            Outcome::Timeout | Outcome::Cancelled => &mut counters.timeouts,
            Outcome::ConnectFailed => &mut counters.no_connection,
            Outcome::Reset => &mut counters.resets,
            Outcome::NotSent => &mut counters.not_sent,
        } += 1;
        if let Some(held) = self.held.get_mut(&id)
            && let Some(out) = held.out.take_if(|out| out.connection == connection)
        {
            let at = out.written_at.unwrap_or(out.at);
            opening = out.written_at.map_or(0, |written_at| written_at - decided_at);
            if closed {
                self.count_end(id, if outcome == Outcome::Ok { SUCCEEDED } else { ABORTED });
                self.finish(now, id, outcome == Outcome::Ok);
            } else {
                let how = match outcome {
                    Outcome::ConnectFailed => Over::Failed,
                    _ if outcome.may_have_run() => Over::MayHaveRun,
                    _ => Over::Unseen,
                };
                let failed_before = held.past.failed;
                held.past.book(at, out.zone, how);
                if out.written_at.is_some() {
                    self.step.records.push(Record::Over { number: id.0, how });
                } else if !failed_before && held.past.failed {
                    self.step.records.push(Record::FailedAt { number: id.0, at });
                }
            }
        }
        self.saw(now, host, outcome, took + opening, false);
        let (limit, took) = (self.names.limit(report.as_deref()), took + opening);
        Some(Event::Ended(Ended { id, attempt, outcome, took, closed, limit, connection: Some(carrier) }))
    }
}
