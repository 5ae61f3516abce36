//! Changes of the placement: what a store copies, from whom, and from when on it counts.

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

/// Appends to the first stores of the partition's group that make a write durable, and returns who has it.
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

/// Guards against a change after which a message is on fewer than f+1 of the stores that remain, or its end or
/// owner is known to fewer.
#[test]
fn a_change_leaves_enough_copies() {
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

/// Guards against a store that answers for what it has not copied yet, and against one that refuses to take new
/// records meanwhile.
#[test]
fn a_new_store_counts_only_when_it_has_copied() {
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

/// Guards against a copy that counts as read although only f stores of a group have answered, and against one that
/// waits for ever for a store that is gone.
#[test]
fn a_read_needs_all_but_f() {
    let first = keyed("first", "key", &[]);
    for gone in OLD {
        let mut nodes = stores(&["s1", "s2", "s3", "s4"], 1, &[OLD]);
        for holder in OLD.iter().filter(|name| *name != gone).take(1) {
            node(&mut nodes, holder).ask(append(1, &first));
        }
        for node in &mut nodes {
            node.input(Input::Placement(placement(2, &[OLD, NEW])));
        }
        let other = OLD.iter().find(|name| *name != gone).copied().unwrap_or_default();
        let (mut with_both, mut held) = (Vec::new(), Vec::new());
        for node in nodes {
            if node.id() == store_id(gone) || node.id() == store_id(other) {
                held.push(node);
            } else {
                with_both.push(node);
            }
        }
        deliver(&mut with_both);
        for _ in 0..20 {
            node(&mut with_both, "s4").advance(SECOND / 2);
            deliver(&mut with_both);
        }
        assert!(node(&mut with_both, "s4").copied.is_empty(), "only one of three has answered");
        with_both.extend(held.into_iter().filter(|node| node.id() == store_id(other)));
        for _ in 0..20 {
            node(&mut with_both, "s4").advance(SECOND / 2);
            deliver(&mut with_both);
        }
        let new = node(&mut with_both, "s4");
        assert_eq!(new.copied, [PlacementEpoch(2)], "without {gone}");
        assert_eq!(new.open_names(2, "key"), std::slice::from_ref(&first.name), "without {gone}");
    }
}

/// Guards against a dead store in a group that holds the copying up, where membership knows that it is dead.
#[test]
fn live_stores_are_asked_first() {
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

/// Guards against pieces of any size, and against a store that is asked for several at a time.
#[test]
fn copies_go_in_pieces() {
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
    let mut pieces: BTreeMap<_, usize> = BTreeMap::new();
    loop {
        let new = node(&mut nodes, "s4");
        let asked: BTreeSet<_> = new.pulls.iter().map(|(to, ..)| to.clone()).collect();
        assert_eq!(asked.len(), new.pulls.len(), "one piece of each store at a time");
        let Some((to, token, request)) = new.pulls.pop_front() else { break };
        let response = node(&mut nodes, &to.name.0).ask(request);
        if let Some(StoreResponse::Contents { messages, .. }) = &response {
            let bytes: usize = messages
                .iter()
                .filter_map(|message| message.record.as_ref())
                .map(|record| record.body.len())
                .sum();
            assert!(bytes <= 256 * 1024 + 20_000, "{bytes}");
            *pieces.entry(to).or_default() += 1;
        }
        node(&mut nodes, "s4").input(Input::PullAnswered { token, response });
    }
    assert_eq!(node(&mut nodes, "s4").copied, [PlacementEpoch(2)]);
    assert!(pieces.values().all(|count| *count > 5), "{pieces:?}");
}

/// Guards against a copy that is told as done before it is on the disk, or after part of it was refused by the disk.
#[test]
fn copied_means_synced() {
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

/// Guards against an end that a relay with an older placement tells only the old stores, after a new one has copied
/// from them.
#[test]
fn late_facts_are_passed_on() {
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

/// Guards against a source that hands out what it knows before it has the asker's placement: what is written to it
/// under the older one would be missed.
#[test]
fn a_source_waits_for_the_placement() {
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
    assert!(!is_done(&source.ask(append(1, &record("later")))), "nothing counts under the old one any more");
}

/// Guards against a second change that begins before the first has ended and takes stores for complete that are not.
#[test]
fn a_change_on_top_of_a_change() {
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

/// Guards against a store that forgets, when its log is cleaned, that it has copied, and stops answering.
#[test]
fn cleaning_keeps_the_note_of_a_copy() {
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

/// Guards against a store that takes itself for complete because it copied the same set once before: what was written
/// while that set was out of force is missing.
#[test]
fn an_earlier_copy_of_the_same_set_does_not_count() {
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

/// Guards against a copy that is done again when the next placement keeps its set.
#[test]
fn a_copy_counts_on_under_the_next_placement() {
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

/// Guards against a copy that counts as young as its store is new: its message would be due, and over, that much too late.
#[test]
fn a_copy_is_as_old_as_its_source() {
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
