//! Hunts for days that break a rule.

use std::path::PathBuf;

use argh::FromArgs;
use pewterseam_lab::hunt::{HuntArgs, HuntFault, hunt_command};

/// Draw days by seed, play them in simulated time, and make each that breaks a rule as small as it still does.
#[derive(FromArgs)]
#[argh(subcommand, name = "hunt")]
pub struct Hunt {
    /// a day of which only the faults are drawn (default: all is)
    #[argh(option)]
    base: Option<PathBuf>,
    /// first seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// days to draw at the most (default: 200)
    #[argh(option, default = "200")]
    days: u64,
    /// seconds after which no further day is drawn (default: 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// days that are played side by side (default: 4)
    #[argh(option, default = "4")]
    threads: usize,
    /// folder for what is found (default: it is only printed)
    #[argh(option)]
    folder: Option<PathBuf>,
}

/// Why a hunt came to nothing, or to no good.
#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error(transparent)]
    Fault(#[from] HuntFault),
    #[error("rules were broken; each find above is as small as it was made")]
    Found,
}

impl Hunt {
    pub fn run(self) -> Result<(), Failed> {
        let Hunt { base, seed: first_seed, days, seconds, threads, folder } = self;
        let report = hunt_command(&HuntArgs { base, first_seed, days, seconds, threads, folder })?;
        print!("{report}");
        if report.bag.finds.is_empty() { Ok(()) } else { Err(Failed::Found) }
    }
}
