//! Effects of actions: calls, by the behaviour of hosts and the limits of destinations; peer messages;
//! notices.

use pewterseam::interface::*;

use super::{Due, World, pseudo_random};
use crate::common::*;

impl World {
    pub(super) fn act(&mut self, me: usize, action: Action) {
        match action {
            Action::Send { id, host, timeout, connect } => {
                let Some(held) = self.held[me].get_mut(&id) else { return };
                held.in_flight = Some((held.history.attempts, self.now, host));
                held.history.attempts += 1;
                (held.timeout, held.connect) = (timeout, connect);
                let attempt = held.history.attempts - 1;
                if self.reports_opening && self.draw(2) == 0 {
                    let pause = self.draw(40 * MILLI);
                    self.schedule(me, pause, Due::Fixed(Event::Opened { id, attempt }));
                } else {
                    self.call(me, id, false);
                }
            }
            Action::Write { id, .. } => self.call(me, id, true),
            Action::Withhold { id, .. } => {
                if let Some(held) = self.held[me].get_mut(&id) {
                    held.history.attempts -= 1;
                    held.in_flight = None;
                }
            }
            Action::Cancel { id, attempt } => {
                let (outcome, took) = (Outcome::Cancelled, MILLI);
                let ended =
                    Ended { id, attempt, outcome, took, closed: false, limit: None, connection: None };
                self.schedule(me, took, Due::Ended(ended));
            }
            Action::Fail(id) | Action::Refuse { id, .. } if self.settings.ends_by_notice => {
                self.held[me].get_mut(&id).into_iter().for_each(|held| held.history.given_up = true);
                self.schedule(me, 200 * MILLI, Due::Fixed(Event::Withdrawn(id)));
            }
            Action::Fail(id) | Action::Refuse { id, .. } => drop(self.held[me].remove(&id)),
            Action::Tell { to, bytes } => self.deliver(me, to, &bytes),
            Action::Subscribe => {
                let news = match self.draw(3) {
                    0 => RegistryUpdate::Overloaded,
                    1 => RegistryUpdate::Failed,
                    _ => self.whole(),
                };
                self.schedule(me, 100 * MILLI, Due::Fixed(Event::Registry(news)));
            }
            Action::Wake(at) => self.schedule(me, at - self.now, Due::Fixed(Event::Timer)),
            Action::Probe(_) | Action::CloseIdle(_) | Action::Log(_) => {}
        }
    }

    /// Delivers a peer message; some are lost or corrupted.
    fn deliver(&mut self, me: usize, to: Option<u16>, bytes: &[u8]) {
        for peer in (0..self.brains.len()).filter(|peer| *peer != me) {
            if to.is_some_and(|to| usize::from(to) != peer) || self.draw(40) == 0 {
                continue;
            }
            let mut bytes = bytes.to_vec();
            if self.draw(60) == 0 {
                let place = self.draw(bytes.len() as u64) as usize;
                bytes[place] ^= 1 << self.draw(8);
            }
            let pause = self.draw(10 * MILLI);
            self.schedule(peer, pause, Due::Fixed(Event::Peer { from: me as u16, bytes }));
        }
    }

    /// Draws how a written call ends: each host behaves one way for some seconds, each destination has a
    /// limit.
    fn call(&mut self, me: usize, id: MessageId, new: bool) {
        let Some((attempt, _, host)) = self.held[me].get(&id).and_then(|held| held.in_flight) else { return };
        let (timeout, connect) = (self.held[me][&id].timeout, self.held[me][&id].connect);
        let destination = self.held[me][&id].request.destination;
        let limit = 6 + pseudo_random(3, u64::from(destination) + self.now / (30 * SECOND)) % 30;
        let count = self.calls.entry((destination, self.now / (SECOND / 10))).or_default();
        *count += 1;
        let used = *count as f64 * 10.0 / limit as f64;
        let took = 40 * MILLI + self.draw(200 * MILLI);
        let behaviour = pseudo_random(4, host.0 * 1000 + (self.now + host.0 * SECOND) / (7 * SECOND)) % 16;
        let luck = self.draw(40);
        let (outcome, took) = match (behaviour, luck) {
            (0, _) | (_, 0) => (Outcome::Error, took),
            (1, _) | (_, 1) => (Outcome::Timeout, timeout),
            (2, _) => (Outcome::ConnectFailed, if luck < 10 { connect } else { MILLI }),
            (3, 2..20) | (_, 2) => (Outcome::Reset, took),
            (4, 2..30) => (Outcome::Rejected { wait: 4 * SECOND }, took),
            (5, 2..30) | (_, 3) => (Outcome::Ok, took * 9),
            _ if used > 1.0 => {
                (Outcome::Rejected { wait: [0, 0, 500, 1500][luck as usize % 4] * MILLI }, took)
            }
            _ => (Outcome::Ok, took),
        };
        let (outcome, took) = if took > timeout { (Outcome::Timeout, timeout) } else { (outcome, took) };
        if self.draw(25) == 0 {
            self.schedule(me, MILLI, Due::Fixed(Event::Stalled { id, attempt, stalled: true }));
            self.schedule(me, 600 * MILLI, Due::Fixed(Event::Stalled { id, attempt, stalled: false }));
        }
        let told = destination.is_multiple_of(2) && !luck.is_multiple_of(3);
        // A host that refuses all calls has most of its limit left; others that refuse have almost none.
        let left = if behaviour == 4 { 0.7 + luck as f64 / 100.0 } else { (1.0 - used).max(0.0) };
        let left = destination.is_multiple_of(4).then_some(left);
        let limit = told.then_some(ReportedLimit { rate: limit as f64 * (0.9 + luck as f64 / 200.0), left });
        let idle_for = (!new).then_some(luck * 400 * MILLI);
        let kept = matches!(outcome, Outcome::Ok | Outcome::Rejected { .. }) && luck > 6;
        let carrier = self.reports_opening.then_some(ConnectionUse { idle_for, kept });
        let ended =
            Ended { id, attempt, outcome, took, closed: outcome == Outcome::Ok, limit, connection: carrier };
        self.schedule(me, took, Due::Ended(ended));
    }
}
