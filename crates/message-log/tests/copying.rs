//! Placement changes: what a store copies, from which stores, and when it starts to count towards a quorum.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use pewterseam_message_log::Input;
use pewterseam_wire::placement::{PARTITIONS, Partition, Placement, PlacementEpoch};
use pewterseam_wire::record::{End, Fact, Record};
use pewterseam_wire::store::{Decline, Status, StoreRequest, StoreResponse};

const OLD: &[&str] = &["s1", "s2", "s3"];
const NEW: &[&str] = &["s1", "s2", "s4"];

fn stores(names: &[&str], epoch: u64, sets: &[&[&str]]) -> Vec<Node> {
    names
        .iter()
        .map(|name| {
            let mut node = Node::new(settings(name));
            node.input(Input::Placement(placement(epoch, sets)));
            node
        })
        .collect()
}

fn node<'a>(nodes: &'a mut [Node], name: &str) -> &'a mut Node {
    let index = nodes.iter().position(|node| node.id() == store_id(name));
    &mut nodes[index.unwrap_or_else(|| panic!("no store {name}"))]
}

/// Appends to a write quorum of each group of the partition, and returns the names of the stores that have the record.
fn write(nodes: &mut [Node], placement: &Placement, record: &Record, skip: usize) -> BTreeSet<String> {
    let mut holders = BTreeSet::new();
    for group in placement.groups(record.partition) {
        let quorum = group.write_quorum();
        let from = skip % (group.stores.len() - quorum + 1);
        for store in &group.stores[from..from + quorum] {
            assert!(is_done(&node(nodes, &store.name.0).ask(append(placement.epoch.0, record))));
            holders.insert(store.name.to_string());
        }
    }
    holders
}

/// Guards against a placement change after which fewer than f+1 of the remaining stores have a message, its end or its
/// owner.
#[test]
fn placement_change_keeps_f_plus_one_copies() {
    let before = placement(1, &[OLD]);
    let mut nodes = stores(&["s1", "s2", "s3", "s4"], 1, &[OLD]);
    let records: Vec<Record> = (0..300)
        .map(|number| {
            let mut record = keyed(&format!("r{number}"), &format!("key {}", number % 50), &[]);
            record.body = vec![number as u8; 10_000].into();
            record
        })
        .collect();
    for (index, record) in records.iter().enumerate() {
        let holders = write(&mut nodes, &before, record, index);
        for holder in holders.iter().filter(|_| index % 3 == 0) {
            let end = if index % 2 == 0 { completed("x") } else { End::AttemptsUsed };
            assert!(is_done(&node(&mut nodes, holder).ask(ended(&record.name, end))));
        }
        for holder in holders.iter().filter(|_| index % 3 == 1) {
            let names = vec![record.name.clone()];
            node(&mut nodes, holder).ask(StoreRequest::Claim { names, owner: owner("b", 4), claim: 2 });
        }
    }
    for node in &mut nodes {
        node.input(Input::Placement(placement(2, &[OLD, NEW])));
    }
    deliver(&mut nodes);
    for name in NEW {
        assert_eq!(node(&mut nodes, name).copied, [PlacementEpoch(2)], "{name}");
    }
    assert!(node(&mut nodes, "s3").copied.is_empty(), "not in the target");
    for node in &mut nodes {
        node.files.lose_power(3);
        node.restart();
        node.input(Input::Placement(placement(3, &[NEW])));
    }
    for (index, record) in records.iter().enumerate() {
        let mut bodies = 0;
        let mut statuses = Vec::new();
        for name in NEW {
            let node = node(&mut nodes, name);
            bodies += usize::from(node.fetch(&record.name).as_ref() == Some(record));
            statuses.extend(node.look(&record.name).filter(|status| *status != Status::Unknown));
        }
        assert!(statuses.len() >= 2, "{index}: {statuses:?}");
        assert!(statuses.iter().all(|status| *status == statuses[0]), "{index}: {statuses:?}");
        let is_completed = index % 6 == 0;
        assert!(is_completed || bodies >= 2, "{index}: {bodies} bodies");
    }
}

