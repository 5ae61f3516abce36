//! Messages whose `retentionS` is over while another relay takes them over.

mod common;

use common::{MILLISECOND, offer, with_orphan};
use pewterseam_wire::record::End;

// Danger: the end of a message that has succeeded is forgotten, and the message runs again.
#[test]
fn an_orphan_whose_time_is_over_is_not_run() {
    let (mut world, name, mut orphan) = with_orphan();
    orphan.age_ms = orphan.record.retention_ms + 60_000;
    offer(&mut world, &orphan);
    world.run_for(5_000 * MILLISECOND);
    assert!(world.submitted.is_empty());
    assert!(world.queue.is_empty());
    let ends = world.stores.values().filter_map(|store| store.ends.get(&name));
    assert!(ends.clone().count() >= 2, "the stores know that it is over");
    assert!(ends.clone().all(|end| *end == End::Expired));
}

// Danger: the time ends while stores are asked, and the timer for it has gone by.
#[test]
fn an_orphan_whose_time_ends_while_it_is_claimed_is_not_run() {
    let (mut world, _, mut orphan) = with_orphan();
    orphan.age_ms = orphan.record.retention_ms;
    world.hold_claims = true;
    offer(&mut world, &orphan);
    world.run_for(30_000 * MILLISECOND);
    world.answer_claims();
    world.run_for(1_000 * MILLISECOND);
    assert!(world.submitted.is_empty());
}
