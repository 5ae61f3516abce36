//! The judge on the command line: a plan and a story from files, breaches as text.

use std::io;
use std::path::PathBuf;

use super::{Figures, Judge, Verdict};
use crate::plan::{Malformed, Plan};
use crate::story::Story;

/// What to judge.
#[derive(Clone, Debug)]
pub struct JudgeArgs {
    /// The plan of the day, TOML.
    pub plan: PathBuf,
    /// Its story, JSON lines.
    pub story: PathBuf,
    /// The story is one of simulated time, told exactly.
    pub exact: bool,
}

/// Why a day can't be judged.
#[derive(Debug, thiserror::Error)]
pub enum JudgeFault {
    #[error(transparent)]
    Plan(#[from] Malformed),
    #[error(
        "{}: {error}; a story is the file that a run leaves, whole and of this version: play the day again",
        path.display()
    )]
    Story { path: PathBuf, error: io::Error },
}

/// Judges a story from a file; the caller prints the verdict and says no with its exit code if it is not
/// clean.
pub fn judge_command(args: &JudgeArgs) -> Result<Verdict, JudgeFault> {
    let plan = Plan::read(&args.plan)?;
    let unread = |error| JudgeFault::Story { path: args.story.clone(), error };
    let story = Story::read(&args.story).map_err(unread)?;
    let figures = if args.exact { Figures::exact() } else { Figures::on_sockets() };
    Ok(Judge::new(figures).judge(&plan, &story))
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.is_clean() {
            return writeln!(f, "all rules kept");
        }
        for (rule, count) in self.counts() {
            writeln!(f, "{rule}: broken {count} times")?;
        }
        let shown = self.breaches.iter().filter(|breach| !breach.story.is_empty());
        shown.into_iter().try_for_each(|breach| writeln!(f, "{breach}"))
    }
}
