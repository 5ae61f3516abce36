//! Datagrams between relays. Each relay has an address of the rig for each of its peers: what it sends there
//! goes to that peer, and comes from the address that the peer has for it.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep_until};

use super::state::{Struck, Weather};
use crate::real::draws::{Draws, Stream, between, draws, happens};
use crate::real::places::Party;

/// Longest datagram that is passed on whole; relays may send 256 bytes.
const MOST_BYTES: usize = 2048;
/// How much later a datagram comes that comes out of order.
const REORDERED: (f64, f64) = (5_000.0, 60_000.0);
/// A link that crawls keeps datagrams for so long; what would take longer is lost.
const MOST_CRAWL: Duration = Duration::from_secs(1);

/// The addresses that relays know their peers by.
pub struct PeerAddresses {
    /// By the relay that knows it, then by the peer it stands for.
    sockets: Vec<Vec<Rc<UdpSocket>>>,
}

impl PeerAddresses {
    pub async fn bind(relays: usize) -> io::Result<Self> {
        let mut sockets = Vec::new();
        for _ in 0..relays {
            let mut of_relay = Vec::new();
            for _ in 0..relays {
                of_relay.push(Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?));
            }
            sockets.push(of_relay);
        }
        Ok(PeerAddresses { sockets })
    }

    /// What a relay's configuration says of its peers.
    pub fn of(&self, relay: usize) -> io::Result<Vec<SocketAddr>> {
        self.sockets[relay].iter().map(|socket| socket.local_addr()).collect()
    }
}

/// Passes datagrams on for good, to where relays listen.
pub async fn relay_datagrams(
    weather: Rc<Weather>, seed: u64, addresses: PeerAddresses, listen: Vec<SocketAddr>,
) {
    let mut ways = JoinSet::new();
    let relays = listen.len();
    for (from, to) in (0..relays).flat_map(|from| (0..relays).map(move |to| (from, to))) {
        if from == to {
            continue;
        }
        let number = (from * relays + to) as u64;
        let way = Way {
            weather: weather.clone(),
            from: Party::Relay(from as u16),
            to: Party::Relay(to as u16),
            draws: RefCell::new(draws(seed, Stream::Datagrams, number)),
            crawled_until: Cell::new(Instant::now()),
            out: addresses.sockets[to][from].clone(),
            target: listen[to],
        };
        ways.spawn_local(way.run(addresses.sockets[from][to].clone(), listen[from]));
    }
    while ways.join_next().await.is_some() {}
}

struct Way {
    weather: Rc<Weather>,
    from: Party,
    to: Party,
    draws: RefCell<Draws>,
    crawled_until: Cell<Instant>,
    out: Rc<UdpSocket>,
    target: SocketAddr,
}

impl Way {
    async fn run(self, socket: Rc<UdpSocket>, sender: SocketAddr) {
        let mut buffer = vec![0; MOST_BYTES];
        loop {
            // An error here tells of an earlier datagram that met a closed port.
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
            if from == sender {
                for at in self.arrivals(length) {
                    self.pass_on(buffer[..length].to_vec(), at);
                }
            }
        }
    }

    /// When a datagram arrives; never, once or twice.
    fn arrivals(&self, length: usize) -> Vec<Instant> {
        let state = self.weather.state(self.from, self.to);
        let draws = &mut *self.draws.borrow_mut();
        if state.cut || happens(draws, state.drop_part) {
            self.weather.strike(Struck::DatagramLost);
            return Vec::new();
        }
        let now = Instant::now();
        let mut delay = state.drawn_delay(draws);
        if happens(draws, state.reorder_part) {
            self.weather.strike(Struck::DatagramDisordered);
            delay += between(draws, REORDERED.0, REORDERED.1);
        }
        if let Some(rate) = state.crawl_bytes_a_second {
            let begins = self.crawled_until.get().max(now);
            if begins - now > MOST_CRAWL {
                self.weather.strike(Struck::DatagramLost);
                return Vec::new();
            }
            self.crawled_until.set(begins + Duration::from_secs_f64(length as f64 / rate.max(1.0)));
            delay += (self.crawled_until.get() - now).as_micros() as f64;
        }
        let after = |delay: f64| now + Duration::from_micros(delay as u64);
        let mut arrivals = vec![after(delay)];
        if happens(draws, state.duplicate_part) {
            self.weather.strike(Struck::DatagramDoubled);
            arrivals.push(after(delay + between(draws, 0.0, REORDERED.1)));
        }
        arrivals
    }

    fn pass_on(&self, bytes: Vec<u8>, at: Instant) {
        let (out, target) = (self.out.clone(), self.target);
        spawn_local(async move {
            sleep_until(at).await;
            // A datagram that can't be sent now is lost, as any may be.
            let _ = out.try_send_to(&bytes, target);
        });
    }
}
