//! The judge reads a story and says which rules were broken. It shares no code with a relay: the rules are
//! written from the words of the protocol's page, so that what both get wrong alike is not hidden.

mod around;
mod breach;
mod command;
mod excuses;
mod figures;
mod rule;
mod rules;
mod world;

use std::collections::BTreeMap;

use crate::plan::Plan;
use crate::story::Story;

pub use breach::{About, Breach};
pub use command::{JudgeArgs, JudgeFault, judge_command};
pub use excuses::{Excuses, Lag};
pub use figures::Figures;
pub use rule::Rule;
pub use rules::all;
pub use world::{CallSeen, Occasion, Offered, Standing, World};

/// Breaches that are printed with their story; the others of a broken day are like them.
const WITH_STORY: usize = 8;

/// What the judge found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// In order of time.
    pub breaches: Vec<Breach>,
}

impl Verdict {
    pub fn is_clean(&self) -> bool {
        self.breaches.is_empty()
    }

    /// How often each rule was broken.
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        self.breaches.iter().for_each(|breach| *counts.entry(breach.rule).or_default() += 1);
        counts
    }
}

/// The rules that a story is held against.
pub struct Judge {
    figures: Figures,
    rules: Vec<Box<dyn Rule>>,
}

impl Judge {
    /// Knows the six rules.
    pub fn new(figures: Figures) -> Self {
        Judge { figures, rules: all() }
    }

    /// Adds an invariant beside them.
    pub fn with(mut self, rule: Box<dyn Rule>) -> Self {
        self.rules.push(rule);
        self
    }

    /// Reads a story of a plan's day. A judge judges one day, as its rules remember what they saw.
    pub fn judge(mut self, plan: &Plan, story: &Story) -> Verdict {
        let mut world = World::new(plan, self.figures, story);
        let mut breaches = Vec::new();
        for told in &story.told {
            world.take(told);
            self.rules.iter_mut().for_each(|rule| rule.see(told, &world, &mut breaches));
        }
        self.rules.iter_mut().for_each(|rule| rule.end(&world, &mut breaches));
        breaches.sort_by_key(|breach| breach.at);
        for breach in breaches.iter_mut().take(WITH_STORY) {
            breach.story = around::of(breach, story);
        }
        Verdict { breaches }
    }
}
