//! Members whose own disk does not answer.

use crate::simulation::cluster::{Cluster, DiskTrouble, MS, document};
use crate::{call, formed};
use pewterseam_control::{OperatorRequest, Outcome, Token};

fn set_cut(cluster: &mut Cluster, a: usize, b: usize, cut: bool) {
    for link in [(a, b), (b, a)] {
        if cut {
            cluster.cuts.insert(link);
        } else {
            cluster.cuts.remove(&link);
        }
    }
}

fn isolate(cluster: &mut Cluster, node: usize, cut: bool) {
    for other in (0..cluster.nodes.len()).filter(|other| *other != node) {
        set_cut(cluster, node, other, cut);
    }
}

/// The leader loses power and comes back with a disk that stands still. It owes that disk nothing yet, and stands first.
/// Returns whether it asked the others for their promises.
fn stand_on_a_stalled_disk(cluster: &mut Cluster, leader: usize) -> bool {
    cluster.disks.insert(leader, DiskTrouble::Stalled);
    cluster.stood.clear();
    cluster.lose_power(leader);
    cluster.start_after(leader, 50 * MS);
    for _ in 0..400 {
        cluster.run(10 * MS);
        if cluster.stood.contains_key(&leader) {
            // The others' promises are synced and arrive.
            cluster.run(50 * MS);
            return true;
        }
    }
    false
}

/// Guards against a node that leads one epoch in two lives, and two entries with one stamp: its disk stands still, it has
/// the others' promises and not its own, loses power, and stands again.
#[test]
fn no_epoch_is_led_in_two_lives() {
    let (mut stood, mut broken) = (0, Vec::new());
    for seed in 0..300 {
        let mut cluster = formed(seed, 3, 1, 3);
        let accepted = call(&mut cluster, 3, 1, OperatorRequest::put(0, document(1, "one")));
        assert_eq!(accepted, Some(Outcome::Accepted { version: 1 }));
        let stalled = cluster.leader().expect("leads");
        if !stand_on_a_stalled_disk(&mut cluster, stalled) {
            continue;
        }
        stood += 1;
        if cluster.leader() == Some(stalled) {
            broken.push(format!("seed {seed}: node {stalled} leads without its own promise"));
        }
        let (reached, other) = ((stalled + 1) % 3, (stalled + 2) % 3);
        // One member alone accepts the operator's change before the leader loses power.
        set_cut(&mut cluster, stalled, other, true);
        cluster.operator(stalled, Token(7), OperatorRequest::put(1, document(2, "X")));
        cluster.run(20 * MS);
        cluster.nodes[stalled].disk.lose_power(0);
        cluster.kill(stalled);
        set_cut(&mut cluster, stalled, other, false);
        isolate(&mut cluster, reached, true);
        cluster.disks.clear();
        cluster.start_after(stalled, (100 + 60 * (seed % 30)) * MS);
        for _ in 0..400 {
            cluster.run(10 * MS);
            if cluster.leader().is_some_and(|leader| leader != reached) {
                break;
            }
        }
        cluster.run(20 * MS);
        // First only the leader's messages reach the member that accepted the change.
        cluster.cuts.remove(&(stalled, reached));
        cluster.run(700 * MS);
        isolate(&mut cluster, reached, false);
        cluster.run(3_000 * MS);
        call(&mut cluster, 3, 9, OperatorRequest::put(1, document(2, "Y")));
        cluster.run(4_000 * MS);
        cluster.checks.finish();
        broken.extend(cluster.checks.broken.iter().map(|line| format!("seed {seed}: {line}")));
    }
    println!("{stood} of 300 seeds bring the trouble about, {} lines broken", broken.len());
    assert!(stood > 200, "{stood} seeds bring the trouble about");
    assert_eq!(broken, Vec::<String>::new());
}