/// Guards against a store that answers for data that it has not copied yet, and against a store that rejects new records
/// meanwhile.
#[test]
fn new_store_answers_only_after_copying() {
    let mut nodes = stores(&["s1", "s2", "s3", "s4"], 2, &[OLD, NEW]);
    let first = keyed("first", "key", &[]);
    let new = node(&mut nodes, "s4");
    let declined = |reason| Some(StoreResponse::Declined { store: store_id("s4"), reason });
    assert_eq!(new.ask(list_open(2, "key")), declined(Decline::NotInGroup));
    assert_eq!(new.look(&first.name), None);
    assert!(is_done(&new.ask(append(2, &first))));
    assert!(is_done(&new.ask(ended(&record("other").name, completed("x")))));
    let pull =
        StoreRequest::Pull { epoch: PlacementEpoch(2), partitions: vec![first.partition], after: None };
    assert_eq!(new.ask(pull), declined(Decline::NotInGroup));
    deliver(&mut nodes);
    let new = node(&mut nodes, "s4");
    assert_eq!(new.open_names(2, "key"), std::slice::from_ref(&first.name));
    new.files.lose_power(1);
    new.restart();
    new.input(Input::Placement(placement(2, &[OLD, NEW])));
    assert_eq!(new.copied, [PlacementEpoch(2)], "it remembers that it has copied");
    assert!(new.pulls.is_empty());
    assert_eq!(new.open_names(2, "key"), [first.name]);
}

/// Guards against copying that completes although only f stores of a group have answered, and against copying that waits
/// forever for a dead store.
#[test]
fn copying_needs_answers_from_all_but_f_stores() {
    let first = keyed("first", "key", &[]);
    for failed in OLD {
        let mut nodes = stores(&["s1", "s2", "s3", "s4"], 1, &[OLD]);
        for holder in OLD.iter().filter(|name| *name != failed).take(1) {
            node(&mut nodes, holder).ask(append(1, &first));
        }
        for node in &mut nodes {
            node.input(Input::Placement(placement(2, &[OLD, NEW])));
        }
        let other = OLD.iter().find(|name| *name != failed).copied().unwrap_or_default();
        let (mut reachable, mut unreachable) = (Vec::new(), Vec::new());
        for node in nodes {
            if node.id() == store_id(failed) || node.id() == store_id(other) {
                unreachable.push(node);
            } else {
                reachable.push(node);
            }
        }
        deliver(&mut reachable);
        for _ in 0..20 {
            node(&mut reachable, "s4").advance(SECOND / 2);
            deliver(&mut reachable);
        }
        assert!(node(&mut reachable, "s4").copied.is_empty(), "only one of three has answered");
        reachable.extend(unreachable.into_iter().filter(|node| node.id() == store_id(other)));
        for _ in 0..20 {
            node(&mut reachable, "s4").advance(SECOND / 2);
            deliver(&mut reachable);
        }
        let new = node(&mut reachable, "s4");
        assert_eq!(new.copied, [PlacementEpoch(2)], "without {failed}");
        assert_eq!(new.open_names(2, "key"), std::slice::from_ref(&first.name), "without {failed}");
    }
}

/// Guards against copying that is delayed by a store that membership knows to be dead.
#[test]
fn copying_reads_from_live_stores_first() {
    let mut nodes = stores(&["s1", "s2", "s4"], 1, &[OLD]);
    let live = ["s1", "s2", "s4"].map(store_node);
    for node in &mut nodes {
        node.input(Input::Members(members(&live, &[])));
        node.input(Input::Placement(placement(2, &[OLD, NEW])));
    }
    assert!(node(&mut nodes, "s4").pulls.iter().all(|(to, ..)| *to != store_id("s3")));
    deliver(&mut nodes);
    assert_eq!(node(&mut nodes, "s4").copied, [PlacementEpoch(2)]);
}

/// Guards against pages of unlimited size, and against more than one outstanding request to a store.
#[test]
fn copying_is_paged() {
    let mut nodes = stores(&["s1", "s2", "s3", "s4"], 1, &[OLD]);
    for number in 0..200 {
        let mut record = record(&format!("r{number}"));
        record.body = vec![1; 20_000].into();
        for name in OLD {
            node(&mut nodes, name).ask(append(1, &record));
        }
    }
    for node in &mut nodes {
        node.input(Input::Placement(placement(2, &[OLD, NEW])));
    }
    let mut pages: BTreeMap<_, usize> = BTreeMap::new();
    loop {
        let new = node(&mut nodes, "s4");
        let asked: BTreeSet<_> = new.pulls.iter().map(|(to, ..)| to.clone()).collect();
        assert_eq!(asked.len(), new.pulls.len(), "one page from each store at a time");
        let Some((to, token, request)) = new.pulls.pop_front() else { break };
        let response = node(&mut nodes, &to.name.0).ask(request);
        if let Some(StoreResponse::Contents { messages, .. }) = &response {
            let bytes: usize = messages
                .iter()
                .filter_map(|message| message.record.as_ref())
                .map(|record| record.body.len())
                .sum();
            assert!(bytes <= 256 * 1024 + 20_000, "{bytes}");
            *pages.entry(to).or_default() += 1;
        }
        node(&mut nodes, "s4").input(Input::StoreResponded { token, response });
    }
    assert_eq!(node(&mut nodes, "s4").copied, [PlacementEpoch(2)]);
    assert!(pages.values().all(|count| *count > 5), "{pages:?}");
}

