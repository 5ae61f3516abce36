//! Plays variants side by side.

use std::path::PathBuf;

use argh::FromArgs;
use pewterseam_lab::experiment::{CompareArgs, CompareFault, compare_command};

/// Play one day over many seeds with each variant of the relay, and tell what they differ by, pair by pair.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct Compare {
    /// the day
    #[argh(positional)]
    plan: PathBuf,
    /// first seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// seeds (default: 10)
    #[argh(option, default = "10")]
    seeds: u64,
    /// days that are played side by side (default: 4)
    #[argh(option, default = "4")]
    threads: usize,
    /// folder for the tables, CSV and JSON (default: they are only printed)
    #[argh(option)]
    folder: Option<PathBuf>,
}

impl Compare {
    pub fn run(self) -> Result<(), CompareFault> {
        let Compare { plan, seed: first_seed, seeds, threads, folder } = self;
        print!("{}", compare_command(&CompareArgs { plan, first_seed, seeds, threads, folder })?);
        Ok(())
    }
}
