//! The hunt on the command line: finds go to a folder, each as a plan that the rig reads.

use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::{Bag, Bounds, Find, hunt};
use crate::plan::{Malformed, Plan};
use crate::sim::AsItIs;

/// What to hunt in.
#[derive(Clone, Debug)]
pub struct HuntArgs {
    /// A plan of which only the faults are drawn; without it all is.
    pub base: Option<PathBuf>,
    pub first_seed: u64,
    pub days: u64,
    /// Seconds after which no further day is drawn.
    pub seconds: u64,
    pub threads: usize,
    /// Where finds are written; nowhere without it.
    pub folder: Option<PathBuf>,
}

/// Days that are played to make one find small, and finds of a rule that are made small.
const TRIES: usize = 600;
const PER_RULE: usize = 3;

/// Why nothing was hunted, or what was found is not kept.
#[derive(Debug, thiserror::Error)]
pub enum HuntFault {
    #[error(transparent)]
    Base(#[from] Malformed),
    #[error("{}: {error}; name a folder that can be written with --folder", path.display())]
    NotKept { path: PathBuf, error: io::Error },
    #[error("a find can't be written as a plan: {0}")]
    NotAPlan(#[from] toml::ser::Error),
}

/// What was found, and where it is.
#[derive(Clone, Debug)]
pub struct HuntReport {
    pub bag: Bag,
    pub files: Vec<PathBuf>,
}

pub fn hunt_command(args: &HuntArgs) -> Result<HuntReport, HuntFault> {
    let base = args.base.as_deref().map(Plan::read).transpose()?;
    let bounds = Bounds {
        seeds: (args.first_seed, args.first_seed.saturating_add(args.days)),
        time: Duration::from_secs(args.seconds),
        threads: args.threads,
        tries: TRIES,
        per_rule: PER_RULE,
    };
    let bag = hunt(bounds, base.as_ref(), &AsItIs);
    let mut files = Vec::new();
    if let Some(folder) = &args.folder {
        for find in &bag.finds {
            files.push(keep(find, folder)?);
        }
    }
    Ok(HuntReport { bag, files })
}

/// Writes a find as a plan, with what it breaks in front.
pub fn keep(find: &Find, folder: &Path) -> Result<PathBuf, HuntFault> {
    let plan = toml::to_string(&find.plan)?;
    let path = folder.join(format!("{}-{}.toml", find.rule, find.seed));
    let head = format!("# rule: {}\n# {}\n", find.rule, find.breach.text);
    let not_kept = |error| HuntFault::NotKept { path: path.clone(), error };
    fs::create_dir_all(folder).map_err(not_kept)?;
    fs::write(&path, head + &plan).map_err(not_kept)?;
    Ok(path)
}

impl fmt::Display for HuntReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} days played", self.bag.days)?;
        for (rule, days) in &self.bag.broken {
            writeln!(f, "{rule}: broken on {days} days")?;
        }
        for find in &self.bag.finds {
            writeln!(
                f,
                "seed {}, made small in {} days: {} relays, {} faults, {} s\n{}",
                find.seed,
                find.tries,
                find.plan.fleet.relays,
                find.plan.faults.len(),
                find.plan.length_s,
                find.breach
            )?;
        }
        self.files.iter().try_for_each(|file| writeln!(f, "kept in {}", file.display()))
    }
}
