//! Who is followed as the home of a service.

use std::sync::Arc;

use pewterseam_permits::{GrantId, PermitEffect, PermitMessage, Permits, Seen, Settings};
use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

const SECOND: Micros = 1_000_000;
const SERVICE: &str = "service";

fn permits(name: &NodeName, relays: &[NodeName], now: Micros) -> Permits {
    permits_of_life(name, 1, relays, now)
}

fn permits_of_life(name: &NodeName, life: u64, relays: &[NodeName], now: Micros) -> Permits {
    let mut permits = Permits::new(Settings {
        me: name.clone(),
        life,
        window: 5 * SECOND,
        overshoot: 1.1,
        bootstrap: false,
        core_lease: 4 * SECOND,
        homes_are_agreed: false,
    });
    permits.set_core_lease(now, now + 1_000 * SECOND);
    permits.set_services(now, [(Arc::from(SERVICE), 10.0)]);
    permits.set_relays(now, relays);
    permits
}

/// A grant of a home to another relay, some time after its start.
fn grant(home: &NodeName, asker: &NodeName) -> GrantId {
    let mut permits = permits(home, &[home.clone(), asker.clone()], SECOND);
    for now in 1..60 {
        permits.step(now * SECOND);
    }
    let (now, service) = (60 * SECOND, Arc::from(SERVICE));
    let request = PermitMessage::Request { service, life: 7, sent_at: now, wanted: 1, settled: Vec::new() };
    permits.receive(now, asker, request);
    let granted =
        permits.step(now).into_iter().find_map(|PermitEffect::Send { message, .. }| match message {
            PermitMessage::Grant { grant, .. } => Some(grant),
            _ => None,
        });
    granted.expect("a grant")
}

/// Guards against a home that takes the permits of another one for its own, as both started within one millisecond and
/// count from the same number: what is left of the other's would be granted again.
#[test]
fn grants_of_two_homes_never_have_one_name() {
    let [first, second, asker] = by_rank();
    let (of_first, of_second) = (grant(&first, &asker), grant(&second, &asker));
    assert_eq!(of_first.home_life, of_second.home_life);
    assert_ne!(of_first, of_second);
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

/// A home with its claim to the next relay, after it has waited until it may grant; and what it hands over when it ends.
fn home_that_ends(
    home: &NodeName, next: &NodeName, relays: &[NodeName],
) -> (PermitMessage, PermitMessage, Micros) {
    let mut permits = permits(home, relays, SECOND);
    let claims = claims(&mut permits, SECOND);
    let (_, claim) = claims.into_iter().find(|(to, _)| to == next).expect("a claim to the next relay");
    let ends_at = 10 * SECOND;
    permits.hand_over(ends_at);
    let handed = permits.step(ends_at).into_iter().find_map(|PermitEffect::Send { to, message }| {
        (to == *next && matches!(message, PermitMessage::HandOver { .. })).then_some(message)
    });
    (claim, handed.expect("a ledger for the next relay"), ends_at)
}

/// Guards against a next home that waits although the one before has told it of its permits, whichever it learns first:
/// that the other is gone, or what it granted.
#[test]
fn a_next_home_takes_what_was_handed_over() {
    let relays = by_rank();
    let [home, next, other] = relays.clone();
    let (claim, handed, ends_at) = home_that_ends(&home, &next, &relays);
    for is_gone_first in [false, true] {
        let mut permits = permits(&next, &relays, SECOND);
        permits.receive(SECOND, &home, claim.clone());
        if is_gone_first {
            permits.set_relays(ends_at, &[next.clone(), other.clone()]);
            assert!(!claims(&mut permits, ends_at).is_empty());
        }
        permits.receive(ends_at, &home, handed.clone());
        permits.set_relays(ends_at, &[next.clone(), other.clone()]);
        assert!(claims(&mut permits, ends_at + SECOND).is_empty(), "gone first: {is_gone_first}");
    }
}

/// Guards against a ledger that is lost where the next home has it, and is denied by relays that do not know yet that the
/// one before has gone: the home that starts again then waits as if nobody knew of its permits.
#[test]
fn a_ledger_outlasts_a_denial() {
    let relays = by_rank();
    let [home, next, other] = relays.clone();
    let (claim, handed, ends_at) = home_that_ends(&home, &next, &relays);
    let mut permits = permits(&next, &relays, SECOND);
    permits.receive(SECOND, &home, claim);
    permits.set_relays(ends_at, &[next.clone(), other.clone()]);
    let (_, message) = claims(&mut permits, ends_at).remove(0);
    let PermitMessage::Claim { service, claim } = message else { panic!("a claim") };
    permits.receive(ends_at, &home, handed);
    permits.receive(ends_at, &other, PermitMessage::Deny { service, claim });
    let mut again = permits_of_life(&home, 2, &relays, ends_at);
    let (_, second_claim) = claims(&mut again, ends_at).remove(0);
    permits.set_relays(ends_at, &relays);
    permits.receive(ends_at, &home, second_claim);
    let yielded = permits.step(ends_at).into_iter().any(|PermitEffect::Send { to, message }| {
        to == home && matches!(message, PermitMessage::Yield { .. })
    });
    assert!(yielded);
}

/// Guards against a ledger that comes late, when the next process of its home has granted permits that are not in it.
#[test]
fn a_late_hand_over_is_passed_over() {
    let relays = by_rank();
    let [home, next, other] = relays.clone();
    let (claim, handed, ends_at) = home_that_ends(&home, &next, &relays);
    let mut again = permits_of_life(&home, 2, &relays, ends_at);
    let (_, second_claim) = claims(&mut again, ends_at).remove(0);
    let mut permits = permits(&next, &relays, SECOND);
    permits.receive(SECOND, &home, claim);
    permits.receive(ends_at, &home, second_claim);
    permits.receive(ends_at + 3 * SECOND, &home, handed);
    permits.set_relays(ends_at + 3 * SECOND, &[next, other]);
    assert!(!claims(&mut permits, ends_at + 3 * SECOND).is_empty());
}

/// Guards against a home that was cut off while it waited, and begins although another one that was followed meanwhile
/// may still hold the core's word.
#[test]
fn a_home_waits_longer_for_one_that_came_after_it() {
    let [first, me, witness] = by_rank();
    let mut waiting = permits(&me, &[me.clone(), witness.clone()], SECOND);
    let (_, message) = claims(&mut waiting, SECOND).remove(0);
    let PermitMessage::Claim { service, claim } = message else { panic!("a claim") };
    let seen = Seen { since_ago_ms: 60_000, homes: vec![(first, 0)] };
    waiting.receive(3 * SECOND, &witness, PermitMessage::Vouch { service, claim, seen });
    assert!(!claims(&mut waiting, 7 * SECOND).is_empty(), "it has begun after 6 s");
    assert!(claims(&mut waiting, 9 * SECOND).is_empty(), "it has not begun after 8 s");
}
