//! Drains are kept: a host that is told to be draining or gone gets no new call, once the settings' grace is
//! over. "A change of the list is told when discovery has written it to the relay"; "for drains, a send's
//! time runs from its first" byte.

use std::collections::HashMap;

use pewterseam::interface::Micros;

use super::super::breach::{About, Breach};
use super::super::rule::Rule;
use super::super::world::World;
use crate::story::{Happened, HostNumber, Listed, RelayNumber, Told};

#[derive(Debug, Default)]
pub struct Drain {
    /// Since when a relay has known that a host wants nothing new.
    known: HashMap<(RelayNumber, HostNumber), Micros>,
}

const NAME: &str = "drain";

impl Rule for Drain {
    fn name(&self) -> &'static str {
        NAME
    }

    fn see(&mut self, told: &Told, world: &World<'_>, breaches: &mut Vec<Breach>) {
        match told.what {
            Happened::ListTold { relay, host, state: Listed::Ready } => {
                self.known.remove(&(relay, host));
            }
            Happened::ListTold { relay, host, .. } => {
                self.known.entry((relay, host)).or_insert(told.at);
            }
            Happened::Arrived { call, relay, host, began, .. } => {
                let Some(known_at) = self.known.get(&(relay, host)) else { return };
                let until = known_at + world.figures.drain_grace + world.figures.longer;
                if !world.begins_after(call, until) {
                    return;
                }
                let text = format!(
                    "relay {relay} knew at {:.3} s that host {host} wants nothing new, and call {call} began \
                     {:.3} s after the grace",
                    *known_at as f64 / 1e6,
                    (began - until) as f64 / 1e6,
                );
                let occasion = world.calls.get(&call).map(|seen| seen.occasion);
                let destination = world.hosts.get(&host).map(|facts| facts.destination);
                let about = About { occasion, relay: Some(relay), host: Some(host), destination };
                breaches.push(Breach::new(NAME, told.at, about, text));
            }
            _ => {}
        }
    }
}