/// Guards against a core that waits for a leader whose own disk stands still or is full: another member leads within 5 s,
/// changes are taken meanwhile, and no two entries share a stamp when power is lost on top.
#[test]
fn a_leader_with_a_stalled_disk_gives_way() {
    let mut spans = Vec::new();
    for seed in 0..100 {
        let mut cluster = formed(seed, 3, 1, 3);
        let leader = cluster.leader().expect("leads");
        let trouble = if seed % 2 == 0 { DiskTrouble::Stalled } else { DiskTrouble::Full };
        // Its promise is synced by now.
        cluster.disks.insert(leader, trouble);
        let start = cluster.now;
        cluster.operator(3, Token(1), OperatorRequest::put(0, document(1, "one")));
        while cluster.leader().is_none_or(|other| other == leader) {
            cluster.run(10 * MS);
            assert!(cluster.now < start + 5_000 * MS, "seed {seed}: the stalled member leads on");
        }
        spans.push((cluster.now - start) / MS);
        cluster.stood.clear();
        for _ in 0..5 {
            cluster.run(1_000 * MS);
            assert_ne!(cluster.leader(), Some(leader), "seed {seed}: the stalled member leads again");
        }
        let again = call(&mut cluster, 3, 2, OperatorRequest::put(0, document(1, "one")));
        assert_eq!(again, Some(Outcome::Accepted { version: 1 }), "seed {seed}");
        assert_eq!(cluster.stood.get(&leader), None, "seed {seed}: it stood");
        cluster.lose_power(leader);
        cluster.start_after(leader, 300 * MS);
        cluster.disks.clear();
        cluster.run(4_000 * MS);
        let accepted = call(&mut cluster, leader, 3, OperatorRequest::put(1, document(2, "two")));
        assert_eq!(accepted, Some(Outcome::Accepted { version: 2 }), "seed {seed}");
        cluster.checks.finish();
        assert_eq!(cluster.checks.broken, Vec::<String>::new(), "seed {seed}");
    }
    spans.sort_unstable();
    println!("another member leads {} ms after the stall (median), {} ms at most", spans[50], spans[99]);
}

/// Guards against a member with a stalled disk that disturbs a core which has a leader, and against one that stays out
/// once its disk answers.
#[test]
fn a_stalled_follower_does_no_harm() {
    for seed in 0..50 {
        let mut cluster = formed(seed, 3, 1, 3);
        let leader = cluster.leader().expect("leads");
        let stalled = (leader + 1) % 3;
        cluster.disks.insert(stalled, DiskTrouble::Stalled);
        for version in 1..6 {
            let request = OperatorRequest::put(version - 1, document(version, "x"));
            assert_eq!(call(&mut cluster, 3, version, request), Some(Outcome::Accepted { version }));
            cluster.run(1_000 * MS);
        }
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
        cluster.disks.clear();
        cluster.run(500 * MS);
        cluster.kill((leader + 2) % 3);
        cluster.run(4_000 * MS);
        let accepted = call(&mut cluster, 3, 9, OperatorRequest::put(5, document(6, "x")));
        assert_eq!(accepted, Some(Outcome::Accepted { version: 6 }), "seed {seed}");
        cluster.checks.finish();
        assert_eq!(cluster.checks.broken, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a member with a stalled disk that stands again and again, and so raises the epoch for nothing: it stands
/// once, learns that its disk owes a sync, and leaves elections to others.
#[test]
fn a_member_with_a_stalled_disk_stands_once() {
    for seed in 0..30 {
        let mut cluster = formed(seed, 3, 1, 3);
        let stalled = cluster.leader().expect("leads");
        let (gone, other) = ((stalled + 1) % 3, (stalled + 2) % 3);
        cluster.kill(gone);
        assert!(stand_on_a_stalled_disk(&mut cluster, stalled), "seed {seed}: it did not stand");
        cluster.run(10_000 * MS);
        assert_eq!(cluster.leader(), None, "seed {seed}");
        // One request for promises to each of the others.
        assert_eq!(cluster.stood.get(&stalled), Some(&2), "seed {seed}");
        assert_eq!(cluster.stood.get(&other), None, "seed {seed}: a stalled disk promises nothing");
        cluster.start_after(gone, 10 * MS);
        cluster.run(5_000 * MS);
        assert!(cluster.leader().is_some_and(|leader| leader != stalled), "seed {seed}");
        cluster.checks.finish();
        assert_eq!(cluster.checks.broken, Vec::<String>::new(), "seed {seed}");
    }
}
