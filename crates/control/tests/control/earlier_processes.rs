//! Answers to calls of an earlier process of a node, which reach a later one.

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
use crate::{call, formed};

const SEEDS: u64 = 50;

/// A relay without a disk, and two others that operators call.
const RESTARTED: usize = 3;
const OTHER: usize = 4;

/// The first call of each process.
const FIRST: Token = Token(1);
const SENT_AGAIN: Token = Token(2);

const STANDS_STILL: u64 = 600 * MS;

/// A cluster whose leader stands still while a relay passes on its first call, is killed and starts again. The next
/// process has taken its first call when the leader goes on.
fn call_in_two_processes(seed: u64, first: &OperatorRequest, second: &OperatorRequest) -> Cluster {
    let mut cluster = formed(seed, 3, 2, 3);
    let base = OperatorRequest::put(0, document(1, "base"));
    assert_eq!(call(&mut cluster, OTHER, 9, base), Some(Outcome::Accepted { version: 1 }), "seed {seed}");
    cluster.kill(RESTARTED);
    cluster.start_after(RESTARTED, 0);
    cluster.run(2_000 * MS);
    let leader = cluster.leader().expect("a leader");
    cluster.freeze(leader, STANDS_STILL);
    assert!(cluster.operator(RESTARTED, FIRST, first.clone()));
    cluster.run(100 * MS);
    cluster.kill(RESTARTED);
    cluster.start_after(RESTARTED, 0);
    cluster.run((20 + seed) * MS);
    assert!(cluster.operator(RESTARTED, FIRST, second.clone()));
    cluster.run(4_000 * MS);
    cluster
}

/// Guards against two changes on top of one version that are both acknowledged: the leader's answer to a change that a
/// killed process passed on is taken for the answer to the change that the node's next process passes on.
#[test]
fn two_changes_by_two_processes_of_a_relay_are_not_both_acknowledged() {
    let mut acknowledged = 0;
    for seed in 0..SEEDS {
        let first = OperatorRequest::put(1, document(2, "the first operator's"));
        let second = OperatorRequest::put(1, document(2, "the second operator's"));
        let mut cluster = call_in_two_processes(seed, &first, &second);
        assert!(cluster.operator(OTHER, SENT_AGAIN, first.clone()));
        cluster.run(2_000 * MS);
        let accepted = Outcome::Accepted { version: 2 };
        let is_first = outcomes(&mut cluster, SENT_AGAIN.0).contains(&accepted);
        let is_second = outcomes(&mut cluster, FIRST.0).contains(&accepted);
        assert!(!(is_first && is_second), "seed {seed}: both changes on version 1 were acknowledged");
        acknowledged += usize::from(is_first || is_second);
    }
    assert_eq!(acknowledged as u64, SEEDS, "one of the two is taken each time");
}

/// Guards against the answer to one kind of call that is taken for the answer to another: a read is told of a change that
/// nobody made through this process, or a change of what an earlier process had read.
#[test]
fn a_read_gets_no_answer_to_a_change_of_an_earlier_process() {
    for seed in 0..SEEDS {
        let change = OperatorRequest::put(1, document(2, "the operator's"));
        let mut cluster = call_in_two_processes(seed, &change, &OperatorRequest::ReadConfig);
        let told = outcomes(&mut cluster, FIRST.0);
        assert!(
            matches!(told.as_slice(), [Outcome::Config(_) | Outcome::Unknown]),
            "seed {seed}: a read was answered with {told:?}"
        );
        let mut cluster = call_in_two_processes(seed, &OperatorRequest::ReadConfig, &change);
        let told = outcomes(&mut cluster, FIRST.0);
        let is_fitting = |outcome: &Outcome| {
            matches!(outcome, Outcome::Accepted { version: 2 } | Outcome::Conflict { .. } | Outcome::Unknown)
        };
        assert!(told.iter().all(is_fitting), "seed {seed}: a change was answered with {told:?}");
    }
}

/// A process of a relay that knows of a member of the core, and the first question of its lease.
fn asking(seed: u64) -> (Control, CallId) {
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

/// Guards against a lease that an earlier process's question confirms: a process would hold itself for one that knows
/// all that was committed before it asked, though the leader answered before that.
#[test]
fn the_answer_to_an_earlier_process_confirms_no_lease() {
    for seed in 0..SEEDS {
        let (_, earlier) = asking(seed);
        let (mut control, own) = asking(SEEDS + seed);
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

/// The messages of calls as builds before this one have them: a call is named by a count that begins at 1 with each process.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OldMessage {
    Operator { token: u64, request: OperatorRequest },
    OperatorAnswer { token: u64, outcome: Outcome },
    NotLeader { token: u64, leader: Option<NodeName> },
}

/// Guards against a roll from the build before, or back to it, in which one side cannot read the other's calls.
#[test]
fn calls_are_read_by_the_build_before_and_from_it() {
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
