//! Plays a day in simulated time.

use std::path::PathBuf;

use argh::FromArgs;
use pewterseam_lab::judge::{Figures, Judge};
use pewterseam_lab::plan::{Malformed, Plan};
use pewterseam_lab::sim::{self, AsItIs, SimFault};

/// Play a day in simulated time, and judge it. The same day and seed have the same story, byte for byte.
#[derive(FromArgs)]
#[argh(subcommand, name = "sim")]
pub struct Sim {
    /// the day
    #[argh(positional)]
    file: PathBuf,
    /// in place of the day's own seed
    #[argh(option)]
    seed: Option<u64>,
    /// file for the story (default: it is not kept)
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Why a day came to nothing, or to no good.
#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error(transparent)]
    NotPlayed(#[from] SimFault),
    #[error("{}: {error}; name a file that can be written with --out", path.display())]
    NotKept { path: PathBuf, error: std::io::Error },
    #[error("rules were broken; each breach above has its story")]
    Broken,
}

impl Sim {
    pub fn run(self) -> Result<(), Failed> {
        let mut plan = Plan::read(&self.file)?;
        plan.seed = self.seed.unwrap_or(plan.seed);
        let played = sim::play(&plan, &AsItIs)?;
        if let Some(path) = self.out {
            played.story.write(&path).map_err(|error| Failed::NotKept { path, error })?;
        }
        println!("{}, seed {}\n{:?}", plan.name, plan.seed, played.tally);
        let verdict = Judge::new(Figures::exact()).judge(&plan, &played.story);
        print!("{verdict}");
        if verdict.is_clean() { Ok(()) } else { Err(Failed::Broken) }
    }
}
