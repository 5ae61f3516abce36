//! Plays a day on real processes.

use std::path::PathBuf;

use argh::FromArgs;
use pewterseam_lab::judge::{Figures, Judge};
use pewterseam_lab::plan::{Malformed, Plan};
use pewterseam_lab::real::{self, Options, Unplayable};

/// Play a day on real processes and print what came of it.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// the day
    #[argh(positional)]
    file: PathBuf,
    /// the relay's program (default: pewterseam beside this one)
    #[argh(option)]
    relay: Option<PathBuf>,
    /// folder for the story and the relays' logs (default: none is kept)
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Why a day came to nothing, or to no good.
#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error(transparent)]
    Unplayable(#[from] Unplayable),
    #[error("relay {0} ended by itself ({1}); its log, kept by --out, says why")]
    Crashed(u16, String),
    #[error("rules were broken; each breach above has its story, and --out keeps the whole")]
    Broken,
    #[error("{0} messages were taken on and got no end, the first is message {1}; --out keeps the story")]
    Owed(usize, u64),
}

impl Run {
    pub fn run(self) -> Result<(), Failed> {
        let plan = Plan::read(&self.file)?;
        let options = Options { relay: self.relay.unwrap_or_else(real::beside), out: self.out.clone() };
        let played = real::play(&plan, &options)?;
        if let Some(out) = &self.out {
            real::write_story(&played.story, &out.join("story.jsonl"))?;
        }
        println!("{}\n{}", plan.name, played.summary);
        let verdict = Judge::new(Figures::on_sockets()).judge(&plan, &played.story);
        print!("{verdict}");
        if let Some((relay, how)) = played.crashes.first() {
            return Err(Failed::Crashed(*relay, how.clone()));
        }
        match played.summary.owed.as_slice() {
            [] if verdict.is_clean() => Ok(()),
            [] => Err(Failed::Broken),
            owed => Err(Failed::Owed(owed.len(), owed[0])),
        }
    }
}
