//! Experiments on the command line: a plan, seeds, and tables as CSV and JSON.

use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::Serialize;

use super::{Difference, Figures, compare, differences, variants};
use crate::plan::{Malformed, Plan};
use crate::sim::SimFault;

/// What to compare.
#[derive(Clone, Debug)]
pub struct CompareArgs {
    pub plan: PathBuf,
    pub first_seed: u64,
    pub seeds: u64,
    /// Days that are played side by side.
    pub threads: usize,
    /// Where `days.csv`, `differences.csv` and `comparison.json` are written; nowhere without it.
    pub folder: Option<PathBuf>,
}

/// Why nothing was compared, or the tables are not kept.
#[derive(Debug, thiserror::Error)]
pub enum CompareFault {
    #[error(transparent)]
    Plan(#[from] Malformed),
    #[error(transparent)]
    Sim(#[from] SimFault),
    #[error("{}: {error}; name a folder that can be written with --folder", path.display())]
    NotKept { path: PathBuf, error: io::Error },
    #[error("a table can't be written: {0}")]
    NoTable(#[from] csv::Error),
    #[error("the comparison can't be written: {0}")]
    NoText(#[from] serde_json::Error),
}

/// Each day's figures, and what the variants differ by.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    pub plan: String,
    pub days: Vec<Figures>,
    pub differences: Vec<Difference>,
}

pub fn compare_command(args: &CompareArgs) -> Result<Comparison, CompareFault> {
    let plan = Plan::read(&args.plan)?;
    let seeds: Vec<u64> = (args.first_seed..args.first_seed.saturating_add(args.seeds)).collect();
    let days = compare(&plan, &seeds, &variants(), args.threads)?;
    let comparison = Comparison { plan: plan.name, differences: differences(&days), days };
    if let Some(folder) = &args.folder {
        comparison.keep(folder)?;
    }
    Ok(comparison)
}

fn table<T: Serialize>(rows: &[T]) -> Result<Vec<u8>, csv::Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    rows.iter().try_for_each(|row| writer.serialize(row))?;
    writer.into_inner().map_err(|error| csv::Error::from(error.into_error()))
}

impl Comparison {
    /// Writes its tables.
    pub fn keep(&self, folder: &Path) -> Result<(), CompareFault> {
        let files = [
            ("days.csv", table(&self.days)?),
            ("differences.csv", table(&self.differences)?),
            ("comparison.json", serde_json::to_vec_pretty(self)?),
        ];
        for (name, bytes) in files {
            let path = folder.join(name);
            let written = fs::create_dir_all(folder).and_then(|()| fs::write(&path, bytes));
            written.map_err(|error| CompareFault::NotKept { path, error })?;
        }
        Ok(())
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: seed, variant, served, p50 ms, p99 ms, calls, refused, breaches", self.plan)?;
        for day in &self.days {
            let Figures {
                seed, variant, served_part, p50_ms, p99_ms, calls, refused_calls, breaches, ..
            } = day;
            writeln!(
                f,
                "{seed:>6} {variant:<12} {served_part:.4} {p50_ms:>8.1} {p99_ms:>9.1} {calls:>7} \
                 {refused_calls:>6} {breaches:>4}"
            )?;
        }
        for Difference { variant, against, figure, mean, low, high, days } in &self.differences {
            write!(f, "{variant} less {against}, {figure}: {mean:.4}")?;
            if let (Some(low), Some(high)) = (low, high) {
                write!(f, " ({low:.4} to {high:.4})")?;
            }
            writeln!(f, " over {days} days")?;
        }
        Ok(())
    }
}
