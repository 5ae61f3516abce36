//! Changes of the core and of the stores: disks are lost, machines are replaced, stores are retired.

use crate::simulation::cluster::{Cluster, MS, document};
use crate::simulation::routes::{configuration, route};
use crate::{call, formed_cluster};
use pewterseam_control::{Contact, OperatorRequest, Outcome};
use pewterseam_wire::identity::{NodeName, Role};

fn core_names(cluster: &Cluster, node: usize) -> Vec<String> {
    let control = cluster.control(node).expect("runs");
    let mut names: Vec<String> = control.core().iter().map(|member| member.name.to_string()).collect();
    names.sort();
    names
}

fn store_names(cluster: &Cluster, node: usize) -> Vec<String> {
    let placement = &cluster.control(node).expect("runs").state().placement;
    assert_eq!(placement.sets.len(), 1, "sets have not collapsed");
    let mut names: Vec<String> = placement.sets[0].iter().map(|store| store.id.name.to_string()).collect();
    names.sort();
    names
}

fn assert_no_violations(cluster: &mut Cluster) {
    cluster.checks.finish();
    assert_eq!(cluster.checks.violations, Vec::<String>::new());
}

/// Guards against a member that votes although its disk was lost, and against one that is never admitted again.
#[test]
fn a_member_with_a_lost_disk_is_admitted_again() {
    for seed in 0..20 {
        let mut cluster = formed_cluster(seed, 3, 2, 3);
        let accepted = call(&mut cluster, 4, 1, OperatorRequest::put(0, document(5, "kept")));
        assert_eq!(accepted, Some(Outcome::Accepted { version: 5 }));
        let victim = (seed % 3) as usize;
        cluster.lose_disk(victim);
        let disk = cluster.nodes[victim].info.disk;
        cluster.start_after(victim, 1_000 * MS);
        cluster.run(8_000 * MS);
        let control = cluster.control((victim + 1) % 3).expect("runs");
        assert_eq!(control.core().len(), 3, "seed {seed}");
        assert!(control.core().iter().any(|member| Some(member.disk) == disk), "seed {seed}");
        // A second disk may be lost by then.
        let second = (victim + 1) % 3;
        cluster.lose_disk(second);
        cluster.start_after(second, 1_000 * MS);
        cluster.run(8_000 * MS);
        let Some(Outcome::Config(config)) = call(&mut cluster, 3, 2, OperatorRequest::ReadConfig) else {
            panic!("seed {seed}: no configuration")
        };
        assert_eq!(config.version, 5, "seed {seed}");
        assert_no_violations(&mut cluster);
    }
}

/// Guards against a core whose members cannot be replaced: half of it is replaced by other machines, one by one.
#[test]
fn half_of_the_core_is_replaced() {
    for seed in 0..10 {
        let mut cluster = formed_cluster(seed, 4, 2, 3);
        call(&mut cluster, 4, 1, OperatorRequest::put(0, document(5, "kept")));
        for gone in [1, 0] {
            cluster.kill(gone);
            let spare = cluster.add(Role::Relay, true);
            cluster.start_after(spare, 500 * MS);
            cluster.run(10_000 * MS);
        }
        assert_eq!(core_names(&cluster, 2), ["node-10", "node-2", "node-3", "node-9"], "seed {seed}");
        // The remaining machines of the first core are replaced as well, one at a time.
        cluster.kill(2);
        let accepted = call(&mut cluster, 4, 2, OperatorRequest::put(5, document(6, "after")));
        assert!(
            matches!(accepted, Some(Outcome::Accepted { .. } | Outcome::Unknown)),
            "seed {seed}: {accepted:?}"
        );
        cluster.run(4_000 * MS);
        let accepted = call(&mut cluster, 4, 3, OperatorRequest::put(5, document(6, "after")));
        assert_eq!(accepted, Some(Outcome::Accepted { version: 6 }), "seed {seed}");
        assert_no_violations(&mut cluster);
    }
}

