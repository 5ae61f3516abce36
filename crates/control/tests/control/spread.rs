//! How a committed entry reaches the processes outside the core.

use bytes::Bytes;
use pewterseam_control::{OperatorRequest, Outcome};

use crate::simulation::cluster::{Cluster, MS};
use crate::simulation::routes::{configuration, routes};
use crate::{call, formed_cluster};

/// 30 Mbit/s.
const SLOW_LINK: u64 = 30_000_000 / 8;

/// A link that is busy with configurations for longer than this keeps its process from answering in time: a membership
/// probe waits 500 ms, and an owner's lease 1.5 s.
const MAX_BUSY: u64 = 800 * MS;

const CORE: usize = 5;
const RELAYS: usize = 64;
const STORES: usize = 17;

/// A change of about 400 KB.
fn large_change() -> Bytes {
    Bytes::from(format!(r#"{{"version":2,"upsert":{{"routes":[{}]}}}}"#, routes(1..1_700)))
}

fn large_system(seed: u64) -> Cluster {
    let mut cluster = formed_cluster(seed, CORE, RELAYS, STORES);
    let accepted = call(&mut cluster, CORE, 1, OperatorRequest::put(0, configuration(1)));
    assert_eq!(accepted, Some(Outcome::Accepted { version: 1 }), "seed {seed}");
    cluster.run(1_000 * MS);
    cluster
}

/// Runs until all running processes know this version. Returns the time, and the longest time for which a link was
/// busy.
fn run_until_known_by_all(cluster: &mut Cluster, version: u64, most: u64) -> (u64, u64) {
    let (start, mut busy) = (cluster.now, 0);
    while cluster.now < start + most {
        busy = busy.max(cluster.longest_backlog());
        let controls = (0..cluster.nodes.len()).filter_map(|node| cluster.control(node));
        if controls.into_iter().all(|control| control.state().config.version >= version) {
            return (cluster.now - start, busy);
        }
        cluster.run(10 * MS);
    }
    (most, busy)
}

/// Guards against one large change that saturates the links of the leader or another process for seconds: 86 processes
/// with 30 Mbit/s, 400 KB.
#[test]
fn a_large_change_does_not_saturate_a_link() {
    for seed in 0..5 {
        let mut cluster = large_system(seed);
        cluster.rate = Some(SLOW_LINK);
        let accepted = call(&mut cluster, 0, 2, OperatorRequest::patch(1, large_change()));
        assert_eq!(accepted, Some(Outcome::Accepted { version: 2 }), "seed {seed}");
        let (time, busy) = run_until_known_by_all(&mut cluster, 2, 10_000 * MS);
        println!("seed {seed}: known by all after {} ms, a link busy for {} ms", time / MS, busy / MS);
        assert!(busy < MAX_BUSY, "seed {seed}: a link was busy for {} ms", busy / MS);
        assert!(time < 3_000 * MS, "seed {seed}: {} ms", time / MS);
        cluster.run(2_000 * MS);
        cluster.checks.finish();
        assert_eq!(cluster.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against processes that never learn of an entry because a store or a relay above them in the tree dies while
/// it forwards the entry.
#[test]
fn a_large_change_reaches_all_when_forwarding_processes_die() {
    for seed in 0..12 {
        let mut cluster = large_system(seed);
        cluster.rate = Some(SLOW_LINK);
        assert!(cluster.operator(0, pewterseam_control::Token(2), OperatorRequest::patch(1, large_change())));
        cluster.run((100 + 25 * seed) * MS);
        cluster.kill(CORE + RELAYS + seed as usize);
        cluster.run(150 * MS);
        cluster.kill(CORE + 5 * seed as usize);
        let (time, _) = run_until_known_by_all(&mut cluster, 2, 20_000 * MS);
        println!("seed {seed}: known by all after {} ms", time / MS);
        assert!(time < 4_000 * MS, "seed {seed}: {} ms", time / MS);
    }
}

/// Guards against sending the complete state again and again to the processes below a store that dies while it
/// forwards a large change: they must get only what they lack. The bound is that of catching up: 1.2 times what has to
/// be sent once.
#[test]
fn only_missing_bytes_are_sent_after_a_forwarding_process_dies() {
    let change = large_change().len();
    let mut most = 0.0_f64;
    for seed in 0..12 {
        let mut cluster = large_system(seed);
        cluster.rate = Some(SLOW_LINK);
        cluster.received.clear();
        assert!(cluster.operator(0, pewterseam_control::Token(2), OperatorRequest::patch(1, large_change())));
        cluster.run((100 + 25 * seed) * MS);
        cluster.kill(CORE + RELAYS + seed as usize);
        run_until_known_by_all(&mut cluster, 2, 20_000 * MS);
        let running = (0..cluster.nodes.len()).filter(|node| cluster.control(*node).is_some()).count();
        let sent: usize = cluster.received.values().sum();
        let part = sent as f64 / (running * change) as f64;
        println!("seed {seed}: {sent} bytes to {running} processes, {part:.2} of the change to each");
        most = most.max(part);
    }
    assert!(most <= 1.2, "{most:.2} times the change was sent to each process in the mean");
}
