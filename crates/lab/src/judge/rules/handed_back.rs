//! "429 or 503: refused: handing it in again is harmless", and a `returned` notice is a refusal: what may run
//! again by that must not have run.

use pewterseam::interface::Micros;

use super::super::breach::{About, Breach};
use super::super::rule::Rule;
use super::super::world::{Occasion, World};
use crate::plan::EffectPlan;
use crate::story::{Happened, Told};

#[derive(Debug)]
pub struct HandedBack;

const NAME: &str = "handed-back";

impl Rule for HandedBack {
    fn name(&self) -> &'static str {
        NAME
    }

    fn see(&mut self, told: &Told, world: &World<'_>, breaches: &mut Vec<Breach>) {
        match told.what {
            Happened::Noticed { message, times, failed: false, .. }
            | Happened::Answered { message, times, status: 429 | 503, .. } => {
                breaches.extend(handed_back(Occasion { message, times }, told.at, world));
            }
            _ => {}
        }
    }
}

/// Harmless is what may be repeated at will, and what hosts still drop wherever it goes.
fn handed_back(occasion: Occasion, at: Micros, world: &World<'_>) -> Option<Breach> {
    let offered = world.offered.get(&occasion)?;
    let first = offered.first_ran?;
    let before = world.calls.get(&first)?;
    let harmless = match world.class(offered)?.effect {
        EffectPlan::Free => true,
        EffectPlan::GuardedS(window) => {
            at <= before.arrived_at + (window * 1e6) as Micros + world.figures.longer
        }
        EffectPlan::GuardedInZoneS(_) | EffectPlan::Once => false,
    };
    if harmless {
        return None;
    }
    let text = format!(
        "message {}.{} was handed back as harmless to hand in again, though call {first} ran",
        occasion.message, occasion.times
    );
    let about = About {
        occasion: Some(occasion),
        relay: Some(offered.relay),
        host: Some(before.host),
        destination: Some(offered.facts.destination),
    };
    Some(Breach::new(NAME, at, about, text))
}
