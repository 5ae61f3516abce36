//! Experiments: variants of a relay side by side on the same days, with paired differences and their
//! intervals.

mod command;
mod figures;
mod paired;
mod textbook;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use pewterseam_node::reducer::Room;
use pewterseam_settings::Deployment;

use crate::judge::{self, Judge};
use crate::plan::Plan;
use crate::sim::{self, AsItIs, Machine, SimFault, Variant};

pub use command::{CompareArgs, CompareFault, Comparison, compare_command};
pub use figures::{Figures, count};
pub use paired::{Difference, differences};
pub use textbook::Textbook;

/// Each relay alone: the relay as it is, with nothing told to peers and nothing heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct Alone;

impl Variant for Alone {
    fn name(&self) -> &'static str {
        "alone"
    }

    fn machine(&self, mut deployment: Deployment, seed: u64, room: Room) -> Box<dyn Machine> {
        deployment.settings.may_message_peers = false;
        AsItIs.machine(deployment, seed, room)
    }
}

/// The variants that are compared where none are named, the one that others are held against first.
pub fn variants() -> Vec<Box<dyn Variant>> {
    vec![Box::new(AsItIs), Box::new(Alone), Box::new(Textbook)]
}

/// Plays each variant on the same days; rows by variant, then by seed.
pub fn compare(
    plan: &Plan, seeds: &[u64], variants: &[Box<dyn Variant>], threads: usize,
) -> Result<Vec<Figures>, SimFault> {
    let days: Vec<(usize, u64)> =
        (0..variants.len()).flat_map(|variant| seeds.iter().map(move |seed| (variant, *seed))).collect();
    let next = AtomicUsize::new(0);
    let rows = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                while let Some((place, (variant, seed))) = {
                    let place = next.fetch_add(1, Ordering::Relaxed);
                    days.get(place).map(|day| (place, *day))
                } {
                    let row = day(plan, seed, variants[variant].as_ref());
                    rows.lock().unwrap_or_else(PoisonError::into_inner).push((place, row));
                }
            });
        }
    });
    let mut rows = rows.into_inner().unwrap_or_else(PoisonError::into_inner);
    rows.sort_by_key(|(place, _)| *place);
    rows.into_iter().map(|(_, row)| row).collect()
}

fn day(plan: &Plan, seed: u64, variant: &dyn Variant) -> Result<Figures, SimFault> {
    let plan = Plan { seed, ..plan.clone() };
    let played = sim::play(&plan, variant)?;
    let verdict = Judge::new(judge::Figures::exact()).judge(&plan, &played.story);
    Ok(count(&plan, variant.name(), &played, &verdict))
}
