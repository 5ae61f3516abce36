//! The samples of a rule: they come out as the file says, or it is refused.

use std::collections::{BTreeMap, BTreeSet};

use crate::rules::explain::explain;
use crate::rules::parts::Seen;
use crate::rules::problems::Problems;
use crate::rules::rewrite::{ByItself, Rewritten, rewrite};
use crate::rules::rule::Rule;

use super::{RuleFile, SampleFile};

/// A sample as a message, which borrows from it.
struct Message {
    headers: Vec<(String, Vec<u8>)>,
    cookies: Vec<(String, String)>,
}

impl Message {
    fn of(sample: &SampleFile) -> Self {
        let headers = sample.headers.iter().map(|(name, value)| (name.clone(), value.clone().into_bytes()));
        let cookies = sample.cookies.iter().map(|(name, value)| (name.clone(), value.clone()));
        Message { headers: headers.collect(), cookies: cookies.collect() }
    }

    fn seen<'a>(&'a self, class: &'a str, sample: &'a SampleFile) -> Seen<'a> {
        let Message { headers, cookies } = self;
        Seen { class, tenant: "", destination: 0, headers, cookies, body: sample.body.as_bytes() }
    }
}

pub fn check(file: &RuleFile, place: &str, problems: &mut Problems) {
    let rule = file.rule();
    let mut outcomes = BTreeMap::new();
    for (number, sample) in file.samples.iter().enumerate() {
        let place = format!("{place}.samples[{number}]");
        if outcomes.contains_key(sample.name.as_str()) {
            let wrong = format!("\"{}\" is the name of another one", sample.name);
            problems.add(&format!("{place}.name"), wrong, "a name of its own");
        }
        outcomes.insert(sample.name.as_str(), outcome(&rule, file, sample));
        check_gives(&rule, file, sample, &place, problems);
    }
    for (number, sample) in file.samples.iter().enumerate() {
        let mine = &outcomes[sample.name.as_str()];
        for (key, names, wanted) in
            [("same_as", &sample.same_as, true), ("apart_from", &sample.apart_from, false)]
        {
            for name in names {
                let place = format!("{place}.samples[{number}].{key}");
                match outcomes.get(name.as_str()) {
                    None => problems.add(&place, format!("there is no sample \"{name}\""), "the name of one"),
                    Some(other) if merges(mine, other) != wanted => {
                        let wrong = if wanted { "they are told apart" } else { "they are one message" };
                        let right = told(file, &rule, sample, name);
                        problems.add(&place, format!("\"{}\" and \"{name}\": {wrong}", sample.name), right);
                    }
                    Some(_) => {}
                }
            }
        }
    }
}

type Outcome = Result<Rewritten, ByItself>;

fn outcome(rule: &Rule, file: &RuleFile, sample: &SampleFile) -> Outcome {
    rewrite(rule, &BTreeSet::new(), &[0; 32], Message::of(sample).seen(&file.class, sample))
}

fn merges(one: &Outcome, other: &Outcome) -> bool {
    let (Ok(one), Ok(other)) = (one, other) else { return false };
    let agrees =
        |pair: (&Option<u64>, &Option<u64>)| pair.0.is_none() || pair.1.is_none() || pair.0 == pair.1;
    one.key == other.key && one.prints.iter().zip(&other.prints).all(agrees)
}

fn check_gives(rule: &Rule, file: &RuleFile, sample: &SampleFile, place: &str, problems: &mut Problems) {
    let Some(gives) = &sample.gives else { return };
    let message = Message::of(sample);
    let steps = explain(rule, message.seen(&file.class, sample));
    if steps.len() != gives.len() {
        let wrong = format!("it tells {} parts", gives.len());
        problems.add(&format!("{place}.gives"), wrong, format!("{}, as the rule has", steps.len()));
        return;
    }
    for (step, wanted) in steps.iter().zip(gives).filter(|(step, wanted)| step.gives != **wanted) {
        let wrong = format!("\"{}\" does not come out as {wanted:?} by {step}", sample.name);
        problems.add(&format!("{place}.gives"), wrong, format!("{:?}, or another rule", step.gives));
    }
}

/// The steps of two samples in one line, for the operator to compare.
fn told(file: &RuleFile, rule: &Rule, sample: &SampleFile, other: &str) -> String {
    let both = file.samples.iter().filter(|of| of.name == sample.name || of.name == other);
    let line = |of: &SampleFile| {
        let message = Message::of(of);
        let steps = explain(rule, message.seen(&file.class, of));
        let steps: Vec<String> = steps.iter().map(ToString::to_string).collect();
        format!("\"{}\" [{}]", of.name, steps.join("; "))
    };
    format!("a rule that says otherwise of {}", both.map(line).collect::<Vec<_>>().join(" and "))
}
