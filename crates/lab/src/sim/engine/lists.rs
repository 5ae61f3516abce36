//! Discovery's word on its way to relays: pushed to the agent on a relay's machine, and asked for there.

use pewterseam::interface::Micros;
use pewterseam::timeouts;
use pewterseam_node::io::Input;
use pewterseam_node::list::State;

use super::super::event::{Event, Life};
use super::super::links::Party;
use super::super::registry::Follow;
use super::Engine;
use crate::story::{Happened, HostNumber, Listed, RelayNumber};

/// What discovery writes to an agent, in bytes.
const CHANGE: usize = 300;
/// What a question that fell silent missed counts as told so long after, and so long after its wait is over.
const TOLD_AFTER_SILENCE: Micros = 6_000_000;
const TOLD_AFTER_WAIT: Micros = 2_000_000;

impl Engine<'_> {
    pub(super) fn change_list(&mut self, host: HostNumber, state: State) {
        self.registry.change(host, state);
        self.push_all();
    }

    pub(super) fn registry_has(&self, host: HostNumber, state: State) -> bool {
        let changed = self.registry.changed(0, self.registry.rev);
        changed.iter().any(|(other, at)| (*other, *at) == (host, state))
    }

    /// Sends what is new to every agent; nothing while discovery is down.
    pub(super) fn push_all(&mut self) {
        if self.registry.is_down() {
            return;
        }
        for relay in 0..self.plan.fleet.relays {
            let base = self.links.between(0, self.relays[usize::from(relay)].zone);
            let way = self.links.stream(Party::Discovery, Party::Relay(relay), base, CHANGE);
            let at = way.at(self.now);
            self.calendar.enter(at, Event::Pushed { relay });
        }
    }

    /// The agent has what is new. It answers an open question with it; it counts as told at once where no
    /// question is out, and later where one is that fell silent.
    pub(super) fn pushed(&mut self, relay: RelayNumber) {
        let (has, rev) = (self.process(relay).agent_rev, self.registry.rev);
        if self.registry.is_down() || has >= rev || self.is_agent_cut(relay) {
            return;
        }
        self.process(relay).agent_rev = rev;
        let process = self.process(relay);
        let life = process.life;
        let Follow { asked, open, silent_since, waits_until, turned_away_at, known, .. } = process.follow;
        let later = match silent_since.filter(|_| open) {
            Some(since) => Some((since + TOLD_AFTER_SILENCE).max(waits_until + TOLD_AFTER_WAIT)),
            // Who was turned away is in line, and not told yet.
            None => turned_away_at.filter(|_| !open).map(|at| at + TOLD_AFTER_SILENCE),
        };
        match later {
            Some(at) => self.calendar.enter(at.max(self.now), Event::CountsAsTold { relay }),
            None if open && known.is_some() => self.list_answers(relay, life, asked),
            None => self.tell_list(relay),
        }
    }

    /// What a question missed counts as told, unless a later one has fallen silent as well.
    pub(super) fn counts_as_told(&mut self, relay: RelayNumber) {
        let now = self.now;
        let Follow { open, silent_since, .. } = self.process(relay).follow;
        match silent_since.filter(|since| open && since + TOLD_AFTER_SILENCE > now) {
            Some(since) => self.calendar.enter(since + TOLD_AFTER_SILENCE, Event::CountsAsTold { relay }),
            None => self.tell_list(relay),
        }
    }

    /// All that the agent has counts as told.
    pub(super) fn tell_list(&mut self, relay: RelayNumber) {
        let process = self.process(relay);
        let (told, has) = (process.told_rev, process.agent_rev);
        process.told_rev = has;
        for (host, state) in self.registry.changed(told, has) {
            let state = match state {
                State::Ready => Listed::Ready,
                State::Terminating => Listed::Draining,
                State::Gone => Listed::Gone,
            };
            self.tell(Happened::ListTold { relay, host, state });
        }
    }

    fn is_agent_cut(&self, relay: RelayNumber) -> bool {
        let (relay, agent) = (Party::Relay(relay), Party::Discovery);
        self.links.cut_until(agent, relay).is_some() || self.links.cut_until(relay, agent).is_some()
    }

    /// Discovery or the way to it went silent: so do the questions that are out.
    pub(super) fn silence_questions(&mut self) {
        for relay in 0..self.plan.fleet.relays {
            let silent = !self.registry.silent.is_empty() || self.is_agent_cut(relay);
            let now = self.now;
            let follow = &mut self.process(relay).follow;
            if silent && follow.open {
                follow.silent_since.get_or_insert(now);
            }
        }
    }

    /// What a cut held back comes through, if its sender still waits; a discovery that was down has forgotten
    /// it.
    pub(super) fn answer_held_questions(&mut self) {
        for relay in 0..self.plan.fleet.relays {
            if self.registry.is_down() || self.is_agent_cut(relay) {
                continue;
            }
            let process = self.process(relay);
            if process.follow.open && process.follow.silent_since.take().is_some() {
                let (life, asked) = (process.life, process.follow.asked);
                self.list_answers(relay, life, asked);
            }
        }
    }

    /// The relay follows the list from now on, until a question fails.
    pub(super) fn follow(&mut self, relay: RelayNumber) {
        let follow = &mut self.process(relay).follow;
        follow.patience = if std::mem::replace(&mut follow.again, true) {
            timeouts::LIST_RESPONSE
        } else {
            timeouts::RESPONSE
        };
        self.ask_list(relay);
    }

    fn ask_list(&mut self, relay: RelayNumber) {
        let answer_in = self.links.to_agent() * 2;
        let turned_away = !self.registry.turning_away.is_empty();
        let silent = self.is_agent_cut(relay) || !self.registry.silent.is_empty();
        let now = self.now;
        let process = self.process(relay);
        let has = process.agent_rev;
        let follow = &mut process.follow;
        follow.asked += 1;
        follow.open = true;
        follow.silent_since = silent.then_some(now);
        follow.turned_away_at = None;
        let Follow { asked, known, patience, .. } = *follow;
        let wait = if known.is_some() { timeouts::LIST_POLL } else { 0 };
        follow.waits_until = now + wait;
        let life = process.life;
        self.enter_in(wait + patience, Event::ListFails { relay, life, asked });
        if silent {
            return;
        }
        if turned_away {
            return self.enter_in(answer_in, Event::ListTurnedAway { relay, life, asked });
        }
        let at_once = known.is_none_or(|known| known < has);
        self.enter_in(if at_once { answer_in } else { wait }, Event::ListAnswers { relay, life, asked });
    }

    fn is_asked(&mut self, relay: RelayNumber, life: Life, asked: u64) -> bool {
        let process = self.process(relay);
        process.is_up(life) && process.follow.open && process.follow.asked == asked
    }

    pub(super) fn list_answers(&mut self, relay: RelayNumber, life: Life, asked: u64) {
        let silent = self.process(relay).follow.silent_since.is_some();
        if !self.is_asked(relay, life, asked) || silent || self.registry.is_down() {
            return;
        }
        let process = &self.relays[usize::from(relay)];
        let list = self.registry.list(process.agent_rev, process.follow.known);
        self.process(relay).follow.known = Some(list.rev);
        self.tell_list(relay);
        self.put(relay, Input::Listed(list));
        self.ask_list(relay);
    }

    pub(super) fn list_turned_away(&mut self, relay: RelayNumber, life: Life, asked: u64) {
        if self.is_asked(relay, life, asked) {
            let now = self.now;
            let follow = &mut self.process(relay).follow;
            (follow.open, follow.turned_away_at) = (false, Some(now));
            self.put(relay, Input::ListRefused);
        }
    }

    pub(super) fn list_fails(&mut self, relay: RelayNumber, life: Life, asked: u64) {
        if !self.is_asked(relay, life, asked) || self.defers(relay, Event::ListFails { relay, life, asked }) {
            return;
        }
        let follow = &mut self.process(relay).follow;
        (follow.open, follow.known) = (false, None);
        self.put(relay, Input::ListFailed);
    }
}