/// Guards against stores that are retired too early, never, or below the number that the tolerance requires.
#[test]
fn stores_are_retired() {
    let mut cluster = formed_cluster(5, 3, 2, 4);
    let store = |index: usize| NodeName::new(&format!("node-{index}"));
    let retire = |index: usize| OperatorRequest::Retire { node: store(index) };
    let read = |index: usize| OperatorRequest::ReadRetire { node: store(index) };
    assert_eq!(call(&mut cluster, 0, 1, retire(99)), Some(Outcome::UnknownStore));
    assert_eq!(call(&mut cluster, 0, 2, read(5)), Some(Outcome::UnknownStore));
    assert_eq!(call(&mut cluster, 3, 3, retire(5)), Some(Outcome::Retiring));
    assert_eq!(call(&mut cluster, 4, 4, read(5)), Some(Outcome::RetireState { completed: false }));
    assert_eq!(call(&mut cluster, 1, 5, retire(5)), Some(Outcome::Retiring));
    assert_eq!(call(&mut cluster, 1, 6, retire(6)), Some(Outcome::TooFewStores));
    cluster.run(3_000 * MS);
    assert_eq!(call(&mut cluster, 4, 7, read(5)), Some(Outcome::RetireState { completed: true }));
    assert_eq!(call(&mut cluster, 2, 8, retire(5)), Some(Outcome::Retiring));
    assert_eq!(store_names(&cluster, 0), ["node-6", "node-7", "node-8"]);
    // The machine is removed; it must neither be placed again meanwhile nor count as missing.
    cluster.kill(5);
    cluster.run(5_000 * MS);
    assert_eq!(store_names(&cluster, 4), ["node-6", "node-7", "node-8"]);
}

/// Guards against a lost store that is not replaced, whether only its disk was lost or another machine takes its
/// place.
#[test]
fn lost_stores_are_replaced() {
    for seed in 0..10 {
        let mut cluster = formed_cluster(seed, 3, 2, 3);
        cluster.lose_disk(6);
        let disk = cluster.nodes[6].info.disk;
        cluster.start_after(6, 700 * MS);
        cluster.run(6_000 * MS);
        let sets = cluster.control(0).expect("runs").state().placement.sets.clone();
        assert_eq!((sets.len(), sets[0].len()), (1, 3), "seed {seed}");
        assert!(sets[0].iter().any(|store| Some(store.id.disk) == disk), "seed {seed}");
        // Another machine of the same zone replaces a dead one.
        cluster.kill(5);
        let spare = cluster.add(Role::Store, true);
        assert_eq!(cluster.nodes[spare].info.zone, cluster.nodes[5].info.zone);
        cluster.start_after(spare, 3_000 * MS);
        cluster.run(8_000 * MS);
        assert_eq!(store_names(&cluster, 1), ["node-6", "node-7", "node-8"], "seed {seed}");
    }
}

/// Guards against removing a store that was down for a moment.
#[test]
fn a_store_that_restarts_stays_placed() {
    let mut cluster = formed_cluster(5, 3, 2, 3);
    let epoch = cluster.control(0).expect("runs").state().placement.epoch;
    cluster.kill(6);
    cluster.start_after(6, 6_000 * MS);
    cluster.run(12_000 * MS);
    assert_eq!(cluster.control(0).expect("runs").state().placement.epoch, epoch);
}

/// Guards against a system that is not ready after all processes were killed, or that serves an older state.
#[test]
fn acknowledged_changes_survive_a_restart_of_all_processes() {
    for seed in 0..30 {
        let mut cluster = formed_cluster(seed, 4, 2, 3);
        let mut based_on = 0;
        for version in 1..6 {
            let accepted =
                call(&mut cluster, 5, version, OperatorRequest::put(based_on, document(version, "x")));
            assert_eq!(accepted, Some(Outcome::Accepted { version }), "seed {seed}");
            based_on = version;
        }
        for node in 0..cluster.nodes.len() {
            if seed % 2 == 0 {
                cluster.kill(node)
            } else {
                cluster.lose_power(node)
            }
            let pause = cluster.random.below(900) as u64 * MS;
            cluster.start_after(node, pause);
        }
        cluster.run(3_000 * MS);
        for node in 0..cluster.nodes.len() {
            let control = cluster.control(node).expect("runs");
            assert!(control.is_current(cluster.now), "seed {seed}: node {node}");
            assert_eq!(control.state().config.version, 5, "seed {seed}: node {node}");
        }
        assert_no_violations(&mut cluster);
    }
}

