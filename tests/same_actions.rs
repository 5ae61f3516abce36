//! Hashes the decision module's answers to long seeded event streams into one number.
//!
//! Without this, a refactoring can change decisions unnoticed by tests that each check one failure. A
//! deliberate change of behaviour changes [`EXPECTED_HASH`]: the failed test prints the new number, and the
//! commit that adopts it says what behaves differently, and why.

mod common;
mod world;

use std::hash::Hasher;

use common::*;
use pewterseam::interface::*;
use siphasher::sip::SipHasher13;
use world::World;

/// Hash over all actions of all worlds, with their times.
const EXPECTED_HASH: u64 = 0x3c06_85b4_fa23_caa5;

#[test]
fn the_same_events_give_the_same_actions() {
    let apart = Kind { limit_per_host: true, max_bundle: 4 };
    let shared = Kind { limit_per_host: false, max_bundle: 1 };
    let mut zoned = zoned();
    let effect = Effect::Guarded { window: 6 * SECOND, group: Group::All };
    zoned.classes.push(Class { effect, in_order: false, ..zoned.classes[GUARDED].clone() });
    let many = Settings { senders: 6, kinds: vec![shared, apart], ..settings() };
    let tenants = vec![Tenant { quota_per_s: 2.0 }, Tenant { quota_per_s: 40.0 }];
    let rough = Settings { senders: 3, kinds: vec![apart, shared], tenants, over_quota_value: 0.3, ..zoned };
    let rough = Settings {
        weight_meaning: WeightMeaning::ApproximateRate,
        value_decay: ValueDecay::Halving,
        ..rough
    };
    let rough = Settings { polls_registry: true, ends_by_notice: true, ..rough };
    let silent =
        Settings { senders: 60, weight_meaning: WeightMeaning::Ignored, max_retry_after: 0, ..settings() };
    let silent = Settings { polls_registry: true, ..silent };
    let alone = Settings {
        may_message_peers: false,
        weight_meaning: WeightMeaning::ApproximateRate,
        ..silent.clone()
    };
    let hasher = SipHasher13::new_with_keys(0, 0);
    let hasher = World::new(many, 6, true, hasher).play();
    let hasher = World::new(rough, 3, true, hasher).play();
    let hasher = World::new(silent, 5, false, hasher).play();
    let hasher = World::new(alone, 5, true, hasher).play();
    let found = hasher.finish();
    assert_eq!(found, EXPECTED_HASH, "the decisions have changed; new hash: {found:#018x}");
}