/// Guards against copying that is reported as finished before the data is synced, or after a part of it failed to be
/// written.
#[test]
fn copied_is_reported_only_after_sync() {
    let first = keyed("first", "key", &[]);
    let mut nodes = stores(&["s1", "s2", "s3", "s4"], 1, &[OLD]);
    for name in OLD {
        node(&mut nodes, name).ask(append(1, &first));
    }
    node(&mut nodes, "s4").syncs_at_once = false;
    for node in &mut nodes {
        node.input(Input::Placement(placement(2, &[OLD, NEW])));
    }
    deliver(&mut nodes);
    let new = node(&mut nodes, "s4");
    assert!(new.copied.is_empty());
    new.files.fail_syncs(1);
    new.sync();
    assert!(new.copied.is_empty());
    for _ in 0..10 {
        deliver(&mut nodes);
        let new = node(&mut nodes, "s4");
        new.advance(SECOND / 2);
        new.sync();
    }
    let new = node(&mut nodes, "s4");
    assert_eq!(new.copied, [PlacementEpoch(2)]);
    new.files.lose_power(0);
    new.restart();
    new.input(Input::Placement(placement(2, &[OLD, NEW])));
    assert_eq!(new.open_names(2, "key"), [first.name]);
}

/// Guards against a lost end that a relay with an older placement sends only to the old stores, after a new store has
/// copied from them.
#[test]
fn late_facts_are_forwarded_to_new_stores() {
    let first = record("first");
    let mut nodes = stores(&["s1", "s2", "s3", "s4"], 1, &[OLD]);
    for name in OLD {
        node(&mut nodes, name).ask(append(1, &first));
    }
    for node in &mut nodes {
        node.input(Input::Placement(placement(2, &[OLD, NEW])));
    }
    deliver(&mut nodes);
    let facts = vec![Fact::Ended { name: first.name.clone(), end: completed("x") }];
    assert!(is_done(&node(&mut nodes, "s1").ask(StoreRequest::Settle { facts })));
    deliver(&mut nodes);
    assert_eq!(node(&mut nodes, "s4").look(&first.name), Some(Status::Ended(completed("x"))));
}

/// Guards against a source that answers a `Pull` before it knows the placement of the requesting store: writes to the
/// source under the older placement would then be missing from the copy.
#[test]
fn source_holds_pull_until_it_knows_the_placement() {
    let mut nodes = stores(&["s1"], 1, &[OLD]);
    let pull = StoreRequest::Pull {
        epoch: PlacementEpoch(2),
        partitions: (0..PARTITIONS).map(Partition).collect(),
        after: None,
    };
    let source = node(&mut nodes, "s1");
    let token = source.send(pull);
    let late = record("late");
    source.ask(append(1, &late));
    assert!(!source.answers.contains_key(&token));
    source.input(Input::Placement(placement(2, &[OLD, NEW])));
    match source.answers.remove(&token) {
        Some(StoreResponse::Contents { messages, is_last: true, .. }) => {
            assert_eq!(messages.len(), 1);
            assert_eq!(messages[0].record, Some(late.clone()));
        }
        other => panic!("{other:?}"),
    }
    assert!(
        !is_done(&source.ask(append(1, &record("later")))),
        "writes under the old placement no longer count"
    );
}

/// Guards against a second placement change that starts before the first has finished and treats incomplete stores as
/// complete.
#[test]
fn second_placement_change_during_copying() {
    const NEWEST: &[&str] = &["s1", "s4", "s5"];
    let first = keyed("first", "key", &[]);
    let mut nodes = stores(&["s1", "s2", "s3", "s4", "s5"], 1, &[OLD]);
    for name in ["s2", "s3"] {
        node(&mut nodes, name).ask(append(1, &first));
    }
    for node in &mut nodes {
        node.input(Input::Placement(placement(2, &[OLD, NEW])));
        node.pulls.clear();
        node.input(Input::Placement(placement(3, &[OLD, NEW, NEWEST])));
    }
    assert!(matches!(
        node(&mut nodes, "s4").ask(list_open(3, "key")),
        Some(StoreResponse::Declined { reason: Decline::NotInGroup, .. })
    ));
    deliver(&mut nodes);
    for name in ["s4", "s5"] {
        assert_eq!(node(&mut nodes, name).copied, [PlacementEpoch(3)], "{name}");
        assert_eq!(node(&mut nodes, name).open_names(3, "key"), std::slice::from_ref(&first.name));
    }
}

