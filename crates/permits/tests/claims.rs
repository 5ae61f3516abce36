//! Who is followed as the home of a service.

use std::sync::Arc;

use pewterseam_permits::{PermitEffect, PermitMessage, Permits, Settings};
use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

const SECOND: Micros = 1_000_000;
const SERVICE: &str = "service";

fn permits(name: &NodeName, relays: &[NodeName], now: Micros) -> Permits {
    let mut permits = Permits::new(Settings {
        me: name.clone(),
        life: 1,
        window: 5 * SECOND,
        overshoot: 1.1,
        bootstrap: false,
        core_lease: 4 * SECOND,
    });
    permits.set_core_lease(now, now + 1_000 * SECOND);
    permits.set_services(now, [(Arc::from(SERVICE), 10.0)]);
    permits.set_relays(now, relays);
    permits
}

/// Where a relay sends its requests for permits.
fn asks(permits: &mut Permits, now: Micros) -> Vec<NodeName> {
    permits.set_demand(SERVICE, 1);
    let effects = permits.step(now).into_iter();
    let request =
        |PermitEffect::Send { to, message }| matches!(message, PermitMessage::Request { .. }).then_some(to);
    effects.filter_map(request).collect()
}

fn claims(permits: &mut Permits, now: Micros) -> Vec<(NodeName, PermitMessage)> {
    let effects = permits.step(now).into_iter();
    let claim = |PermitEffect::Send { to, message }| {
        matches!(message, PermitMessage::Claim { .. }).then_some((to, message))
    };
    effects.filter_map(claim).collect()
}

/// Three relays by their rank for the service: the first is its home.
fn by_rank() -> [NodeName; 3] {
    let names = ["a", "b", "c"].map(NodeName::new);
    let goes_before = |first: &NodeName, second: &NodeName| {
        let mut permits = permits(first, &[first.clone(), second.clone()], SECOND);
        !claims(&mut permits, SECOND).is_empty()
    };
    let mut ranked = names;
    for _ in 0..ranked.len() {
        for place in 1..ranked.len() {
            if goes_before(&ranked[place], &ranked[place - 1]) {
                ranked.swap(place - 1, place);
            }
        }
    }
    ranked
}

/// Guards against relays that follow one that was cut off, go on asking it when it goes by the list again, and are
/// granted nothing for ever.
#[test]
fn a_claim_behind_the_home_of_the_list_is_denied() {
    let [home, claimant, other] = by_rank();
    let mut cut_off = permits(&claimant, &[claimant.clone(), other.clone()], SECOND);
    let (to, claim) = claims(&mut cut_off, SECOND).remove(0);
    assert_eq!(to, other);
    let mut at_other = permits(&other, &[home.clone(), claimant.clone(), other.clone()], SECOND);
    at_other.receive(2 * SECOND, &claimant, claim);
    let denied = at_other.step(2 * SECOND).into_iter().any(|PermitEffect::Send { to, message }| {
        to == claimant && matches!(message, PermitMessage::Deny { .. })
    });
    assert!(denied);
    assert_eq!(asks(&mut at_other, 3 * SECOND), [home]);
}

/// Guards against a relay that was denied and claims again at once, each time.
#[test]
fn a_denied_claim_is_made_again_after_a_pause() {
    let [_, claimant, other] = by_rank();
    let mut cut_off = permits(&claimant, &[claimant.clone(), other.clone()], SECOND);
    let (_, message) = claims(&mut cut_off, SECOND).remove(0);
    let PermitMessage::Claim { service, claim } = message else { panic!("a claim") };
    cut_off.receive(SECOND, &other, PermitMessage::Deny { service, claim });
    assert!(claims(&mut cut_off, SECOND + 1_000).is_empty());
    assert_eq!(claims(&mut cut_off, 2 * SECOND).len(), 1);
}

/// Guards against a home that was followed on its word alone, is gone, and is asked for ever.
#[test]
fn a_home_that_never_comes_on_the_list_is_given_up() {
    let [first, second, third] = by_rank();
    let mut newcomer = permits(&first, &[first.clone(), third.clone()], SECOND);
    let (_, claim) = claims(&mut newcomer, SECOND).remove(0);
    let mut follower = permits(&third, &[second.clone(), third.clone()], SECOND);
    follower.receive(2 * SECOND, &first, claim);
    assert_eq!(asks(&mut follower, 3 * SECOND), [first]);
    assert_eq!(asks(&mut follower, 6 * SECOND), [second]);
}
