//! Which relay is followed as the home of a service.

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

/// The ID of a grant by `home` to `asker`, some time after the start.
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

/// Guards against equal grant IDs of two homes that started within one millisecond. A home would treat the permits of the
/// other home as its own, and grant the unused ones again.
#[test]
fn grants_of_two_homes_have_different_ids() {
    let [first, second, asker] = by_rank();
    let (of_first, of_second) = (grant(&first, &asker), grant(&second, &asker));
    assert_eq!(of_first.home_life, of_second.home_life);
    assert_ne!(of_first, of_second);
}

/// The relays to which a relay sends its requests for permits.
fn request_receivers(permits: &mut Permits, now: Micros) -> Vec<NodeName> {
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

/// Three relays by their rank for the service. The first is its home.
fn by_rank() -> [NodeName; 3] {
    let names = ["a", "b", "c"].map(NodeName::new);
    let ranks_before = |first: &NodeName, second: &NodeName| {
        let mut permits = permits(first, &[first.clone(), second.clone()], SECOND);
        !claims(&mut permits, SECOND).is_empty()
    };
    let mut ranked = names;
    for _ in 0..ranked.len() {
        for place in 1..ranked.len() {
            if ranks_before(&ranked[place], &ranked[place - 1]) {
                ranked.swap(place - 1, place);
            }
        }
    }
    ranked
}

/// Guards against relays that follow the claim of a partitioned relay, and continue to send requests to it after it has
/// read the current list and grants nothing.
#[test]
fn a_claim_by_a_relay_ranked_below_the_listed_home_is_denied() {
    let [home, claimant, other] = by_rank();
    let mut partitioned = permits(&claimant, &[claimant.clone(), other.clone()], SECOND);
    let (to, claim) = claims(&mut partitioned, SECOND).remove(0);
    assert_eq!(to, other);
    let mut at_other = permits(&other, &[home.clone(), claimant.clone(), other.clone()], SECOND);
    at_other.receive(2 * SECOND, &claimant, claim);
    let denied = at_other.step(2 * SECOND).into_iter().any(|PermitEffect::Send { to, message }| {
        to == claimant && matches!(message, PermitMessage::Deny { .. })
    });
    assert!(denied);
    assert_eq!(request_receivers(&mut at_other, 3 * SECOND), [home]);
}

/// Guards against a denied relay that repeats its claim without a delay.
#[test]
fn a_denied_claim_is_repeated_after_a_delay() {
    let [_, claimant, other] = by_rank();
    let mut partitioned = permits(&claimant, &[claimant.clone(), other.clone()], SECOND);
    let (_, message) = claims(&mut partitioned, SECOND).remove(0);
    let PermitMessage::Claim { service, claim } = message else { panic!("a claim") };
    partitioned.receive(SECOND, &other, PermitMessage::Deny { service, claim });
    assert!(claims(&mut partitioned, SECOND + 1_000).is_empty());
    assert_eq!(claims(&mut partitioned, 2 * SECOND).len(), 1);
}

/// Guards against endless requests to a relay that was followed only because of its claim and is gone.
#[test]
fn a_home_that_is_never_listed_is_abandoned() {
    let [first, second, third] = by_rank();
    let mut newcomer = permits(&first, &[first.clone(), third.clone()], SECOND);
    let (_, claim) = claims(&mut newcomer, SECOND).remove(0);
    let mut follower = permits(&third, &[second.clone(), third.clone()], SECOND);
    follower.receive(2 * SECOND, &first, claim);
    assert_eq!(request_receivers(&mut follower, 3 * SECOND), [first]);
    assert_eq!(request_receivers(&mut follower, 6 * SECOND), [second]);
}

/// The claim of a home to the next relay, the handover message that it sends when it ends, and the time of its end.
fn ended_home(
    home: &NodeName, next: &NodeName, relays: &[NodeName],
) -> (PermitMessage, PermitMessage, Micros) {
    let mut permits = permits(home, relays, SECOND);
    let claims = claims(&mut permits, SECOND);
    let (_, claim) = claims.into_iter().find(|(to, _)| to == next).expect("a claim to the next relay");
    let ends_at = 10 * SECOND;
    permits.hand_over(ends_at);
    let handover = permits.step(ends_at).into_iter().find_map(|PermitEffect::Send { to, message }| {
        (to == *next && matches!(message, PermitMessage::HandOver { .. })).then_some(message)
    });
    (claim, handover.expect("a ledger for the next relay"), ends_at)
}

/// Guards against a next home that waits although the previous home sent its ledger, whether the ledger or the change of
/// the relay list arrives first.
#[test]
fn a_next_home_uses_the_ledger_of_the_previous_home() {
    let relays = by_rank();
    let [home, next, other] = relays.clone();
    let (claim, handover, ends_at) = ended_home(&home, &next, &relays);
    for is_list_first in [false, true] {
        let mut permits = permits(&next, &relays, SECOND);
        permits.receive(SECOND, &home, claim.clone());
        if is_list_first {
            permits.set_relays(ends_at, &[next.clone(), other.clone()]);
            assert!(!claims(&mut permits, ends_at).is_empty());
        }
        permits.receive(ends_at, &home, handover.clone());
        permits.set_relays(ends_at, &[next.clone(), other.clone()]);
        assert!(claims(&mut permits, ends_at + SECOND).is_empty(), "list first: {is_list_first}");
    }
}

/// Guards against a ledger that is lost because relays that still list the previous home deny the claim of the next one.
/// The restarted home would then wait as if its permits were unknown.
#[test]
fn a_ledger_is_kept_after_a_denial() {
    let relays = by_rank();
    let [home, next, other] = relays.clone();
    let (claim, handover, ends_at) = ended_home(&home, &next, &relays);
    let mut permits = permits(&next, &relays, SECOND);
    permits.receive(SECOND, &home, claim);
    permits.set_relays(ends_at, &[next.clone(), other.clone()]);
    let (_, message) = claims(&mut permits, ends_at).remove(0);
    let PermitMessage::Claim { service, claim } = message else { panic!("a claim") };
    permits.receive(ends_at, &home, handover);
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

/// Guards against a delayed ledger, which lacks permits that the next process of its home has granted meanwhile.
#[test]
fn a_delayed_handover_is_ignored() {
    let relays = by_rank();
    let [home, next, other] = relays.clone();
    let (claim, handover, ends_at) = ended_home(&home, &next, &relays);
    let mut again = permits_of_life(&home, 2, &relays, ends_at);
    let (_, second_claim) = claims(&mut again, ends_at).remove(0);
    let mut permits = permits(&next, &relays, SECOND);
    permits.receive(SECOND, &home, claim);
    permits.receive(ends_at, &home, second_claim);
    permits.receive(ends_at + 3 * SECOND, &home, handover);
    permits.set_relays(ends_at + 3 * SECOND, &[next, other]);
    assert!(!claims(&mut permits, ends_at + 3 * SECOND).is_empty());
}

/// Guards against a home that was partitioned while it waited, and opens although another home that was followed
/// meanwhile may still hold its core lease.
#[test]
fn a_waiting_home_waits_longer_for_a_home_that_came_later() {
    let [first, me, witness] = by_rank();
    let mut waiting = permits(&me, &[me.clone(), witness.clone()], SECOND);
    let (_, message) = claims(&mut waiting, SECOND).remove(0);
    let PermitMessage::Claim { service, claim } = message else { panic!("a claim") };
    let seen = Seen { since_ago_ms: 60_000, homes: vec![(first, 0)] };
    waiting.receive(3 * SECOND, &witness, PermitMessage::Vouch { service, claim, seen });
    assert!(!claims(&mut waiting, 7 * SECOND).is_empty(), "the home opened after 6 s");
    assert!(claims(&mut waiting, 9 * SECOND).is_empty(), "the home did not open after 8 s");
}
