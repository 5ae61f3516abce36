//! What came of a run: rules that were broken, with traces, and figures.

use std::any::Any;
use std::fmt;

/// The rules that are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Lost,
    Order,
    Twice,
    Refused,
    Mixed,
    Ceiling,
    Config,
    /// A machine in touch sends requests to a host that drains.
    Drain,
    /// A process goes back to an older configuration: CONFIG.
    Downgrade,
    Early,
    Unasked,
    Budget,
    /// One attempt was written to a host twice.
    SentTwice,
    /// A frame between processes did not read as what was sent.
    Encoding,
    /// A state machine panicked.
    Panicked,
}

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Breach {
    pub rule: Rule,
    pub what: String,
    /// What happened to the message concerned, and the faults of the run.
    pub trace: Vec<String>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:?}: {}", self.rule, self.what)?;
        self.trace.iter().try_for_each(|line| writeln!(f, "  {line}"))
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub seed: u64,
    pub breaches: Vec<Breach>,
    pub tries: usize,
    pub accepted: usize,
    pub declined: usize,
    pub unclear: usize,
    pub runs: usize,
    pub ended: usize,
    pub faults: usize,
    pub acknowledged_changes: usize,
    /// Stores that were said to be empty and went.
    pub removed_stores: usize,
    /// A hash of all that the judge saw, to compare runs.
    pub fingerprint: u64,
}

impl Report {
    /// The report of a run that panicked.
    pub(crate) fn of_panic(seed: u64, panic: &(dyn Any + Send)) -> Self {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string));
        let what = format!("seed {seed}: {}", text.unwrap_or_default());
        let breaches = vec![Breach { rule: Rule::Panicked, what, trace: Vec::new() }];
        Report { seed, breaches, ..Report::default() }
    }
}
