//! What the decision module answers to long seeded streams of events, folded into one number.
//!
//! Danger: code that is only moved or put another way decides something else, unseen by tests of one danger
//! each. A change of behaviour on purpose changes [`SAME`]: the failed test prints the new number, and the
//! commit that takes it over says what behaves otherwise, and why.

mod common;
mod world;

use std::hash::Hasher;

use common::*;
use pewterseam::interface::*;
use siphasher::sip::SipHasher13;
use world::World;

/// All actions of all worlds, with their times.
const SAME: u64 = 0x3c06_85b4_fa23_caa5;

#[test]
fn the_same_events_bring_the_same_actions() {
    let apart = Kind { routes_apart: true, bundle: 4 };
    let shared = Kind { routes_apart: false, bundle: 1 };
    let mut zoned = zoned();
    let effect = Effect::Guarded { window: 6 * SECOND, group: Group::All };
    zoned.classes.push(Class { effect, in_order: false, ..zoned.classes[GUARDED].clone() });
    let many = Settings { senders: 6, kinds: vec![shared, apart], ..settings() };
    let tenants = vec![Tenant { quota_per_s: 2.0 }, Tenant { quota_per_s: 40.0 }];
    let rough = Settings { senders: 3, kinds: vec![apart, shared], tenants, over_share_worth: 0.3, ..zoned };
    let rough = Settings { listing: Listing::Rough, lateness: Lateness::Halving, ..rough };
    let rough = Settings { ask_registry: true, ends_by_notice: true, ..rough };
    let silent = Settings { senders: 60, listing: Listing::Silent, max_retry_after: 0, ..settings() };
    let silent = Settings { ask_registry: true, ..silent };
    let alone = Settings { may_tell: false, listing: Listing::Rough, ..silent.clone() };
    let folded = SipHasher13::new_with_keys(0, 0);
    let folded = World::new(many, 6, true, folded).play();
    let folded = World::new(rough, 3, true, folded).play();
    let folded = World::new(silent, 5, false, folded).play();
    let folded = World::new(alone, 5, true, folded).play();
    let found = folded.finish();
    assert_eq!(found, SAME, "what is decided has changed: {found:#018x}");
}
