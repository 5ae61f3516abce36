//! Core memberships: the majorities before and after each step overlap.

use pewterseam_control::{CoreMember, CoreMembership};
use pewterseam_wire::identity::{DiskId, NodeName};

/// The number of members from which the sets are drawn.
const MAX_MEMBERS: usize = 6;

fn member(index: usize) -> CoreMember {
    CoreMember { name: NodeName::new(&format!("node-{index}")), disk: DiskId(index as u64 + 1) }
}

/// The members whose bits are set.
fn members(bits: usize) -> Vec<CoreMember> {
    (0..MAX_MEMBERS).filter(|index| bits & (1 << index) != 0).map(member).collect()
}

/// For each set of members, whether it is a majority.
fn majorities(core: &CoreMembership) -> Vec<bool> {
    (0..1 << MAX_MEMBERS).map(|bits| core.is_majority(members(bits).iter())).collect()
}

/// Whether every majority of the one membership overlaps every majority of the other. It suffices to compare each set
/// with its complement.
fn majorities_overlap(first: &CoreMembership, second: &CoreMembership) -> bool {
    let (first, second) = (majorities(first), majorities(second));
    let all = (1 << MAX_MEMBERS) - 1;
    (0..1 << MAX_MEMBERS).all(|bits| !(first[bits] && second[all & !bits]))
}

/// Guards against two consecutive memberships whose majorities can decide independently of each other. Covers all
/// steps between all sets of up to six members, and on to the completed membership.
#[test]
fn majorities_of_consecutive_memberships_overlap() {
    let mut joint = 0;
    for from in 1..1 << MAX_MEMBERS {
        let before = CoreMembership::new(members(from));
        for to in 1..1 << MAX_MEMBERS {
            let next = before.towards(members(to));
            assert!(majorities_overlap(&before, &next), "{from:b} to {to:b}");
            if let Some(completed) = next.completed() {
                joint += 1;
                assert!(majorities_overlap(&next, &completed), "{from:b} to {to:b}, completed");
                assert_eq!(completed.outgoing(), None);
            }
        }
    }
    assert!(joint > 3_000, "only {joint} joint memberships");
}

/// Guards against a check that finds nothing: swapping two members without a joint membership lets two majorities
/// decide independently.
#[test]
fn a_swap_without_a_joint_membership_is_detected() {
    assert!(!majorities_overlap(
        &CoreMembership::new(members(0b000_111)),
        &CoreMembership::new(members(0b011_001))
    ));
}

/// Guards against counting a value that only one of the two sets has reached.
#[test]
fn a_value_needs_a_majority_of_both_sets() {
    let joint = CoreMembership::new(members(0b000_111)).towards(members(0b111_000));
    let reached = |member: &CoreMember| if member.disk.0 <= 3 { 9 } else { 4 };
    assert_eq!(joint.majority_value(reached), 4);
    assert_eq!(joint.voters().count(), 6);
    assert_eq!(joint.completed().map(|core| core.majority_value(reached)), Some(4));
}
