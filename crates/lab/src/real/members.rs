//! Relays that form a fleet: the operator's file of each, and the links of their calls.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use rand::RngExt;
use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::draws::{Stream, draws};
use super::error::Unplayable;
use super::fleet::World;
use super::hosts::boxed;
use super::links::Doors;
use super::places::Party;
use crate::story::RelayNumber;

/// Voters, in the order in which a day with fewer relays or zones has fewer of them.
const VOTERS: [u16; 2] = [5, 3];

/// The places that vote at first: one of each zone in turn, which is how relays are spread.
fn voters(relays: u16) -> Vec<u16> {
    let count = VOTERS.into_iter().find(|count| *count <= relays).unwrap_or(relays);
    (0..count).collect()
}

impl World {
    /// The fleet's key, as its file has it.
    pub fn key(&self) -> String {
        let mut draws = draws(self.plan.seed, Stream::Relays, u64::MAX);
        (0..32).fold(String::new(), |text, _| format!("{text}{:02x}", draws.random::<u8>()))
    }

    /// One relay's operator's file: it reaches each other member at an address of its own, over a link of the rig.
    pub fn operator(
        &self, links: &mut JoinSet<()>, relay: RelayNumber, listen: &[SocketAddr],
    ) -> Result<String, Unplayable> {
        let relays = self.plan.fleet.relays;
        let mut text = format!("[fleet]\nkey_file = \"fleet.key\"\nvoters = {:?}\n", voters(relays));
        for (number, zone) in self.plan.fleet.zones.iter().enumerate() {
            let here = |relay: &RelayNumber| self.places.zone_of_relay(*relay) == number;
            let places: Vec<String> =
                self.places.relays().filter(here).map(|relay| relay.to_string()).collect();
            let region = if zone.region.is_empty() { "here" } else { &zone.region };
            let _ =
                write!(text, "[[zones]]\nname = {:?}\nregion = {region:?}\nplaces = {places:?}\n", zone.name);
        }
        for (other, at) in (0..).zip(listen).filter(|(other, _)| *other != relay) {
            let door = self.door(links, relay, other, *at)?;
            let _ = write!(text, "[[reach]]\nmember = \"{at}\"\nat = \"{door}\"\n");
        }
        if self.plan.fleet.failover {
            text += "[failover]\n";
        }
        Ok(text)
    }

    fn door(
        &self, links: &mut JoinSet<()>, from: RelayNumber, to: RelayNumber, at: SocketAddr,
    ) -> Result<SocketAddr, Unplayable> {
        let target = Rc::new(move |mut stream: TcpStream| {
            boxed(async move {
                // One that is down ends the connection, as its machine would.
                if let Ok(mut called) = TcpStream::connect(at).await {
                    let _ = copy_bidirectional(&mut stream, &mut called).await;
                }
            })
        });
        let link = self.link(Party::Relay(from), Party::Relay(to));
        let doors = Doors::new(link, (Ipv4Addr::LOCALHOST, 0).into(), target);
        let doors = doors.map_err(|error| Unplayable::Sockets { what: "a member's call", error })?;
        let address = doors.address();
        let (open, refuses) = watch::channel(false);
        links.spawn_local(async move {
            doors.serve(refuses).await;
            drop(open);
        });
        Ok(address)
    }
}
