//! Benchmarks one member of a large system: `cargo run --release --example size -- 3800`. The member holds a table
//! of the given size; the example prints the time that a join and a wake-up take.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use pewterseam_membership::{Effect, Membership, MembershipSettings};
use pewterseam_wire::identity::{Life, NodeInfo, NodeName, Role};

const DEFAULT_MEMBERS: usize = 3_800;
const ROUNDS: u64 = 200;
const SECOND: u64 = 1_000_000;

fn info(number: usize) -> NodeInfo {
    NodeInfo {
        name: NodeName::new(&format!("edge-hall-a-{number}")),
        life: Life(1_000),
        role: Role::Relay,
        peer_address: SocketAddr::from(([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 7240)),
        zone: Arc::from("hall-a"),
        region: Arc::from("north"),
        disk: None,
        counts_for_quorum: false,
        ready: true,
    }
}

fn main() {
    let members = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_MEMBERS);
    let settings = MembershipSettings::default;
    let own = info(0);
    let seed = own.peer_address;
    let mut machine = Membership::new(0, own, Vec::new(), settings(), 1);
    let start = Instant::now();
    for number in 1..=members {
        let mut other = Membership::new(0, info(number), vec![seed], settings(), number as u64);
        for effect in other.tick(0) {
            if let Effect::Send { datagram, .. } = effect {
                let _ = machine.datagram(0, info(number).peer_address, &datagram);
            }
        }
    }
    println!("{} members joined, {:.1} us each", machine.live_count(), micros(start) / members as f64);
    let (mut sent, mut datagrams, mut now) = (0, 0, 0);
    let start = Instant::now();
    for _ in 0..ROUNDS {
        now = machine.next_wake().max(now + 1);
        for effect in machine.tick(now) {
            if let Effect::Send { datagram, .. } = effect {
                sent += datagram.len();
                datagrams += 1;
            }
        }
    }
    let seconds = now as f64 / SECOND as f64;
    println!(
        "{ROUNDS} wake-ups in {seconds:.1} s: {:.1} us each, {datagrams} datagrams, {sent} bytes",
        micros(start) / ROUNDS as f64
    );
}

fn micros(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6
}
