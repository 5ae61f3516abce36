//! Judges a day's story.

use std::path::PathBuf;

use argh::FromArgs;
use pewterseam_lab::judge::{JudgeArgs, JudgeFault, judge_command};

/// Judge the story of a day, and tell each breach with what led to it.
#[derive(FromArgs)]
#[argh(subcommand, name = "judge")]
pub struct Judge {
    /// the day
    #[argh(positional)]
    plan: PathBuf,
    /// its story, as `run --out` or `sim --out` left it
    #[argh(positional)]
    story: PathBuf,
    /// the story is one of simulated time
    #[argh(switch)]
    exact: bool,
}

/// Why there is no clean verdict.
#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error(transparent)]
    Fault(#[from] JudgeFault),
    #[error("rules were broken; each breach above has its story")]
    Broken,
}

impl Judge {
    pub fn run(self) -> Result<(), Failed> {
        let Judge { plan, story, exact } = self;
        let verdict = judge_command(&JudgeArgs { plan, story, exact })?;
        print!("{verdict}");
        if verdict.is_clean() { Ok(()) } else { Err(Failed::Broken) }
    }
}
