//! Datagrams, and who is there.

use rand::seq::IteratorRandom;

use super::Fleet;
use crate::envelope::{self, Body, Head, Refused};
use crate::interface::{
    Effect, Epoch, MOST_TOLD_BYTES, MemberId, MemberState, Micros, Part, Record, Severity,
};
use crate::members::{Change, Out};
use crate::window::Stale;

/// For so long after the start many places are tried at once, so that a fleet finds itself.
const FINDING: Micros = 10_000_000;
/// How many are tried at a time then, and how many later.
const MANY: usize = 3;
/// Between two tries later.
const SELDOM: Micros = 2_000_000;

impl Fleet {
    pub(super) fn on_gossip_time(&mut self, now: Micros) {
        if self.swim.wake().is_some_and(|at| at <= now) {
            let out = self.swim.on_time(now);
            self.take(now, out);
        }
        if now >= self.next_contact {
            self.contact(now);
        }
        if now >= self.next_word {
            self.next_word = now + self.config.times.gossip;
            // Danger: with loss, news of a suspicion may come to the suspect too late to be refuted.
            let suspects: Vec<_> = self.swim.suspects().collect();
            for (round, refutation) in suspects {
                self.send(round.place, &Body::Suspected { round, refutation });
            }
        }
        if now >= self.next_look {
            self.next_look = now + self.config.times.probe;
            self.look_at_all(now);
        }
    }

    /// Tries places that nobody lives at as far as is known: at the start, and for ever after, so that the
    /// sides of a partition that declared each other dead find one another again.
    fn contact(&mut self, now: Micros) {
        // One that hears nobody goes on telling others that it is there: they see by it that it is not dead.
        let finding = now < self.started + FINDING || self.swim.deaf(now);
        self.next_contact = now + if finding { self.config.times.gossip } else { SELDOM };
        let deaf = self.swim.deaf(now);
        let mut there = vec![false; usize::from(self.config.peers)];
        for (identity, state) in self.swim.states() {
            if let Some(there) = there.get_mut(usize::from(identity.place.0)) {
                *there = state != foca::State::Down && !deaf;
            }
        }
        if let Some(me) = there.get_mut(usize::from(self.config.me.0)) {
            *me = true;
        }
        let missing = there.iter().enumerate().filter(|(_, there)| !**there);
        let missing = missing.map(|(place, _)| MemberId(place as u16));
        for place in missing.choose_multiple(&mut self.rng, if finding { MANY } else { 1 }) {
            let out = self.swim.announce(now, place);
            self.take(now, out);
        }
    }

    fn look_at_all(&mut self, now: Micros) {
        let incarnation = self.swim.identity().incarnation;
        self.view.myself(incarnation, self.swim.doubt());
        let states: Vec<_> = self.swim.states().collect();
        for (identity, state) in states {
            let change = self.view.look(now, identity, state, &self.profiles);
            self.tell_change(change);
        }
        for place in self.profiles.due(now) {
            self.send(place, &Body::WhoAreYou);
        }
    }

    pub(super) fn on_datagram(&mut self, now: Micros, from: MemberId, bytes: &[u8]) {
        self.counters.datagrams_in += 1;
        let (head, body) = match envelope::open(&self.keys, self.config.me, from, bytes) {
            Ok(opened) => opened,
            Err(Refused::Sealed | Refused::From) => {
                self.counters.datagrams_of_strangers += 1;
                return;
            }
            Err(Refused::Format | Refused::Malformed) => {
                self.counters.datagrams_malformed += 1;
                return;
            }
        };
        if from == self.config.me || from.0 >= self.config.peers {
            self.counters.datagrams_malformed += 1;
            return;
        }
        match self.heard.take(from, head.incarnation, head.sequence) {
            Ok(()) => {}
            Err(Stale::Replayed) => {
                self.counters.datagrams_replayed += 1;
                return;
            }
            Err(Stale::Older(known)) => {
                // Danger: a process whose folder was lost and whose clock was set back would never be heard
                // again.
                self.counters.datagrams_older += 1;
                self.send(from, &Body::Older { known });
                return;
            }
        }
        self.view.heard(now, from, head.incarnation, head.doubt);
        self.pull.heard(now, from, Epoch(head.epoch), self.known.epoch, &mut self.rng);
        match body {
            Body::Swim(rest) => {
                let prefix = crate::identity::Identity::new(from, head.incarnation).prefix();
                let out = self.swim.on_message(now, &[prefix, rest].concat());
                self.take(now, out);
                let peers = self.config.peers;
                self.profiles.heard_of(now, from, head.incarnation, peers, &mut self.rng);
            }
            Body::WhoAreYou => {
                let profile = self.profile();
                self.send(from, &Body::Profile(profile));
            }
            Body::Profile(profile) => {
                self.profiles.learn(from, head.incarnation, profile);
                let change = self.view.introduced(from, &self.profiles);
                self.tell_change(change);
            }
            Body::Older { known } => self.raise(now, known),
            Body::Told { part, body } => self.effects.push(Effect::Told { from, part, body }),
            Body::Suspected { round, refutation } => {
                let out = self.swim.on_suspected(now, from, round, refutation);
                self.take(now, out);
            }
            Body::News => {}
            Body::Mark { place, life, mark } => self.on_mark(now, place, life, mark),
        }
    }