/// Guards against a single member that takes the state on its disk for the newest one, however many changes it has
/// missed, and against two of three members that do not serve. After a restart of all processes a majority of the core
/// is sufficient and necessary.
#[test]
fn a_single_member_does_not_serve_its_own_state() {
    let mut cluster = formed_cluster(5, 3, 2, 3);
    call(&mut cluster, 3, 1, OperatorRequest::put(0, document(5, "kept")));
    cluster.kill(1);
    call(&mut cluster, 3, 2, OperatorRequest::put(5, document(6, "slept through")));
    cluster.run(1_000 * MS);
    for node in 0..cluster.nodes.len() {
        cluster.kill(node);
    }
    let start = cluster.now + 100 * MS;
    cluster.start_after(1, 100 * MS);
    for _ in 0..30 {
        cluster.run(1_000 * MS);
        let contact = cluster.control(1).expect("runs").contact(cluster.now);
        assert_eq!(contact, Contact::LostSince(start));
    }
    cluster.start_after(2, 100 * MS);
    cluster.run(3_000 * MS);
    let control = cluster.control(1).expect("runs");
    assert!(control.is_current(cluster.now));
    assert_eq!(control.state().config.version, 6);
}

/// Guards against logs that grow without bound, and snapshots that cannot be read.
#[test]
fn logs_are_replaced_by_snapshots() {
    let mut cluster = formed_cluster(5, 3, 2, 3);
    let note = "n".repeat(40_000);
    let mut based_on = 0;
    for version in 1..60 {
        let accepted =
            call(&mut cluster, 3, version, OperatorRequest::put(based_on, document(version, &note)));
        assert_eq!(accepted, Some(Outcome::Accepted { version }));
        based_on = version;
    }
    cluster.run(1_000 * MS);
    for node in 0..3 {
        let (snapshot, records) = cluster.nodes[node].disk.log();
        let size: usize = records.iter().map(|record| record.len()).sum();
        assert!(snapshot.is_some() && size < 800_000, "node {node}: {size} bytes of records");
    }
    for node in 0..3 {
        cluster.lose_power(node);
        cluster.start_after(node, 500 * MS);
    }
    cluster.run(3_000 * MS);
    assert_eq!(cluster.control(0).expect("runs").state().config.version, 59);
    assert_no_violations(&mut cluster);
}

/// Guards against sending a large configuration completely with every change, and against a wrong configuration after
/// a change.
#[test]
fn large_configurations_are_not_resent_for_each_change() {
    let mut cluster = formed_cluster(5, 4, 4, 3);
    let accepted = call(&mut cluster, 5, 1, OperatorRequest::put(0, configuration(5_000)));
    assert_eq!(accepted, Some(Outcome::Accepted { version: 1 }));
    cluster.run(1_000 * MS);
    for node in 0..8 {
        assert!(cluster.control(node).expect("runs").config().is_ok());
    }
    cluster.counts_bytes = true;
    for version in 2..32 {
        let upsert = route(version as usize * 7, 600 + version);
        let patch = format!(r#"{{"version":{version},"upsert":{{"routes":[{upsert}]}}}}"#);
        let accepted = call(&mut cluster, 6, version, OperatorRequest::patch(version - 1, patch.into()));
        assert_eq!(accepted, Some(Outcome::Accepted { version }));
    }
    cluster.run(500 * MS);
    let bytes = cluster.bytes / 30;
    println!("{bytes} bytes for each change, in all");
    assert!(bytes < 50_000);
    for node in 0..8 {
        let config = cluster.control(node).expect("runs").config().expect("compiled");
        assert_eq!(config.version, 31, "node {node}");
        assert_eq!(
            config.route("h17.example", "/p217/x").map(|route| route.timeout_ms),
            Some(631.0),
            "node {node}"
        );
    }
}
