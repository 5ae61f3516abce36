//! What goes, and to whom.

use pewterseam::interface::{HostId, MessageId, Micros};
use pewterseam_durable::record::Record;
use pewterseam_node::call::Call;
use pewterseam_node::io::Effect;
use pewterseam_node::pool::ConnectionId;

use super::messages::{Held, Out};
use super::{ByTheBook, TIME_OUT};

impl ByTheBook {
    pub(super) fn dispatch(&mut self, now: Micros) {
        let settings = &self.deployment.settings;
        let stops = self.stops_at.is_some_and(|by| now + TIME_OUT > by);
        let mut free = settings.slots.saturating_sub(self.carried.len());
        let due = |held: &Held| held.out.is_none() && held.closing.is_none() && held.not_before <= now;
        let waiting: Vec<u64> = self.held.iter().filter(|(_, held)| due(held)).map(|(n, _)| *n).collect();
        for number in waiting {
            if free == 0 || stops {
                return;
            }
            let held = &self.held[&number];
            let first = held.message.key.as_ref().and_then(|key| self.keys.get(key)?.front());
            if first.is_some_and(|first| *first != number) {
                continue;
            }
            let zone = held.past.ran_in.filter(|_| held.past.ran.is_some());
            let Some(host) = self.hosts.choose(held.message.destination, zone, now) else { continue };
            free -= 1;
            self.send(now, number, host);
        }
    }

    fn send(&mut self, now: Micros, number: u64, host: u64) {
        let Some((connection, open)) = self.hosts.connection(host, now) else { return };
        let (address, zone) = (open.address, open.zone);
        self.carried.insert(connection, number);
        let Some(held) = self.held.get_mut(&number) else { return };
        held.past.attempts += 1;
        held.out = Some(Out { connection, host, at: now, written: false, zone: Some(zone) });
        if open.is_idle {
            self.write(now, connection);
        } else {
            let within = self.deployment.settings.connect_timeout;
            self.step.effects.push(Effect::Open { connection, address, within });
        }
    }

    pub(super) fn write(&mut self, now: Micros, connection: ConnectionId) {
        let Some(number) = self.carried.get(&connection).copied() else {
            return self.hosts.keep(connection, now);
        };
        let Some(repeats) = self.held.get(&number).map(|held| self.repeats(held)) else { return };
        let Some(held) = self.held.get_mut(&number) else { return };
        let Some(out) = held.out.as_mut() else { return };
        (out.written, out.at) = (true, now);
        let (host, zone) = (out.host, out.zone);
        let until = held.window_end(repeats).unwrap_or(Micros::MAX).min(held.message.deadline);
        let call = Call {
            connection,
            id: MessageId(number),
            attempt: held.past.attempts,
            host: HostId(host),
            message: held.message.id.clone(),
            idempotency_key: held.message.idempotency_key.clone(),
            body: held.message.body.clone(),
            timeout: TIME_OUT.min(until.saturating_sub(now)),
        };
        self.step.records.push(Record::Started { number, at: now });
        self.step.records.extend(zone.map(|zone| Record::StartedIn { number, zone }));
        self.step.effects.push(Effect::Call(call));
    }
}
