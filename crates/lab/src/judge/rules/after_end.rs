//! What is over is not sent again: refused or failed at once, or ended by a notice that was answered.

use super::super::breach::{About, Breach};
use super::super::rule::Rule;
use super::super::world::World;
use crate::story::{Happened, Told};

#[derive(Debug)]
pub struct AfterEnd;

const NAME: &str = "after-end";

impl Rule for AfterEnd {
    fn name(&self) -> &'static str {
        NAME
    }

    fn see(&mut self, told: &Told, world: &World<'_>, breaches: &mut Vec<Breach>) {
        let Happened::Arrived { call, began, host, .. } = told.what else { return };
        let Some((occasion, offered)) = world.offered_of(call) else { return };
        let not_taken = offered.answer.filter(|_| !offered.is_taken()).map(|(at, _)| at);
        let noticed = offered.noticed.map(|(at, _)| at);
        let Some(over_at) = not_taken.into_iter().chain(noticed).min() else { return };
        if !world.begins_after(call, over_at + world.figures.longer) {
            return;
        }
        let text = format!(
            "message {}.{} was over at {:.6} s, and call {call} began at {:.6} s",
            occasion.message,
            occasion.times,
            over_at as f64 / 1e6,
            began as f64 / 1e6,
        );
        let about = About {
            occasion: Some(occasion),
            relay: Some(offered.relay),
            host: Some(host),
            destination: Some(offered.facts.destination),
        };
        breaches.push(Breach::new(NAME, told.at, about, text));
    }
}
