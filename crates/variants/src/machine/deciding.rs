//! Rules in common: proposed from the file, narrowed when they prove too wide.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_fleet::interface::{
    Decision, Epoch, MOST_DECISION_BYTES, MemberId, Proposal, Refusal, Severity, Ticket,
};

use super::Machine;
use super::in_force::fingerprint;
use super::told::Tell;
use crate::claims::Limits;
use crate::interface::{Effect, Micros};
use crate::rules::{ClassRule, Narrowed, VariantsFile};

/// A proposal of which nothing was heard is made again after this.
const PROPOSE_AGAIN: Micros = 10_000_000;

/// What a proposal is about. One of each at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum About {
    Roster,
    Rule(String),
    Narrowed(String),
    Suggestion(String, u16, Option<String>),
}

/// Proposals whose outcome is not known yet.
#[derive(Debug, Default)]
pub struct Proposed(BTreeMap<About, (Ticket, Micros)>);

impl Proposed {
    pub fn roster(&self) -> bool {
        self.0.contains_key(&About::Roster)
    }
}

impl Machine {
    pub(super) fn propose(&mut self, now: Micros, about: About, proposal: Proposal) {
        if self.proposed.0.contains_key(&about) {
            return;
        }
        let ticket = self.ticket();
        self.proposed.0.insert(about, (ticket, now));
        self.effects.push(Effect::Propose { ticket, proposal });
    }

    pub(super) fn on_proposed(&mut self, _: Micros, ticket: Ticket, outcome: Result<Epoch, Refusal>) {
        let about = self.proposed.0.iter().find(|(_, of)| of.0 == ticket).map(|(about, _)| about.clone());
        let Some(about) = about else { return };
        self.proposed.0.remove(&about);
        if let (Err(Refusal::TooLong), About::Rule(class)) = (outcome, &about) {
            let line = format!(
                "the rule of class {class} is not in force: with its names and prefixes it has more than \
                 {MOST_DECISION_BYTES} bytes; shorten them in the operator's file"
            );
            self.log(Severity::Error, line);
        }
    }

    pub(super) fn on_file(&mut self, now: Micros, file: &VariantsFile) {
        let VariantsFile { most_claims, most_answer_bytes, .. } = *file;
        self.table.set_limits(Limits { most_claims, most_answer_bytes });
        self.file = Some(file.clone());
        self.look_rules(now);
    }

    /// Proposes what the file says and is not in force, if the file is the newer one.
    pub(super) fn look_rules(&mut self, now: Micros) {
        self.proposed.0.retain(|_, (_, at)| now < *at + PROPOSE_AGAIN);
        let Some(file) = &self.file else { return };
        // After a restart the decisions in force are told first; those before it in rank go first.
        if self.members.get(self.config.me).is_none() {
            return;
        }
        let mut wanted = Vec::new();
        for rule in &file.rules {
            let known = self.in_force.class(&rule.class);
            if known.is_none_or(|known| known.decided.revision < file.revision) {
                wanted.push((rule.class.clone(), Some(rule.rule())));
            }
        }
        for (class, known) in self.in_force.classes() {
            let gone = file.rules.iter().all(|rule| rule.class != *class);
            if gone && known.decided.rule.is_some() && known.decided.revision < file.revision {
                wanted.push((class.clone(), None));
            }
        }
        let revision = file.revision;
        for (class, rule) in wanted {
            let known = self.in_force.class(&class);
            let epoch = known.map_or(Epoch(0), |known| known.epoch);
            let salt = known.map(|known| known.decided.salt);
            let salt = salt.unwrap_or_else(|| rand::Rng::random(&mut self.rng));
            let matter = ClassRule { class: class.clone(), revision, salt, rule };
            let grounds = format!("revision {revision} of the operator's file at relay {}", self.config.me.0);
            let Ok(proposal) = Proposal::of(&matter, grounds) else { continue };
            self.propose(now, About::Rule(class), proposal.unless_after(epoch));
        }
    }

    pub(super) fn heed_rules(&mut self, now: Micros, decision: &Decision) {
        let keep = self.config.longest;
        if let Some(rule) = decision.read::<ClassRule>() {
            self.counters.rules_changed += 1;
            let newer = self.file.as_ref().is_some_and(|file| rule.revision > file.revision);
            let (class, revision) = (rule.class.clone(), rule.revision);
            self.in_force.decided(now, decision.epoch, rule, keep);
            let line = format!("variants: the rule of class {class} is that of revision {revision}");
            self.log(Severity::Info, line);
            if newer {
                let line = format!(
                    "variants: this relay's file is older than revision {revision}; bring it up to date"
                );
                self.log(Severity::Warning, line);
            }
        }
        if let Some(narrowed) = decision.read::<Narrowed>() {
            self.counters.narrowed += 1;
            let class = narrowed.class.clone();
            self.in_force.narrowed(now, decision.epoch, narrowed, keep);
            let line = format!("variants: the rule of class {class} is narrowed: {}", decision.grounds);
            self.log(Severity::Warning, line);
        }
    }

    /// Messages of a class were merged without a part, and differ in it.
    pub(super) fn narrow(&mut self, now: Micros, class: &str, print: u16) {
        let Some(of) = self.in_force.class(class) else { return };
        let Some(rule) = &of.decided.rule else { return };
        let known = of.narrowed_parts();
        // Prints are of the parts that are not in the key yet, in their order.
        let open = rule.apart.iter().enumerate().filter(|(at, part)| {
            part.absent == crate::rules::Absent::Agrees && !known.contains(&(*at as u16))
        });
        let Some((part, found)) = open.map(|(at, part)| (at as u16, part)).nth(usize::from(print)) else {
            return;
        };
        let parts: BTreeSet<u16> = known.into_iter().chain([part]).collect();
        let grounds = format!("messages merged without {} proved to differ in it", found.source);
        let epoch = of.narrowed.as_ref().map_or(Epoch(0), |(epoch, _)| *epoch);
        let matter = Narrowed { class: class.to_owned(), rule: fingerprint(rule), parts };
        let Ok(proposal) = Proposal::of(&matter, grounds) else { return };
        self.propose(now, About::Narrowed(class.to_owned()), proposal.unless_after(epoch));
    }

    pub(super) fn on_told(&mut self, now: Micros, _: MemberId, body: &[u8]) {
        match postcard::from_bytes::<Tell>(body) {
            Ok(Tell::Look(keys)) => {
                let waiting: Vec<u64> = keys.into_iter().flat_map(|key| self.messages.of_key(key)).collect();
                for handle in waiting {
                    self.with_message(now, handle, |message, owners| message.look(now, owners));
                }
            }
            Ok(Tell::Observed(observed)) => self.learning.heard(observed),
            Ok(Tell::Counted(counted)) => self.learning.counted(counted),
            Err(_) => self.counters.malformed += 1,
        }
    }
}