    /// Others know a later process of this place than this one says it is.
    fn raise(&mut self, now: Micros, known: u32) {
        if let Some(next) = known.checked_add(1).filter(|_| known > self.swim.identity().incarnation) {
            self.records.push(Record::Started { incarnation: next });
            let line = format!(
                "the others know incarnation {known} of this member; goes on as {next}. Was its folder lost?"
            );
            self.log(Severity::Warning, line);
            let out = self.swim.raise(now, next);
            self.take(now, out);
        }
    }

    /// Takes what the gossip gave.
    fn take(&mut self, now: Micros, out: Out) {
        if let Some(identity) = out.renewed {
            self.view.myself(identity.incarnation, self.swim.doubt());
        }
        for (to, bytes) in out.datagrams {
            let prefix = self.swim.identity().prefix();
            // A farewell to an identity that was given up goes out under the one that replaced it.
            match bytes.strip_prefix(&prefix[..]) {
                Some(rest) => self.send(to.place, &Body::Swim(rest.to_vec())),
                None => self.counters.datagrams_confused += 1,
            }
        }
        for place in out.changed {
            if let Some((identity, state)) = self.swim.state_of(place) {
                let peers = self.config.peers;
                if state != foca::State::Down {
                    self.profiles.heard_of(now, place, identity.incarnation, peers, &mut self.rng);
                }
                let change = self.view.update(now, identity, state, &self.profiles);
                self.tell_change(change);
            }
        }
    }

    fn tell_change(&mut self, change: Option<Change>) {
        let Some(Change { id, incarnation, before, now, same_process }) = change else { return };
        self.counters.deaths += u64::from(now == MemberState::Dead && before != Some(MemberState::Deaf));
        self.counters.back_as_same += u64::from(same_process);
        self.changed = true;
        self.effects.push(Effect::MemberChanged { id, incarnation, before, now });
    }

    pub(super) fn tell(&mut self, to: Option<MemberId>, part: Part, body: &[u8]) {
        if body.len() > MOST_TOLD_BYTES {
            self.counters.datagrams_confused += 1;
            return;
        }
        let me = self.config.me;
        let all = || self.view.members().living().map(|member| member.id).filter(|id| *id != me).collect();
        let to: Vec<MemberId> = to.map_or_else(all, |to| vec![to]);
        for place in to {
            self.send(place, &Body::Told { part, body: body.to_vec() });
        }
    }

    pub(super) fn send(&mut self, to: MemberId, body: &Body) {
        self.sequence += 1;
        let head = Head {
            from: self.config.me,
            incarnation: self.swim.identity().incarnation,
            sequence: self.sequence,
            doubt: self.swim.doubt(),
            epoch: self.known.epoch.0,
        };
        match envelope::seal(&self.keys, to, &head, body) {
            Some(bytes) => {
                self.counters.datagrams_out += 1;
                self.counters.datagram_bytes_out += bytes.len() as u64;
                self.effects.push(Effect::Datagram { to, bytes });
            }
            None => self.counters.datagrams_confused += 1,
        }
    }

    /// To a few of the living, by chance.
    pub(super) fn send_to_some(&mut self, body: &Body, count: usize) {
        let me = self.config.me;
        let living = self.view.members().living().map(|member| member.id).filter(|id| *id != me);
        for place in living.choose_multiple(&mut self.rng, count) {
            self.send(place, body);
        }
    }

    pub(super) fn stop(&mut self, now: Micros) {
        let out = self.swim.leave(now);
        self.take(now, out);
        self.stopped = true;
    }

    pub(super) fn log(&mut self, severity: Severity, line: String) {
        self.effects.push(Effect::Log { severity, line });
    }
}
