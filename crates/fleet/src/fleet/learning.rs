//! Decisions as they come into force here, from the log or from other members.

use super::Fleet;
use super::calling::Why;
use crate::calls::Purpose;
use crate::envelope::Body;
use crate::interface::{Decision, Effect, Epoch, InForce, MemberId, Micros, Record};
use crate::learn::{After, Page};

/// A new epoch is told to so many others at once.
const NEWS: usize = 3;

impl Fleet {
    pub(super) fn on_learn_time(&mut self, now: Micros) {
        let Some(whom) = self.pull.due(now, self.known.epoch, &mut self.rng) else { return };
        let after = self.after();
        let body = postcard::to_stdvec(&after).unwrap_or_default();
        self.call(now, whom, Purpose::LEARN, body, Why::Learn);
    }

    /// What is asked for: what follows on what is known, or on the pages that are to replace it.
    fn after(&self) -> After {
        match &self.anew {
            Some(anew) => After { epoch: anew.epoch, ends: anew.forgotten },
            None => After { epoch: self.known.epoch, ends: self.known.epoch },
        }
    }

    pub(super) fn on_page(&mut self, now: Micros, from: MemberId, page: Option<Page>) {
        let known = self.known.epoch;
        let Some(page) = page.filter(|page| page.sound(self.after().epoch)) else {
            return self.pull.answered(now, from, false);
        };
        self.take_voters(&page.voters);
        let (newest, upto) = (page.newest, page.upto);
        if page.fresh || self.anew.is_some() {
            self.on_page_anew(page);
        } else if upto > known {
            self.take_decisions(page.decisions, upto);
        }
        // It was overtaken on its way, or the other member knows less than it said.
        self.counters.older_epochs += u64::from(newest < known);
        self.pull.answered(now, from, newest > known);
        self.pull.heard(now, from, newest, self.known.epoch, &mut self.rng);
    }

    /// A page of all that is in force, which replaces what is known. Danger: what ended while this member
    /// was away, and was forgotten, would stay in force; and with some of the pages only, what is in force
    /// would be missing.
    fn on_page_anew(&mut self, page: Page) {
        let begun = if page.fresh { None } else { self.anew.take() };
        let mut anew = begun.unwrap_or_else(|| InForce { forgotten: page.forgotten, ..InForce::default() });
        page.decisions.into_iter().for_each(|decision| anew.take(decision));
        anew.epoch = page.upto;
        if page.upto < page.newest {
            self.anew = Some(anew);
        } else if anew.epoch > self.known.epoch {
            self.replace_known(anew);
        }
    }

    /// All that is in force is another than what was known.
    pub(super) fn replace_known(&mut self, all: InForce) {
        let before = std::mem::replace(&mut self.known, all);
        for old in before.all() {
            if !self.known.newest.contains_key(&(old.kind, old.subject.clone())) {
                self.effects.push(Effect::Ended { kind: old.kind, subject: old.subject.clone() });
            }
        }
        let mut newer: Vec<&Decision> =
            self.known.newest.values().filter(|of| of.epoch > before.epoch).collect();
        newer.sort_unstable_by_key(|decision| decision.epoch);
        self.counters.decisions += newer.len() as u64;
        self.effects.extend(newer.into_iter().cloned().map(Effect::Decided));
        self.records.push(Record::LearntAll(self.known.clone()));
        self.send_to_some(&Body::News, NEWS);
    }

    /// Decisions in the order of their epochs, after which all up to an epoch are known.
    pub(super) fn take_decisions(&mut self, decisions: Vec<Decision>, upto: Epoch) {
        let before = self.known.epoch;
        let last = decisions.last().map_or(before, |decision| decision.epoch);
        for decision in decisions.into_iter().filter(|decision| decision.epoch > before) {
            self.known.take(decision.clone());
            self.counters.decisions += 1;
            self.records.push(Record::Learnt(decision.clone()));
            self.effects.push(Effect::Decided(decision));
        }
        self.known.epoch = self.known.epoch.max(upto);
        if last < upto {
            // Epochs whose decisions are not in force any more are told by the sum.
            self.records.push(Record::LearntAll(self.known.clone()));
        }
        self.known.forget(MOST_ENDED);
        self.send_to_some(&Body::News, NEWS);
    }
}

/// Ended decisions that a learner remembers, to pass them on.
const MOST_ENDED: usize = 512;
