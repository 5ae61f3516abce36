//! What the decisions ask for, carried out.

use pewterseam::interface::{Action, Event, HostId, MessageId, Micros};
use pewterseam_durable::message::End;
use pewterseam_durable::record::Record;

use super::Reducer;
use super::held::Carried;
use super::held::Out;
use crate::call::Call;
use crate::io::{Effect, Level};
use crate::pool::ConnectionId;

impl Reducer {
    /// Has an action carried out. Gives what follows from it at once.
    pub(super) fn act(&mut self, now: Micros, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, host, timeout, connect } => self.send(now, id, host, timeout, connect),
            Action::Write { id, .. } => self.write(now, id),
            Action::Withhold { id, attempt } => self.withhold(now, id, attempt),
            Action::Cancel { id, attempt } => {
                let out = self.held.get(&id).and_then(|held| held.out);
                let out = out.filter(|out| out.attempt == attempt);
                self.step.effects.extend(out.map(|out| Effect::Abandon(out.connection)));
            }
            Action::Refuse { id, retry_after } => {
                return self.end(id, End::Returned { after_ms: retry_after.div_ceil(1000) });
            }
            Action::Fail(id) => return self.end(id, End::Failed),
            Action::Probe(host) => self.probe(host),
            Action::CloseIdle(host) => self.pool.close(host),
            Action::Tell { to, bytes } => {
                self.counters.peer_messages_out += 1;
                self.step.effects.push(Effect::Gossip { to, bytes });
            }
            Action::Subscribe => self.step.effects.push(Effect::Follow),
            Action::Wake(at) => self.step.effects.push(Effect::Wake(at)),
            Action::Log(text) => self.log(Level::Info, text),
        }
        None
    }

    pub(super) fn probe(&mut self, host: HostId) {
        if let Some(address) = self.names.address(host) {
            self.counters.probes += 1;
            let (path, timeout) = (self.names.probe_path(), self.names.settings().connect_timeout);
            self.step.effects.push(Effect::Probe { host, address, path, timeout });
        }
    }

    /// Has an attempt made on an idle connection at once, or on a new one once that is open.
    pub(super) fn send(
        &mut self, now: Micros, id: MessageId, host: HostId, timeout: Micros, connect: Micros,
    ) {
        let held = self.held.get_mut(&id).filter(|held| held.out.is_none() && held.closing.is_none());
        let zoned = held.as_ref().is_some_and(|held| self.names.is_zoned(&held.message.class));
        let zone = self.names.zone_of(host).filter(|_| zoned);
        let (Some(held), Some(address)) = (held, self.names.address(host)) else {
            return self.must(false, "calls are for messages on hand, one at a time, to hosts of the list");
        };
        let attempt = held.past.attempts;
        held.past.attempts += 1;
        let idle = self.pool.take(host, address, now);
        let (until, idle_for) = (now + timeout, idle.map(|(_, idle_for)| idle_for));
        let carried = Carried { id, attempt, host, address, at: now, until, connect, idle_for };
        let out = |connection| Out { attempt, at: now, written_at: None, zone, connection };
        match idle {
            Some((connection, _)) => {
                held.out = Some(out(connection));
                self.carried.insert(connection, carried);
                self.write(now, id);
            }
            None => {
                held.out = Some(out(ConnectionId(0)));
                self.open(carried, now);
            }
        }
    }

    /// Has the call of an attempt written to its connection, which is open.
    pub(super) fn write(&mut self, now: Micros, id: MessageId) {
        let out = self.held.get_mut(&id).and_then(|held| Some((held.out.as_mut()?, &held.message)));
        let Some((out, message)) = out else {
            return self.must(false, "what is written is out");
        };
        let Some(carried) = self.carried.get(&out.connection) else {
            return self.must(false, "what is written has a connection");
        };
        out.written_at = Some(now);
        let (connection, attempt, host) = (out.connection, out.attempt, carried.host);
        let timeout = carried.until.saturating_sub(now);
        let (body, idempotency_key) = (message.body.clone(), message.idempotency_key.clone());
        let message = message.id.clone();
        self.step.records.push(Record::Started { number: id.0, at: now });
        self.step.records.extend(out.zone.map(|zone| Record::StartedIn { number: id.0, zone }));
        self.counters.sent += 1;
        self.step.effects.push(Effect::Call(Call {
            connection,
            id,
            attempt,
            host,
            message,
            idempotency_key,
            body,
            timeout,
        }));
    }
}
