//! Builds a day's world: who listens where, and what carries one to the other.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};

use rand::RngExt;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::book::Book;
use super::clock::Clock;
use super::discovery::{self, Registry};
use super::draws::{Stream, draws};
use super::error::Unplayable;
use super::hosts::{self, Destination, Host};
use super::links::{Doors, Link, PeerAddresses, Weather, relay_datagrams};
use super::places::{Party, Places};
use super::processes::{Folder, Relay};
use super::settings::{Addresses, config};
use super::traffic::Traffic;
use crate::plan::Plan;
use crate::story::{HostFacts, HostNumber, RelayNumber};

/// What the relays are built from.
pub struct World {
    pub plan: Rc<Plan>,
    pub book: Rc<Book>,
    pub places: Rc<Places>,
    pub weather: Rc<Weather>,
    pub traffic: Rc<Traffic>,
    pub destinations: Vec<Rc<Destination>>,
    pub hosts: Vec<Rc<Host>>,
    pub registry: Rc<Registry>,
}

/// Relays, not started yet.
pub struct Fleet {
    pub relays: Vec<Rc<Relay>>,
    /// Ends that nobody wanted.
    pub crashes: Rc<RefCell<Vec<(RelayNumber, String)>>>,
}

fn sockets(what: &'static str) -> impl Fn(std::io::Error) -> Unplayable {
    move |error| Unplayable::Sockets { what, error }
}

