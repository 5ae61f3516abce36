//! Orphaned messages whose retention (`retentionS`) passes before or during adoption.

mod common;

use common::{MILLISECOND, offer, with_orphan};
use pewterseam_wire::record::End;

// Without this check, stores forget the end of a completed message, and a later adoption runs it again.
#[test]
fn an_expired_orphan_is_not_run() {
    let (mut world, name, mut orphan) = with_orphan();
    orphan.age_ms = orphan.record.retention_ms + 60_000;
    offer(&mut world, &orphan);
    world.run_for(5_000 * MILLISECOND);
    assert!(world.submitted.is_empty());
    assert!(world.queue.is_empty());
    let ends = world.stores.values().filter_map(|store| store.ends.get(&name));
    assert!(ends.clone().count() >= 2, "the stores know that the message expired");
    assert!(ends.clone().all(|end| *end == End::Expired));
}

// Without a second check, the message expires while stores are asked, its timer has fired already, and it runs late.
#[test]
fn an_orphan_that_expires_while_it_is_claimed_is_not_run() {
    let (mut world, _, mut orphan) = with_orphan();
    orphan.age_ms = orphan.record.retention_ms;
    world.hold_claims = true;
    offer(&mut world, &orphan);
    world.run_for(30_000 * MILLISECOND);
    world.answer_claims();
    world.run_for(1_000 * MILLISECOND);
    assert!(world.submitted.is_empty());
}