/// Guards against log cleaning that loses the `CopiedSet` entry, after which the store would stop answering.
#[test]
fn cleaning_keeps_the_copied_set_entry() {
    let mut nodes = stores(&["s1", "s2", "s3", "s4"], 2, &[OLD, NEW]);
    deliver(&mut nodes);
    let new = node(&mut nodes, "s4");
    assert_eq!(new.copied, [PlacementEpoch(2)]);
    new.settings.clean_above_bytes = 4_000;
    new.options.segment_bytes = 1_000;
    for number in 0..400 {
        let record = record(&format!("r{number}"));
        new.ask(append(2, &record));
        new.ask(ended(&record.name, completed("x")));
        new.advance(SECOND);
        if number % 50 == 0 {
            new.restart();
            new.input(Input::Placement(placement(2, &[OLD, NEW])));
            assert_eq!(new.copied, [PlacementEpoch(2)], "after {number}");
        }
    }
    assert!(new.files.content("segment-0000000000000001").is_none(), "the first segment was cleaned");
}

/// Guards against a store that treats itself as complete because it has copied the same set before: writes made while
/// that set was not in effect are missing.
#[test]
fn earlier_copy_of_the_same_set_does_not_count() {
    for is_restarted in [false, true] {
        let first = keyed("first", "key", &[]);
        let mut nodes = stores(&["s1", "s2", "s3", "s4"], 2, &[OLD, NEW]);
        deliver(&mut nodes);
        assert_eq!(node(&mut nodes, "s4").copied, [PlacementEpoch(2)]);
        for name in OLD {
            let node = node(&mut nodes, name);
            node.input(Input::Placement(placement(3, &[OLD])));
            node.ask(append(3, &first));
        }
        if is_restarted {
            node(&mut nodes, "s4").restart();
        }
        for node in &mut nodes {
            node.input(Input::Placement(placement(4, &[OLD, NEW])));
        }
        let new = node(&mut nodes, "s4");
        assert!(!matches!(new.ask(list_open(4, "key")), Some(StoreResponse::OpenMessages { .. })));
        deliver(&mut nodes);
        assert_eq!(node(&mut nodes, "s4").open_names(4, "key"), [first.name]);
    }
}

/// Guards against copying a set again when the next placement keeps it.
#[test]
fn copied_set_stays_complete_under_the_next_placement() {
    const NEWEST: &[&str] = &["s1", "s4", "s5"];
    let mut nodes = stores(&["s1", "s2", "s3", "s4"], 2, &[OLD, NEW]);
    deliver(&mut nodes);
    let new = node(&mut nodes, "s4");
    new.input(Input::Placement(placement(3, &[OLD, NEW, NEWEST])));
    assert_eq!(new.open_names(3, "key"), []);
    new.files.lose_power(0);
    new.restart();
    new.input(Input::Placement(placement(3, &[OLD, NEW, NEWEST])));
    assert_eq!(new.open_names(3, "key"), [], "also after a restart");
}

/// Guards against a copied record whose age restarts at zero: its message would be due, and would expire, too late.
#[test]
fn copied_record_keeps_its_age() {
    let mut nodes = stores(&["s1", "s2", "s3", "s4"], 1, &[OLD]);
    let before = placement(1, &[OLD]);
    let first = record("first");
    write(&mut nodes, &before, &first, 0);
    for node in &mut nodes {
        node.advance(60 * SECOND);
    }
    for node in &mut nodes {
        node.input(Input::Placement(placement(2, &[OLD, NEW])));
    }
    deliver(&mut nodes);
    let copy = node(&mut nodes, "s4");
    copy.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    copy.advance(SECOND);
    let offers = copy.take_offers();
    let ages: Vec<u64> = offers.iter().flat_map(|(_, messages)| messages.iter().map(|m| m.age_ms)).collect();
    assert!(!ages.is_empty());
    assert!(ages.iter().all(|age_ms| (60_000..62_000).contains(age_ms)), "{ages:?}");
    copy.files.lose_power(1);
    copy.restart();
    copy.input(Input::Placement(placement(2, &[OLD, NEW])));
    copy.input(Input::Members(members(&[relay("b", 1)], &[owner("a", 1)])));
    copy.advance(3 * SECOND);
    let offers = copy.take_offers();
    let mut ages = offers.iter().flat_map(|(_, messages)| messages.iter().map(|m| m.age_ms));
    assert!(ages.all(|age_ms| (60_000..66_000).contains(&age_ms)), "after a restart");
}
