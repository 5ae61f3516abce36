//! What was learnt goes round, and is proposed.

use std::collections::BTreeMap;

use pewterseam_fleet::interface::{Decision, MOST_TOLD_BYTES, MemberId, Proposal, Severity};

use super::Machine;
use super::deciding::About;
use super::in_force::fingerprint;
use super::told::Tell;
use crate::interface::{Effect, Micros};
use crate::learning::{Change, Observed, Suggestion, class_print};

impl Machine {
    /// Tells homes what they have to know; theirs is as good as any if it is lost.
    pub(super) fn learn(&mut self, now: Micros) {
        let me = self.config.me;
        let mut of_home = BTreeMap::<MemberId, Vec<Observed>>::new();
        for observed in self.learning.ready() {
            for home in self.members.owners(&observed.without.to_le_bytes(), 1) {
                of_home.entry(home).or_default().push(observed.clone());
            }
        }
        for (home, observed) in of_home {
            if home == me {
                self.learning.heard(observed);
                continue;
            }
            let mut some = Vec::new();
            for observed in observed {
                some.push(observed);
                let told = Tell::Observed(std::mem::take(&mut some));
                if postcard::to_stdvec(&told).is_ok_and(|body| body.len() <= MOST_TOLD_BYTES) {
                    let Tell::Observed(fits) = told else { continue };
                    some = fits;
                } else if let Tell::Observed(mut beyond) = told {
                    some.extend(beyond.pop());
                    self.tell(home, &Tell::Observed(beyond));
                }
            }
            self.tell(home, &Tell::Observed(some));
        }
        for counted in self.learning.counts() {
            for home in self.members.owners(&counted.place.class.to_le_bytes(), 1) {
                if home == me {
                    self.learning.counted(counted.clone());
                } else {
                    self.tell(home, &Tell::Counted(counted.clone()));
                }
            }
        }
        self.suggest(now);
    }

    fn tell(&mut self, to: MemberId, tell: &Tell) {
        match postcard::to_stdvec(tell) {
            Ok(body) if body.len() <= MOST_TOLD_BYTES => {
                self.effects.push(Effect::Tell { to: Some(to), body })
            }
            _ => self.counters.broken += 1,
        }
    }

    fn suggest(&mut self, now: Micros) {
        let found: Vec<_> = self.learning.convincing().cloned().collect();
        for counted in found {
            self.learning.settled(&counted.place);
            let class = self.in_force.classes().find(|(name, _)| class_print(name) == counted.place.class);
            let Some((class, rule)) = class.and_then(|(name, of)| Some((name, of.decided.rule.as_ref()?)))
            else {
                continue;
            };
            let Some(part) = rule.key.get(usize::from(counted.place.part)) else { continue };
            let form = counted.by_form == counted.same;
            let change = if form { Change::Form } else { Change::LeaveOut };
            let suggestion = Suggestion {
                class: class.clone(),
                part: counted.place.part,
                field: counted.place.field.clone(),
                rule: fingerprint(rule),
                change,
                pairs: counted.same,
            };
            let what = match &counted.place.field {
                Some(field) => format!("{field} of the body"),
                None => part.source.to_string(),
            };
            let grounds = format!(
                "{} pairs of messages of class {class} differed in {what} only{} and ended with the same answer, \
                 none otherwise; {} would merge them",
                counted.same,
                if form { ", by its form" } else { "" },
                if form { "forms for it" } else { "a key without it" },
            );
            let about = About::Suggestion(class.clone(), counted.place.part, counted.place.field.clone());
            let Ok(proposal) = Proposal::of(&suggestion, grounds) else { continue };
            self.propose(now, about, proposal.unless_after(pewterseam_fleet::interface::Epoch(0)));
        }
    }

    pub(super) fn heed_suggestion(&mut self, decision: &Decision) {
        let Some(suggestion) = decision.read::<Suggestion>() else { return };
        self.counters.suggested += 1;
        self.log(Severity::Info, format!("variants: proposed, and not in force: {}", decision.grounds));
        self.suggested.insert((suggestion.class.clone(), suggestion.part), suggestion);
    }
}
