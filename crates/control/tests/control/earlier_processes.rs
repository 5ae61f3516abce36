//! Answers to calls of an earlier process of a node that reach a later process of it.

use pewterseam_control::{
    CallId, Contact, Control, ControlMessage, ControlSettings, Effect, OperatorRequest, Outcome, Token,
};
use pewterseam_membership::MemberChange;
use pewterseam_wire::frame;
use pewterseam_wire::identity::{DiskId, NodeName};
use serde::{Deserialize, Serialize};

use crate::orders::outcomes;
use crate::repeated_calls::relay;
use crate::simulation::cluster::{Cluster, MS, document};
use crate::{call, formed_cluster};

const SEEDS: u64 = 50;

/// Two relays without a disk: the one that is restarted, and another one that operators call.
const RESTARTED: usize = 3;
const OTHER: usize = 4;

/// The token of each process's first call.
const FIRST: Token = Token(1);
const REPEATED: Token = Token(2);

const LEADER_SUSPENDED: u64 = 600 * MS;

/// A cluster whose leader is suspended while a relay forwards its first call, is killed and restarts. The relay's next
/// process has taken its first call when the leader resumes.
fn call_in_two_processes(seed: u64, first: &OperatorRequest, second: &OperatorRequest) -> Cluster {
    let mut cluster = formed_cluster(seed, 3, 2, 3);
    let base = OperatorRequest::put(0, document(1, "base"));
    assert_eq!(call(&mut cluster, OTHER, 9, base), Some(Outcome::Accepted { version: 1 }), "seed {seed}");
    cluster.kill(RESTARTED);
    cluster.start_after(RESTARTED, 0);
    cluster.run(2_000 * MS);
    let leader = cluster.leader().expect("a leader");
    cluster.freeze(leader, LEADER_SUSPENDED);
    assert!(cluster.operator(RESTARTED, FIRST, first.clone()));
    cluster.run(100 * MS);
    cluster.kill(RESTARTED);
    cluster.start_after(RESTARTED, 0);
    cluster.run((20 + seed) * MS);
    assert!(cluster.operator(RESTARTED, FIRST, second.clone()));
    cluster.run(4_000 * MS);
    cluster
}

/// Guards against acknowledging two changes that are based on one version. This happens if the leader's answer to a
/// change that a killed process forwarded is taken for the answer to the change that the node's next process forwards.
#[test]
fn two_changes_by_two_processes_of_a_relay_are_not_both_acknowledged() {
    let mut acknowledged = 0;
    for seed in 0..SEEDS {
        let first = OperatorRequest::put(1, document(2, "the first operator's"));
        let second = OperatorRequest::put(1, document(2, "the second operator's"));
        let mut cluster = call_in_two_processes(seed, &first, &second);
        assert!(cluster.operator(OTHER, REPEATED, first.clone()));
        cluster.run(2_000 * MS);
        let accepted = Outcome::Accepted { version: 2 };
        let is_first = outcomes(&mut cluster, REPEATED.0).contains(&accepted);
        let is_second = outcomes(&mut cluster, FIRST.0).contains(&accepted);
        assert!(!(is_first && is_second), "seed {seed}: both changes on version 1 were acknowledged");
        acknowledged += usize::from(is_first || is_second);
    }
    assert_eq!(acknowledged as u64, SEEDS, "one of the two is taken each time");
}

/// Guards against taking the answer to one kind of call for the answer to another: a read that gets the answer to a
/// change of an earlier process, or a change that gets the answer to an earlier read.
#[test]
fn a_read_gets_no_answer_to_a_change_of_an_earlier_process() {
    for seed in 0..SEEDS {
        let change = OperatorRequest::put(1, document(2, "the operator's"));
        let mut cluster = call_in_two_processes(seed, &change, &OperatorRequest::ReadConfig);
        let received = outcomes(&mut cluster, FIRST.0);
        assert!(
            matches!(received.as_slice(), [Outcome::Config(_) | Outcome::Unknown]),
            "seed {seed}: a read was answered with {received:?}"
        );
        let mut cluster = call_in_two_processes(seed, &OperatorRequest::ReadConfig, &change);
        let received = outcomes(&mut cluster, FIRST.0);
        let is_fitting = |outcome: &Outcome| {
            matches!(outcome, Outcome::Accepted { version: 2 } | Outcome::Conflict { .. } | Outcome::Unknown)
        };
        assert!(received.iter().all(is_fitting), "seed {seed}: a change was answered with {received:?}");
    }
}

/// A process of a relay that knows one core member, and the first request of its lease.
fn relay_with_lease_request(seed: u64) -> (Control, CallId) {
    let settings = ControlSettings::default();
    let control = Control::new(0, &relay(1, None), settings, (None, Vec::new()), seed);
    let mut control = control.expect("starts");
    let effects = control.member(0, &MemberChange::Up(relay(2, Some(DiskId(2))).into()));
    let asked = effects.iter().find_map(|effect| match effect {
        Effect::Send { message: ControlMessage::Operator { call, .. }, .. } => Some(*call),
        _ => None,
    });
    (control, asked.expect("a question"))
}

/// Guards against a lease that is confirmed by the request of an earlier process: the process would believe that it
/// knows everything that was committed before its own request, although the leader answered before that.
#[test]
fn the_answer_to_an_earlier_process_confirms_no_lease() {
    for seed in 0..SEEDS {
        let (_, earlier) = relay_with_lease_request(seed);
        let (mut control, own) = relay_with_lease_request(SEEDS + seed);
        let core = NodeName::new("node-2");
        let answer = |call| ControlMessage::OperatorAnswer { call, outcome: Outcome::Index(0) };
        control.message(500 * MS, &core, answer(earlier));
        let lost = control.contact(500 * MS);
        assert!(
            matches!(lost, Contact::LostSince(_)),
            "seed {seed}: {lost:?} by the answer to another process"
        );
        control.message(500 * MS, &core, answer(own));
        let found = control.contact(500 * MS);
        assert!(
            matches!(found, Contact::InTouch { .. }),
            "seed {seed}: {found:?} by the answer to this process"
        );
    }
}

/// The call messages as builds before this one encode them: calls are numbered from 1 in each process.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OldMessage {
    Operator { token: u64, request: OperatorRequest },
    OperatorAnswer { token: u64, outcome: Outcome },
    NotLeader { token: u64, leader: Option<NodeName> },
}

/// Guards against an upgrade from the previous build, or a rollback to it, in which one side cannot decode the other's
/// calls.
#[test]
fn calls_are_compatible_with_the_previous_build() {
    let largest = CallId(u64::MAX);
    let pairs = [
        (
            OldMessage::Operator { token: u64::MAX, request: OperatorRequest::RenewLease },
            ControlMessage::Operator { call: largest, request: OperatorRequest::RenewLease },
        ),
        (
            OldMessage::OperatorAnswer { token: u64::MAX, outcome: Outcome::Index(4) },
            ControlMessage::OperatorAnswer { call: largest, outcome: Outcome::Index(4) },
        ),
        (
            OldMessage::NotLeader { token: u64::MAX, leader: Some(NodeName::new("node-2")) },
            ControlMessage::NotLeader { call: largest, leader: Some(NodeName::new("node-2")) },
        ),
    ];
    for (old, new) in pairs {
        let (old_bytes, new_bytes) =
            (frame::encode(&old).expect("encodes"), frame::encode(&new).expect("encodes"));
        assert_eq!(frame::decode::<ControlMessage>(&old_bytes).expect("decodes"), new);
        assert_eq!(frame::decode::<OldMessage>(&new_bytes).expect("decodes"), old);
    }
}
