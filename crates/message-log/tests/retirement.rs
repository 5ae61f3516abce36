//! Retirement of stores: before the old set is dropped, each record must be on `f + 1` of the target stores, whichever
//! stores leave and join.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use common::*;
use pewterseam_message_log::Input;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::{Placement, PlacementEpoch, StoreEntry};
use pewterseam_wire::random::Random;
use pewterseam_wire::record::Record;
use pewterseam_wire::store::Status;

/// `f`.
const TOLERATED: u16 = 1;

const RECORDS: usize = 60;

const SEEDS: u64 = 60;

/// Which stores must have finished copying before the old set is dropped.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CopyRequirement {
    All,
    /// A deliberate fault: `f` of the stores may be missing.
    AllButTolerated,
}

fn entry(number: usize) -> StoreEntry {
    let name = format!("s{number}");
    StoreEntry { id: store_id(&name), zone: Arc::from(format!("zone {}", number % 3)) }
}

fn placement_of(epoch: u64, sets: Vec<Vec<StoreEntry>>) -> Arc<Placement> {
    Arc::new(Placement { epoch: PlacementEpoch(epoch), tolerated: TOLERATED, sets, ..Placement::default() })
}

fn node<'a>(nodes: &'a mut [Node], name: &NodeName) -> &'a mut Node {
    nodes.iter_mut().find(|node| node.id().name == *name).expect("a store")
}

/// A move in which some stores leave and others join, with one process killed in the middle of it.
struct Move {
    random: Random,
    nodes: Vec<Node>,
    current: Vec<StoreEntry>,
    target: Vec<StoreEntry>,
    records: Vec<Record>,
}

impl Move {
    fn new(seed: u64) -> Self {
        let mut random = Random::new(seed);
        let count = 3 + random.below(4);
        let leaving = 1 + random.below(2);
        let joining = leaving + random.below(2);
        let current: Vec<StoreEntry> = (0..count).map(entry).collect();
        let target: Vec<StoreEntry> = (leaving..count + joining).map(entry).collect();
        let nodes = (0..count + joining).map(|number| Node::new(settings(&format!("s{number}")))).collect();
        let records = (0..RECORDS).map(|number| keyed(&format!("r{number}"), &format!("key {number}"), &[]));
        Move { random, nodes, current, target, records: records.collect() }
    }

    fn set_placement(&mut self, epoch: u64, sets: Vec<Vec<StoreEntry>>) {
        let placement = placement_of(epoch, sets);
        for node in &mut self.nodes {
            node.input(Input::Placement(placement.clone()));
        }
    }

    /// Writes each record to exactly `f + 1` randomly chosen stores of its group.
    fn write(&mut self) {
        let placement = placement_of(1, vec![self.current.clone()]);
        for record in &self.records {
            let group = placement.groups(record.partition).remove(0);
            let skipped = self.random.below(group.stores.len());
            let holders = group.stores.iter().enumerate().filter(|(number, _)| *number != skipped);
            for (_, store) in holders.take(group.write_quorum()) {
                assert!(is_done(&node(&mut self.nodes, &store.name).ask(append(1, record))));
            }
        }
    }

    /// Starts the move and delivers all requests. A random target store is killed during its copying and restarted, unless
    /// a store is down.
    fn copy(&mut self, down: Option<&NodeName>) {
        let sets = vec![self.current.clone(), self.target.clone()];
        let victim = self.target[self.random.below(self.target.len())].id.name.clone();
        self.set_placement(2, sets.clone());
        if let Some(down) = down {
            node(&mut self.nodes, down).pulls.clear();
        } else {
            let victim = node(&mut self.nodes, &victim);
            victim.files.lose_power(1);
            victim.restart();
            victim.input(Input::Placement(placement_of(2, sets)));
        }
        deliver(&mut self.nodes);
    }

    fn have_copied(&self, down: Option<&NodeName>) -> bool {
        let copied = |entry: &StoreEntry| {
            let mut nodes = self.nodes.iter();
            nodes.any(|node| node.id() == entry.id && node.copied == [PlacementEpoch(2)])
        };
        self.target.iter().all(|entry| Some(&entry.id.name) == down || copied(entry))
    }

    /// Drops the old set and returns the smallest number of copies of any record in its target group.
    fn fewest_copies(&mut self) -> usize {
        let placement = placement_of(3, vec![self.target.clone()]);
        self.set_placement(3, vec![self.target.clone()]);
        let mut fewest = usize::MAX;
        for record in &self.records {
            let group = placement.groups(record.partition).remove(0);
            let holders: BTreeSet<NodeName> = group
                .stores
                .iter()
                .map(|store| store.name.clone())
                .filter(|name| {
                    let status = node(&mut self.nodes, name).look(&record.name);
                    status.is_some_and(|status| status != Status::Unknown)
                })
                .collect();
            fewest = fewest.min(holders.len());
        }
        fewest
    }
}

/// Runs a move and returns the smallest number of copies of any record after the old set is dropped.
fn retire(seed: u64, requirement: CopyRequirement) -> usize {
    let mut moving = Move::new(seed);
    moving.set_placement(1, vec![moving.current.clone()]);
    moving.write();
    let joining_store = moving.target.last().map(|entry| entry.id.name.clone());
    let down = joining_store.filter(|_| requirement == CopyRequirement::AllButTolerated);
    moving.copy(down.as_ref());
    assert!(moving.have_copied(down.as_ref()), "seed {seed}: copying does not finish");
    moving.fewest_copies()
}

/// Guards against a record that is on fewer than `f + 1` stores after the retired stores are gone.
#[test]
fn each_record_has_enough_copies_once_all_stores_have_copied() {
    for seed in 0..SEEDS {
        let fewest = retire(seed, CopyRequirement::All);
        assert!(fewest > usize::from(TOLERATED), "seed {seed}: a record has {fewest} copies");
    }
}

/// Guards against a test that detects nothing: if `f` of the target stores need not have finished copying, some records
/// must end up with fewer copies than a read quorum is certain to reach.
#[test]
fn move_that_does_not_wait_for_all_stores_is_detected() {
    let seeds_with_too_few =
        (0..SEEDS).filter(|seed| retire(*seed, CopyRequirement::AllButTolerated) <= usize::from(TOLERATED));
    let seeds_with_too_few: Vec<u64> = seeds_with_too_few.collect();
    println!(
        "too few copies in {} of {SEEDS} seeds, the first is {:?}",
        seeds_with_too_few.len(),
        seeds_with_too_few.first()
    );
    assert!(seeds_with_too_few.len() as u64 > SEEDS / 2);
}
