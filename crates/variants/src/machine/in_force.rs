//! Rules in force here, and those before them whose claims still count.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam_fleet::interface::Epoch;

use crate::claimant::Use;
use crate::interface::{Micros, Offered, Unmerged};
use crate::rules::{ClassRule, Narrowed, Rule, Seen, rewrite};

/// Earlier rules of a class that count beside the one in force; of more the oldest go first, and with them
/// claims of theirs that still count.
const MOST_EARLIER: usize = 3;
/// A member learns a decision later than others: earlier rules count so much longer.
const SLACK: Micros = 60_000_000;

/// A rule as it makes keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Making {
    pub rule: Rule,
    pub salt: [u8; 32],
    pub narrowed: BTreeSet<u16>,
}

#[derive(Clone, Debug)]
pub struct OfClass {
    pub epoch: Epoch,
    pub decided: ClassRule,
    /// The newest narrowing, of whatever rule.
    pub narrowed: Option<(Epoch, Narrowed)>,
    making: Option<Making>,
    /// Oldest first, each until its time.
    earlier: Vec<(Micros, Making)>,
}

#[derive(Clone, Debug, Default)]
pub struct InForce {
    classes: BTreeMap<String, OfClass>,
    /// Narrowings whose rule was not decided here yet.
    early: BTreeMap<String, (Epoch, Narrowed)>,
    epoch: Epoch,
}

/// Tells one rule of a class from another, whatever revision brought it.
pub fn fingerprint(rule: &Rule) -> [u8; 16] {
    let bytes = postcard::to_stdvec(rule).unwrap_or_default();
    let mut print = [0; 16];
    print.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..16]);
    print
}

impl InForce {
    /// Of the newest rule or narrowing known here.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub fn class(&self, class: &str) -> Option<&OfClass> {
        self.classes.get(class)
    }

    pub fn classes(&self) -> impl Iterator<Item = (&String, &OfClass)> {
        self.classes.iter()
    }

    pub fn longest_window(&self) -> Micros {
        let makings = self
            .classes
            .values()
            .flat_map(|of| of.making.iter().chain(of.earlier.iter().map(|(_, making)| making)));
        makings.map(|making| making.rule.window()).max().unwrap_or(0)
    }

    /// `keep`: how long a claim may last beyond its window.
    pub fn decided(&mut self, now: Micros, epoch: Epoch, decided: ClassRule, keep: Micros) {
        self.epoch = self.epoch.max(epoch);
        let class = decided.class.clone();
        if let Some(of) = self.classes.get_mut(&class) {
            (of.epoch, of.decided) = (epoch, decided);
            of.remake(now, keep);
        } else {
            let narrowed = self.early.remove(&class);
            let mut of = OfClass { epoch, decided, narrowed, making: None, earlier: Vec::new() };
            of.remake(now, keep);
            self.classes.insert(class, of);
        }
    }

    pub fn narrowed(&mut self, now: Micros, epoch: Epoch, narrowed: Narrowed, keep: Micros) {
        self.epoch = self.epoch.max(epoch);
        match self.classes.get_mut(&narrowed.class) {
            Some(of) => {
                of.narrowed = Some((epoch, narrowed));
                of.remake(now, keep);
            }
            None => {
                self.early.insert(narrowed.class.clone(), (epoch, narrowed));
            }
        }
    }

    /// The rule of a message's class and its keys, those of older rules first.
    pub fn keys(&mut self, now: Micros, offered: &Offered) -> Result<(Rule, Vec<Use>), Unmerged> {
        let of = self.classes.get_mut(&offered.class).ok_or(Unmerged::NoRule)?;
        of.earlier.retain(|(until, _)| *until > now);
        let making = of.making.as_ref().ok_or(Unmerged::NoRule)?;
        let seen = seen(offered);
        let mut keys: Vec<Use> = Vec::new();
        for making in of.earlier.iter().map(|(_, making)| making).chain([making]) {
            // What has no key by an older rule was no variant by it.
            let Ok(found) = rewrite(&making.rule, &making.narrowed, &making.salt, seen) else { continue };
            if keys.iter().all(|of| of.key != found.key) {
                keys.push(Use { key: found.key, narrow: found.narrow, prints: found.prints });
            }
        }
        if keys.is_empty() { Err(Unmerged::NoKey) } else { Ok((making.rule.clone(), keys)) }
    }

    /// The rule by which keys of a class are made now.
    pub fn making(&self, class: &str) -> Option<&Making> {
        self.classes.get(class)?.making.as_ref()
    }
}

impl OfClass {
    /// Parts that are narrowed, of the rule in force.
    pub fn narrowed_parts(&self) -> BTreeSet<u16> {
        let rule = self.decided.rule.as_ref().map(fingerprint);
        let of = self.narrowed.as_ref().filter(|(_, narrowed)| Some(narrowed.rule) == rule);
        of.map(|(_, narrowed)| narrowed.parts.clone()).unwrap_or_default()
    }

    fn remake(&mut self, now: Micros, keep: Micros) {
        let narrowed = self.narrowed_parts();
        let salt = self.decided.salt;
        let making = self.decided.rule.clone().map(|rule| Making { rule, salt, narrowed });
        if making == self.making {
            return;
        }
        if let Some(before) = std::mem::replace(&mut self.making, making) {
            let until = now + before.rule.window() + keep + SLACK;
            self.earlier.push((until, before));
            let beyond = self.earlier.len().saturating_sub(MOST_EARLIER);
            self.earlier.drain(..beyond);
        }
    }
}

pub fn seen(offered: &Offered) -> Seen<'_> {
    let Offered { class, tenant, destination, headers, cookies, body, .. } = offered;
    Seen { class, tenant, destination: *destination, headers, cookies, body }
}