/// A loopback address of its own for each relay, so that nobody else is given its ports while it is down.
fn address() -> Ipv4Addr {
    static GIVEN: AtomicU8 = AtomicU8::new(0);
    let (process, given) = (std::process::id(), GIVEN.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(127, 64 + (process >> 8) as u8 % 128, process as u8, given.max(1))
}

fn free_stream(address: Ipv4Addr) -> std::io::Result<SocketAddr> {
    TcpListener::bind((address, 0))?.local_addr()
}

fn free_datagram(address: Ipv4Addr) -> std::io::Result<SocketAddr> {
    UdpSocket::bind((address, 0))?.local_addr()
}

impl World {
    /// A day's world, in which nothing listens yet.
    pub fn of(plan: &Plan) -> Result<Self, Unplayable> {
        let book = Rc::new(Book::new(Rc::new(Clock::new())));
        let places = Rc::new(Places::of(plan)?);
        let weather = Rc::new(Weather::new(places.clone()));
        let traffic = Rc::new(Traffic::new(plan.seed, &plan.load, &plan.destinations));
        let destinations: Vec<_> =
            plan.destinations.iter().map(|plan| Rc::new(Destination::new(plan))).collect();
        let first = places.first().count();
        let host = |(number, facts): (usize, &HostFacts)| {
            let is_its = |destination: &&Rc<Destination>| destination.plan.number == facts.destination;
            let destination = destinations.iter().find(is_its)?.clone();
            let draws = draws(plan.seed, Stream::Hosts, number as u64);
            let (number, is_there) = (number as HostNumber, number < first);
            Some(Rc::new(Host::new(number, facts.zone, destination, book.clone(), draws, is_there)))
        };
        let hosts: Vec<_> = places.hosts.iter().enumerate().filter_map(host).collect();
        let registry = Rc::new(Registry::new(book.clone(), places.clone(), hosts.clone()));
        let plan = Rc::new(plan.clone());
        Ok(World { plan, book, places, weather, traffic, destinations, hosts, registry })
    }

    /// Opens all links, which are served by the tasks of `links`, and lays out the relays.
    pub async fn open(
        &self, links: &mut JoinSet<()>, program: &Path, base: &Path, logs: &Path,
    ) -> Result<Fleet, Unplayable> {
        let count = self.places.relays().len();
        let peers = PeerAddresses::bind(count).await.map_err(sockets("addresses of peers"))?;
        let crashes = Rc::default();
        let (mut relays, mut peer_listen) = (Vec::new(), Vec::new());
        let owns: Vec<Ipv4Addr> = self.places.relays().map(|_| address()).collect();
        let listens: Vec<SocketAddr> = owns
            .iter()
            .map(|own| free_stream(*own))
            .collect::<Result<_, _>>()
            .map_err(sockets("a relay's address"))?;
        for relay in self.places.relays() {
            let (own, listen) = (owns[usize::from(relay)], listens[usize::from(relay)]);
            let datagrams = free_datagram(own).map_err(sockets("a relay's address for datagrams"))?;
            let mut of_peers = peers.of(usize::from(relay)).map_err(sockets("addresses of peers"))?;
            // Its own place in the list is where it listens itself.
            of_peers[usize::from(relay)] = datagrams;
            let discovery = self.agent(links, relay)?;
            self.endpoints(links, relay)?;
            peer_listen.push(datagrams);
            let log = logs.join(format!("n{relay}.log"));
            // What an earlier day left there is no part of this one.
            File::create(&log).map_err(|error| Unplayable::Folder { path: log.clone(), error })?;
            let mut folder = Folder::new(&base.join(format!("n{relay}")))?;
            if self.plan.fleet.members {
                folder.form(&self.operator(links, relay, &listens)?, &self.key())?;
            }
            let addresses = Addresses { listen, peer_listen: datagrams, discovery, peers: of_peers };
            relays.push(Rc::new(Relay {
                number: relay,
                program: program.to_owned(),
                folder,
                log,
                listen,
                book: self.book.clone(),
                config: self.config(relay, addresses),
                starts: Cell::new(0),
                ready: watch::Sender::new(false),
                crashes: Rc::clone(&crashes),
            }));
        }
        links.spawn_local(relay_datagrams(self.weather.clone(), self.plan.seed, peers, peer_listen));
        Ok(Fleet { relays, crashes })
    }

    /// A link that draws from a stream of its own.
    pub fn link(&self, caller: Party, called: Party) -> Link {
        let number = |party| match party {
            Party::Relay(relay) => u64::from(relay),
            Party::Host(host) => (1 << 16) + u64::from(host),
            Party::Discovery => 1 << 60,
            Party::Clients => 1 << 61,
        };
        let number = (number(caller) << 1) ^ number(called).rotate_left(32);
        let draws = Rc::new(RefCell::new(draws(self.plan.seed, Stream::Streams, number)));
        Link { weather: self.weather.clone(), caller, called, draws }
    }

    fn agent(&self, links: &mut JoinSet<()>, relay: RelayNumber) -> Result<SocketAddr, Unplayable> {
        let (registry, traffic) = (self.registry.clone(), self.traffic.clone());
        let target = Rc::new(move |stream| {
            hosts::boxed(discovery::serve(registry.clone(), traffic.clone(), relay, stream))
        });
        let link = self.link(Party::Relay(relay), Party::Discovery);
        let doors = Doors::new(link, (Ipv4Addr::LOCALHOST, 0).into(), target);
        let doors = doors.map_err(sockets("discovery's agent"))?;
        let address = doors.address();
        // Discovery's agent takes connections always.
        let (open, refuses) = watch::channel(false);
        links.spawn_local(async move {
            doors.serve(refuses).await;
            drop(open);
        });
        Ok(address)
    }

    /// Each relay reaches each host at an address of its own.
    fn endpoints(&self, links: &mut JoinSet<()>, relay: RelayNumber) -> Result<(), Unplayable> {
        let mut endpoints = Vec::new();
        for host in &self.hosts {
            let (served, traffic) = (host.clone(), self.traffic.clone());
            let target = Rc::new(move |stream| {
                hosts::boxed(hosts::serve(served.clone(), relay, traffic.clone(), stream))
            });
            let link = self.link(Party::Relay(relay), Party::Host(host.number));
            let doors = Doors::new(link, (Ipv4Addr::LOCALHOST, 0).into(), target);
            let doors = doors.map_err(sockets("a host"))?;
            endpoints.push(doors.address());
            links.spawn_local(doors.serve(host.refuses()));
        }
        self.registry.reached_at(relay, endpoints);
        Ok(())
    }

    fn config(&self, relay: RelayNumber, addresses: Addresses) -> super::processes::Config {
        let (plan, registry) = (self.plan.clone(), self.registry.clone());
        Rc::new(move |start| {
            let seed = draws(plan.seed, Stream::Relays, (start << 16) | u64::from(relay)).random();
            config(&plan, relay, &addresses, seed, registry.known(relay))
        })
    }
}
