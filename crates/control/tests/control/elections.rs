//! What a member may promise, and when a leader serves.

use pewterseam_control::{
    Control, ControlMessage, ControlSettings, Effect, OperatorRequest, Outcome, Stamp, Token,
};

use crate::simulation::cluster::{Cluster, MS, document};
use crate::{call, formed_cluster};

/// Guards against a leader that answers before an entry of its own epoch is committed: its state may be older than
/// what was acknowledged, or may never have been agreed on.
#[test]
fn a_leader_serves_nothing_before_an_entry_of_its_epoch_is_committed() {
    for seed in 0..20 {
        let mut cluster = formed_cluster(seed, 3, 2, 3);
        let accepted = call(&mut cluster, 3, 1, OperatorRequest::put(0, document(5, "kept")));
        assert_eq!(accepted, Some(Outcome::Accepted { version: 5 }));
        let old = cluster.leader().expect("a leader");
        cluster.kill(old);
        cluster.drops_accepts = true;
        let leader = (0..600).find_map(|_| {
            cluster.run(10 * MS);
            cluster.leader()
        });
        let Some(leader) = leader else { panic!("seed {seed}: nobody leads") };
        assert!(cluster.operator(leader, Token(2), OperatorRequest::ReadConfig));
        assert!(cluster.operator(leader, Token(3), OperatorRequest::put(5, document(6, "next"))));
        cluster.run(800 * MS);
        assert!(cluster.leader().is_some(), "seed {seed}: nobody leads any more");
        assert!(cluster.answers.is_empty(), "seed {seed}: {:?}", cluster.answers);
        cluster.drops_accepts = false;
        cluster.run(2_000 * MS);
        // The waiting change is accepted once entries are accepted again, unless its caller has given up before.
        let change = cluster.answers.iter().find(|(_, token, _)| *token == Token(3));
        let outcome = change.map(|(_, _, outcome)| outcome.clone());
        cluster.answers.clear();
        let Some(Outcome::Config(config)) = call(&mut cluster, 3, 4, OperatorRequest::ReadConfig) else {
            panic!("seed {seed}: no configuration")
        };
        match outcome {
            Some(Outcome::Accepted { version: 6 }) => assert_eq!(config.version, 6, "seed {seed}"),
            Some(Outcome::Unknown) => assert!([5, 6].contains(&config.version), "seed {seed}"),
            other => panic!("seed {seed}: the change was answered by {other:?}"),
        }
    }
}

/// A process that starts with the content of a member's disk and without any peers.
fn alone(cluster: &Cluster, node: usize) -> (Control, u64) {
    let info = cluster.nodes[node].info.clone();
    let now = cluster.now;
    let log = cluster.nodes[node].disk.log();
    let mut control =
        Control::new(now, &info, ControlSettings::default(), log, 1).expect("the log can be read");
    control.tick(now);
    (control, now)
}

fn promised(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: ControlMessage::Promise { stamp, .. }, .. } => Some(stamp.index),
        _ => None,
    })
}

fn last_sequence(effects: &[Effect]) -> Option<u64> {
    let sequences = effects.iter().filter_map(|effect| match effect {
        Effect::Persist { sequence, .. } | Effect::Snapshot { sequence, .. } => Some(*sequence),
        _ => None,
    });
    sequences.max()
}

/// Guards against a promise that is sent before it is synced, or that names a state that is not synced, including a
/// state that was learned as committed just before.
#[test]
fn a_promise_waits_for_the_disk_and_names_a_synced_state() {
    let mut cluster = formed_cluster(3, 3, 2, 3);
    call(&mut cluster, 3, 1, OperatorRequest::put(0, document(5, "first")));
    let leader = cluster.leader().expect("a leader");
    let member = (0..3).find(|node| *node != leader).expect("another");
    cluster.kill(member);
    let accepted = call(&mut cluster, 3, 2, OperatorRequest::put(5, document(6, "second")));
    assert_eq!(accepted, Some(Outcome::Accepted { version: 6 }));
    let (mut control, now) = alone(&cluster, member);
    let index = control.index();
    let candidate = cluster.nodes[leader].info.name.clone();
    // The missing state arrives as pieces or entries in a holder's answer.
    let have = control.accepted_stamp();
    let mut learnt = Vec::new();
    for message in answers_to_fetch(&mut cluster, leader, member, have) {
        learnt.extend(control.message(now, &candidate, message));
    }
    assert!(control.index() > index, "nothing was learnt");
    let learning = last_sequence(&learnt).expect("what was learnt is written");
    let effects = control.message(now, &candidate, ControlMessage::Prepare { epoch: 70 });
    let promising = last_sequence(&effects).expect("the promise is written");
    assert!(promising > learning);
    assert_eq!(promised(&effects), None, "before anything is synced");
    assert_eq!(promised(&control.persisted(now, learning)), None, "before the promise is synced");
    assert_eq!(promised(&control.persisted(now, promising)), Some(control.index()));
    // The disk content recovers to the state that the promise named.
    let mut records: Vec<bytes::Bytes> = Vec::new();
    for effect in learnt.into_iter().chain(effects) {
        if let Effect::Persist { records: written, .. } = effect {
            records.extend(written);
        }
    }
    let (snapshot, mut log) = cluster.nodes[member].disk.log();
    log.extend(records);
    let again =
        Control::new(now, &cluster.nodes[member].info, ControlSettings::default(), (snapshot, log), 2);
    assert_eq!(again.expect("the log can be read").accepted_stamp().index, control.index());
}

fn answers_to_fetch(cluster: &mut Cluster, holder: usize, asker: usize, have: Stamp) -> Vec<ControlMessage> {
    let (from, now) = (cluster.nodes[asker].info.name.clone(), cluster.now);
    let control = cluster.nodes[holder].control.as_mut().expect("runs");
    let effects = control.message(now, &from, ControlMessage::Fetch { have });
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Send { to, message } if to == from => Some(message),
            _ => None,
        })
        .collect()
}

/// Guards against a member that leads, or is followed, because it promised a higher epoch although its log is shorter.
#[test]
fn a_higher_epoch_with_a_shorter_log_does_not_win() {
    for seed in 0..20 {
        let mut cluster = formed_cluster(seed, 3, 2, 3);
        call(&mut cluster, 3, 1, OperatorRequest::put(0, document(5, "first")));
        let leader = cluster.leader().expect("a leader");
        let short = (0..3).find(|node| *node != leader).expect("another");
        let candidate = cluster.nodes[leader].info.name.clone();
        for node in 0..cluster.nodes.len() {
            cluster.cuts.insert((node, short));
            cluster.cuts.insert((short, node));
        }
        cluster.step(short, |control, now| {
            control.message(now, &candidate, ControlMessage::Prepare { epoch: 90 })
        });
        let accepted = call(&mut cluster, 3, 2, OperatorRequest::put(5, document(6, "second")));
        assert_eq!(accepted, Some(Outcome::Accepted { version: 6 }), "seed {seed}");
        cluster.run(100 * MS);
        for node in 0..cluster.nodes.len() {
            cluster.lose_power(node);
            let pause = if node == short { 0 } else { 300 * MS };
            cluster.start_after(node, pause);
        }
        cluster.cuts.clear();
        cluster.run(4_000 * MS);
        let Some(Outcome::Config(config)) = call(&mut cluster, 3, 3, OperatorRequest::ReadConfig) else {
            panic!("seed {seed}: no configuration")
        };
        assert_eq!(config.version, 6, "seed {seed}");
        cluster.checks.finish();
        assert_eq!(cluster.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}
