//! The memberships of the core: majorities before and after each step meet.

use pewterseam_control::{CoreMember, CoreMembership};
use pewterseam_wire::identity::{DiskId, NodeName};

/// Members that the sets are drawn from.
const MOST: usize = 6;

fn member(index: usize) -> CoreMember {
    CoreMember { name: NodeName::new(&format!("node-{index}")), disk: DiskId(index as u64 + 1) }
}

/// The members whose bits are set.
fn members(bits: usize) -> Vec<CoreMember> {
    (0..MOST).filter(|index| bits & (1 << index) != 0).map(member).collect()
}

/// For each set of members, whether it is a majority.
fn majorities(core: &CoreMembership) -> Vec<bool> {
    (0..1 << MOST).map(|bits| core.is_majority(members(bits).iter())).collect()
}

/// Whether no majority of the one misses all of a majority of the other. It is enough to look at complements.
fn meet(first: &CoreMembership, second: &CoreMembership) -> bool {
    let (first, second) = (majorities(first), majorities(second));
    let all = (1 << MOST) - 1;
    (0..1 << MOST).all(|bits| !(first[bits] && second[all & !bits]))
}

/// Guards against a step between two memberships over which two majorities decide apart: all steps between all sets of
/// up to six members, forwards and on to the completed membership.
#[test]
fn majorities_of_neighbouring_memberships_meet() {
    let mut joint = 0;
    for from in 1..1 << MOST {
        let before = CoreMembership::new(members(from));
        for to in 1..1 << MOST {
            let next = before.towards(members(to));
            assert!(meet(&before, &next), "{from:b} to {to:b}");
            if let Some(completed) = next.completed() {
                joint += 1;
                assert!(meet(&next, &completed), "{from:b} to {to:b}, completed");
                assert_eq!(completed.outgoing(), None);
            }
        }
    }
    assert!(joint > 3_000, "only {joint} joint memberships");
}

/// Guards against a check that sees nothing: two members exchanged without a joint membership decide apart.
#[test]
fn an_exchange_without_a_joint_membership_is_found() {
    assert!(!meet(&CoreMembership::new(members(0b000_111)), &CoreMembership::new(members(0b011_001))));
}

/// Guards against values that only one of the two sets has reached.
#[test]
fn a_value_counts_once_both_sets_have_reached_it() {
    let joint = CoreMembership::new(members(0b000_111)).towards(members(0b111_000));
    let reached = |member: &CoreMember| if member.disk.0 <= 3 { 9 } else { 4 };
    assert_eq!(joint.majority_value(reached), 4);
    assert_eq!(joint.voters().count(), 6);
    assert_eq!(joint.completed().map(|core| core.majority_value(reached)), Some(4));
}
