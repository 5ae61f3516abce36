//! What is wrong with a file.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use crate::rules::json::is_pointer;
use crate::rules::problems::Problems;
use crate::rules::rule::{Absent, Form, Full, Unsure};

use super::{KnownClass, PartFile, RuleFile, VariantsFile, samples};

/// A rule has to fit into a decision, and each part costs a look at each message.
const MOST_PARTS: usize = 32;
const MOST_FORMS: usize = 8;
/// Longest name, pointer or prefix, in bytes.
const MOST_TEXT: usize = 256;

pub fn problems(file: &VariantsFile, classes: &[KnownClass]) -> Problems {
    let mut problems = Problems::default();
    let within = |problems: &mut Problems, place: &str, value: u64, range: RangeInclusive<u64>| {
        if !range.contains(&value) {
            problems.add(place, format!("it is {value}"), format!("{} to {}", range.start(), range.end()));
        }
    };
    within(&mut problems, "variants.revision", file.revision, 1..=u64::from(u32::MAX));
    within(&mut problems, "variants.most_claims", file.most_claims as u64, 1..=10_000_000);
    let bytes = file.most_answer_bytes as u64;
    within(&mut problems, "variants.most_answer_bytes", bytes, 4_096..=1 << 30);
    let mut named = BTreeSet::new();
    for (number, rule) in file.rules.iter().enumerate() {
        let place = format!("variants.rules[{number}]");
        let before = problems.0.len();
        if !named.insert(&rule.class) {
            let wrong = format!("class \"{}\" has a rule already", rule.class);
            problems.add(&format!("{place}.class"), wrong, "one rule for a class");
        }
        check_class(rule, &place, classes, &mut problems);
        within(&mut problems, &format!("{place}.window_s"), rule.window_s.into(), 1..=604_800);
        within(&mut problems, &format!("{place}.lease_ms"), rule.lease_ms.into(), 300..=60_000);
        within(&mut problems, &format!("{place}.patience_ms"), rule.patience_ms.into(), 20..=10_000);
        within(&mut problems, &format!("{place}.retry_ms"), rule.retry_ms.into(), 1..=3_600_000);
        check_parts(rule, &place, &mut problems);
        // Only a rule that is sound by itself can be tried.
        if problems.0.len() == before {
            samples::check(rule, &place, &mut problems);
        }
    }
    problems
}

fn check_class(rule: &RuleFile, place: &str, classes: &[KnownClass], problems: &mut Problems) {
    let Some(class) = classes.iter().find(|class| class.name == rule.class) else {
        let names: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
        let wrong = format!("\"{}\" is no class of the settings", rule.class);
        problems.add(&format!("{place}.class"), wrong, format!("one of {}", names.join(", ")));
        return;
    };
    // Danger: a second run of such a message is what the operator has promised never to happen.
    if class.single_shot && rule.unsure == Unsure::Deliver {
        let wrong = format!("it says deliver, and \"{}\" must not run twice", rule.class);
        problems.add(&format!("{place}.unsure"), wrong, "wait or hand_back");
    }
    if class.single_shot && rule.full == Full::Deliver {
        let wrong = format!("it says deliver, and \"{}\" must not run twice", rule.class);
        problems.add(&format!("{place}.full"), wrong, "hand_back");
    }
}

fn check_parts(rule: &RuleFile, place: &str, problems: &mut Problems) {
    if let Some(kind) = &rule.kind
        && (kind.header.is_some() == kind.cookie.is_some())
    {
        problems.add(&format!("{place}.kind"), "it names none or two places", "a header or a cookie");
    }
    if rule.key.is_empty() {
        problems.add(
            &format!("{place}.key"),
            "it is empty, so that all messages were one",
            "one part or more",
        );
    }
    if rule.key.len() + rule.apart.len() > MOST_PARTS {
        let right = format!("{MOST_PARTS} parts at most");
        problems.add(place, format!("it has {} parts", rule.key.len() + rule.apart.len()), right);
    }
    if !rule.key.is_empty() && rule.key.iter().all(|part| part.absent == Absent::Value) {
        let wrong = "messages that lack all of its parts were one";
        problems.add(&format!("{place}.key"), wrong, "one part or more without absent = \"value\"");
    }
    for (number, part) in rule.key.iter().enumerate() {
        let place = format!("{place}.key[{number}]");
        if part.absent == Absent::Agrees {
            let wrong = "a part of the key has no value to agree with";
            problems.add(&format!("{place}.absent"), wrong, "by_itself or value");
        }
        check_part(part, rule, &place, problems);
    }
    for (number, part) in rule.apart.iter().enumerate() {
        check_part(&part.clone().into(), rule, &format!("{place}.apart[{number}]"), problems);
    }
}

fn check_part(part: &PartFile, rule: &RuleFile, place: &str, problems: &mut Problems) {
    let named = [&part.header, &part.cookie, &part.field];
    let places = named.iter().filter(|named| named.is_some()).count() + usize::from(part.body.is_some());
    if places != 1 {
        problems.add(place, format!("it names {places} places"), "one of header, cookie, field, body");
    }
    for text in named.into_iter().flatten() {
        if text.is_empty() || text.len() > MOST_TEXT {
            problems.add(place, format!("a name has {} bytes", text.len()), format!("1 to {MOST_TEXT}"));
        }
    }
    let pointers = part.field.iter().chain(part.body.iter().flat_map(|body| &body.without));
    for pointer in pointers.filter(|pointer| !is_pointer(pointer)) {
        problems.add(place, format!("\"{pointer}\" is no JSON pointer"), "as \"/order/id\" (RFC 6901)");
    }
    if part.body.is_some() && !part.forms.is_empty() {
        problems.add(&format!("{place}.forms"), "a whole body has no forms", "forms of fields");
    }
    if part.forms.len() > MOST_FORMS {
        let wrong = format!("there are {}", part.forms.len());
        problems.add(&format!("{place}.forms"), wrong, format!("{MOST_FORMS} at most"));
    }
    let last = part.forms.len().saturating_sub(1);
    for (at, form) in part.forms.iter().enumerate() {
        if matches!(form, Form::Number | Form::Time) && at != last {
            let wrong = format!("behind {form} no form changes anything");
            problems.add(&format!("{place}.forms"), wrong, format!("{form} as the last one"));
        }
        let Form::DropPrefix(drop) = form else { continue };
        if drop.prefix.is_empty() || drop.prefix.len() > MOST_TEXT {
            let wrong = format!("a prefix has {} bytes", drop.prefix.len());
            problems.add(&format!("{place}.forms"), wrong, format!("1 to {MOST_TEXT}"));
        }
        if drop.kind.is_some() && rule.kind.is_none() {
            let wrong = "a prefix is of a kind, and nothing says where programs tell theirs";
            problems.add(&format!("{place}.forms"), wrong, "`kind` in the rule");
        }
    }
}
