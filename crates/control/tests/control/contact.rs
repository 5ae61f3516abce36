//! Machines that are cut off, slow or suspended: their answers, and whether they know that they lost contact.

use crate::simulation::checks::LEASE_DURATION;
use crate::simulation::cluster::{Cluster, MS, document};
use crate::{call, formed_cluster};
use pewterseam_control::{Contact, OperatorRequest, Outcome, Serving, Token};

/// The number of core members; two relays without a disk and three stores follow.
const CORE: usize = 3;
const NODES: usize = 8;

/// Which messages of a machine are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Both,
    Out,
    In,
}

/// Cuts links between a machine and others.
pub fn cut(cluster: &mut Cluster, node: usize, others: &[usize], direction: Direction) {
    for other in others.iter().copied().filter(|other| *other != node) {
        if direction != Direction::In {
            cluster.cuts.insert((node, other));
        }
        if direction != Direction::Out {
            cluster.cuts.insert((other, node));
        }
    }
}

/// The calls of two operators during a test: one changes the configuration on the side that has a majority, the other
/// one asks the machines that are cut off. Every answer is checked.
struct Traffic {
    version: u64,
    token: u64,
    /// The change that is not answered yet, and when it was sent.
    change: Option<(u64, u64, bytes::Bytes)>,
    /// Calls at machines that are cut off: the token, the newest acknowledged version when the call began, and the
    /// change's note.
    probes: Vec<(u64, u64, Option<String>)>,
    pub acknowledged: usize,
}

impl Traffic {
    fn new(version: u64) -> Self {
        Traffic { version, token: 1 << 40, change: None, probes: Vec::new(), acknowledged: 0 }
    }

    fn next_token(&mut self) -> u64 {
        self.token += 1;
        self.token
    }

    fn change(&mut self, cluster: &mut Cluster, relay: usize) {
        let token = self.next_token();
        let text = match &self.change {
            Some((_, _, text)) => text.clone(),
            None => document(self.version + 1, &format!("change {token}")),
        };
        self.change = Some((token, self.version, text.clone()));
        cluster.operator(relay, Token(token), OperatorRequest::put(self.version, text));
    }

    /// Reads and makes changes at a machine that is cut off, as an operator does who reaches only that machine.
    fn probe(&mut self, cluster: &mut Cluster, relay: usize) {
        let before = cluster.checks.newest_acknowledged();
        let (read, write) = (self.next_token(), self.next_token());
        cluster.operator(relay, Token(read), OperatorRequest::ReadConfig);
        self.probes.push((read, before, None));
        let note = format!("probe {write}");
        let text = document(before + 1, &note);
        cluster.operator(relay, Token(write), OperatorRequest::put(before, text));
        self.probes.push((write, before, Some(note)));
    }

    fn answers(&mut self, cluster: &mut Cluster) {
        for (_, token, outcome) in std::mem::take(&mut cluster.answers) {
            if self.change.as_ref().is_some_and(|(open, _, _)| *open == token.0) {
                self.change_answered(cluster, &outcome);
            } else if let Some(found) = self.probes.iter().position(|(open, _, _)| *open == token.0) {
                let (_, before, note) = self.probes.remove(found);
                self.probe_answered(cluster, before, note, &outcome);
            }
        }
    }

    fn change_answered(&mut self, cluster: &mut Cluster, outcome: &Outcome) {
        match outcome {
            Outcome::Accepted { version } => {
                let (_, based_on, text) = self.change.take().expect("under way");
                cluster.checks.acknowledged(based_on, *version, &text);
                self.version = *version;
                self.acknowledged += 1;
            }
            Outcome::Conflict { current } => {
                // A change by the other operator came first.
                self.change = None;
                self.version = *current;
            }
            _ => {}
        }
    }

    fn probe_answered(
        &mut self, cluster: &mut Cluster, before: u64, note: Option<String>, outcome: &Outcome,
    ) {
        match (note, outcome) {
            (Some(note), Outcome::Accepted { version }) => {
                let text = document(*version, &note);
                cluster.checks.acknowledged(before, *version, &text);
                self.acknowledged += 1;
            }
            (Some(note), Outcome::Conflict { .. } | Outcome::Invalid { .. }) => {
                cluster.checks.refused(note);
            }
            (None, Outcome::Config(config)) => cluster.checks.read(before, config.version),
            _ => {}
        }
    }
}

/// Runs the cluster with both operators. Relay `whole` gets the changes, and the machines in `probed` are asked every
/// half a second.
fn run_with_traffic(cluster: &mut Cluster, traffic: &mut Traffic, span: u64, whole: usize, probed: &[usize]) {
    let end = cluster.now + span;
    let mut step = 0;
    while cluster.now < end {
        if step % 5 == 0 {
            for node in probed {
                traffic.probe(cluster, *node);
            }
        }
        if step % 10 == 0 {
            traffic.change(cluster, whole);
        }
        step += 1;
        cluster.run((end - cluster.now).min(100 * MS));
        traffic.answers(cluster);
    }
}

fn contact(cluster: &Cluster, node: usize) -> Contact {
    cluster.control(node).expect("runs").contact(cluster.now)
}

fn has_contact(cluster: &Cluster, node: usize) -> bool {
    matches!(contact(cluster, node), Contact::InTouch { .. })
}

/// Runs until a machine is in contact. Returns how long that took.
fn run_until_in_contact(cluster: &mut Cluster, node: usize) -> u64 {
    let start = cluster.now;
    while !has_contact(cluster, node) {
        cluster.run(10 * MS);
        assert!(cluster.now < start + 10_000 * MS, "node {node} has no contact again");
    }
    cluster.now - start
}

/// Cuts machines off for a span, asks them continuously, and checks their answers and their state. Returns how long
/// the slowest one took to be in contact again.
fn cut_off(seed: u64, span: u64, direction: Direction, victims: impl Fn(&Cluster) -> Vec<usize>) -> u64 {
    let what = format!("seed {seed}, {span} us, {direction:?}");
    let mut cluster = formed_cluster(seed, 5, 2, 3);
    let everybody: Vec<usize> = (0..cluster.nodes.len()).collect();
    let accepted = call(&mut cluster, 5, 1, OperatorRequest::put(0, document(1, "first")));
    assert_eq!(accepted, Some(Outcome::Accepted { version: 1 }), "{what}");
    cluster.run(seed % 10 * 97 * MS);
    let victims = victims(&cluster);
    for victim in &victims {
        cut(&mut cluster, *victim, &everybody, direction);
    }
    let whole = everybody.iter().copied().find(|node| !victims.contains(node)).expect("one is left");
    let mut traffic = Traffic::new(1);
    run_with_traffic(&mut cluster, &mut traffic, span.min(LEASE_DURATION + 200 * MS), whole, &victims);
    if span > LEASE_DURATION {
        for victim in &victims {
            assert!(!has_contact(&cluster, *victim), "{what}: node {victim} believes that it has contact");
            let leads = cluster.control(*victim).is_some_and(|control| control.is_leader());
            assert!(!leads, "{what}: node {victim} still leads");
        }
        run_with_traffic(&mut cluster, &mut traffic, span - LEASE_DURATION - 200 * MS, whole, &victims);
        for victim in &victims {
            let Contact::LostSince(since) = contact(&cluster, *victim) else {
                panic!("{what}: node {victim} found contact")
            };
            assert!(since <= cluster.now - span, "{what}: node {victim} had contact");
        }
    }
    for node in everybody.iter().filter(|node| !victims.contains(node)) {
        assert!(has_contact(&cluster, *node), "{what}: node {node} was not cut off");
    }
    cluster.heal();
    let newest = cluster.checks.newest_acknowledged();
    let mut slowest = 0;
    for victim in &victims {
        slowest = slowest.max(run_until_in_contact(&mut cluster, *victim));
        let version = cluster.control(*victim).expect("runs").state().config.version;
        let needed = if span > LEASE_DURATION { newest } else { 1 };
        assert!(version >= needed, "{what}: node {victim} has contact without the newest configuration");
    }
    run_with_traffic(&mut cluster, &mut traffic, 3_000 * MS, whole, &victims);
    assert!(traffic.acknowledged as u64 >= span / (2_000 * MS), "{what}: {} changes", traffic.acknowledged);
    cluster.checks.finish();
    assert_eq!(cluster.checks.violations, Vec::<String>::new(), "{what}");
    slowest
}

const SPANS: [u64; 3] = [5_000 * MS, 20_000 * MS, 60_000 * MS];
const DIRECTIONS: [Direction; 3] = [Direction::Both, Direction::Out, Direction::In];

/// Runs each combination of span and direction with some seeds.
fn check_cuts(name: &str, victims: impl Fn(&Cluster) -> Vec<usize>) {
    let mut slowest = 0;
    for span in SPANS {
        for direction in DIRECTIONS {
            for seed in 0..10 {
                slowest = slowest.max(cut_off(seed, span, direction, &victims));
            }
        }
    }
    println!("{name}: in contact again within {} ms", slowest / MS);
    assert!(slowest < 3_000 * MS, "{name}: {} ms", slowest / MS);
}

/// Guards against a relay outside the core that takes an old configuration for the newest one.
#[test]
fn an_isolated_relay_knows_that_it_lost_contact() {
    check_cuts("a relay outside the core", |_| vec![5]);
}

/// Guards against a core member that answers, rejects or acknowledges without a majority.
#[test]
fn an_isolated_core_member_gives_no_answers() {
    check_cuts("a core member", |cluster| vec![(cluster.leader().expect("leads") + 1) % 5]);
}

/// Guards against a leader that continues without its followers.
#[test]
fn an_isolated_leader_gives_no_answers() {
    check_cuts("a leader", |cluster| vec![cluster.leader().expect("leads")]);
}

/// Guards against two members that are cut off together, one of them the leader, and answer without a majority.
#[test]
fn two_isolated_members_give_no_answers() {
    check_cuts("a leader and another member", |cluster| {
        let leader = cluster.leader().expect("leads");
        vec![leader, (leader + 2) % 5]
    });
}

/// Guards against wrong answers of a leader that is cut off from its followers but not from operators, relays and
/// stores, and of one in the reverse situation.
#[test]
fn a_leader_cut_from_one_side_only() {
    for seed in 0..20 {
        let mut cluster = formed_cluster(seed, CORE, 2, 3);
        call(&mut cluster, 3, 1, OperatorRequest::put(0, document(1, "first")));
        let leader = cluster.leader().expect("leads");
        let followers: Vec<usize> = (0..CORE).filter(|node| *node != leader).collect();
        let others: Vec<usize> = (CORE..NODES).collect();
        cut(&mut cluster, leader, &followers, Direction::Both);
        let mut traffic = Traffic::new(1);
        run_with_traffic(&mut cluster, &mut traffic, 20_000 * MS, followers[0], &[leader, 3]);
        assert!(!has_contact(&cluster, leader), "seed {seed}");
        assert!(has_contact(&cluster, 3), "seed {seed}: a relay finds the new leader");
        cluster.heal();
        run_until_in_contact(&mut cluster, leader);
        // Now the core is connected, and the other nodes cannot reach its leader.
        cluster.run(2_000 * MS);
        let leader = cluster.leader().expect("leads");
        cut(&mut cluster, leader, &others, Direction::Both);
        run_with_traffic(&mut cluster, &mut traffic, 20_000 * MS, leader, &[3]);
        assert!(has_contact(&cluster, leader), "seed {seed}");
        cluster.heal();
        run_until_in_contact(&mut cluster, 3);
        run_with_traffic(&mut cluster, &mut traffic, 2_000 * MS, 3, &[leader]);
        cluster.checks.finish();
        assert_eq!(cluster.checks.violations, Vec::<String>::new(), "seed {seed}");
        assert!(traffic.acknowledged > 20, "seed {seed}: {} changes", traffic.acknowledged);
    }
}

/// Guards against a loss of contact during an ordinary change of the leader.
#[test]
fn a_change_of_leader_keeps_contact() {
    for seed in 0..100 {
        let mut cluster = formed_cluster(seed, 4, 2, 3);
        cluster.run(1_500 * MS + seed * 31 * MS);
        let leader = cluster.leader().expect("leads");
        cluster.kill(leader);
        cluster.run(8_000 * MS);
        assert_eq!(cluster.checks.contact_losses, 0, "seed {seed}");
    }
}

/// Guards against repeated losses of contact on slow or lossy links.
#[test]
fn slow_and_lossy_links_keep_contact() {
    let mut contact_losses = 0;
    for seed in 0..40 {
        let mut cluster = formed_cluster(seed, CORE, 2, 3);
        call(&mut cluster, 3, 1, OperatorRequest::put(0, document(1, "first")));
        cluster.drop_percent = 5;
        let slow = cluster.random.below(NODES);
        for other in 0..NODES {
            cluster.slow.insert((slow, other), 150 * MS);
            cluster.slow.insert((other, slow), 150 * MS);
        }
        let mut traffic = Traffic::new(1);
        run_with_traffic(&mut cluster, &mut traffic, 60_000 * MS, (slow + 1) % NODES, &[slow]);
        contact_losses += cluster.checks.contact_losses;
        cluster.checks.finish();
        assert_eq!(cluster.checks.violations, Vec::<String>::new(), "seed {seed}");
        assert!(traffic.acknowledged > 20, "seed {seed}: {} changes", traffic.acknowledged);
    }
    println!("{contact_losses} losses of contact in 40 minutes of 8 machines at 5 % loss");
    assert!(contact_losses <= 8, "{contact_losses} losses of contact");
}

/// Guards against a process that was suspended and takes an expired lease, or an answer that arrived meanwhile, for
/// current.
#[test]
fn a_suspended_process_has_lost_contact() {
    for seed in 0..60 {
        let mut cluster = formed_cluster(seed, CORE, 2, 3);
        call(&mut cluster, 3, 1, OperatorRequest::put(0, document(1, "first")));
        let leader = cluster.leader().expect("leads");
        let frozen = [leader, (leader + 1) % CORE, 3][(seed % 3) as usize];
        // The moment is random, so that a lease request or its answer is under way in some runs.
        cluster.run(1_000 * MS + seed * 17 * MS);
        cluster.freeze(frozen, 12_000 * MS);
        let mut traffic = Traffic::new(1);
        let whole = if frozen == 3 { 4 } else { 3 };
        run_with_traffic(&mut cluster, &mut traffic, 11_990 * MS, whole, &[]);
        let newest = cluster.checks.newest_acknowledged();
        assert!(newest > 5, "seed {seed}: {newest}");
        // The process is asked before its timers have run.
        assert!(!has_contact(&cluster, frozen), "seed {seed}");
        cluster.nodes[frozen].frozen = false;
        traffic.probe(&mut cluster, frozen);
        cluster.nodes[frozen].frozen = true;
        assert!(!has_contact(&cluster, frozen), "seed {seed}");
        run_with_traffic(&mut cluster, &mut traffic, 20 * MS, whole, &[]);
        let version = cluster.control(frozen).expect("runs").state().config.version;
        assert!(!has_contact(&cluster, frozen) || version >= newest, "seed {seed}: version {version}");
        run_with_traffic(&mut cluster, &mut traffic, 4_000 * MS, whole, &[frozen]);
        assert!(has_contact(&cluster, frozen), "seed {seed}");
        cluster.checks.finish();
        assert_eq!(cluster.checks.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a relay that serves clients while it is cut off or behind, and against a core outage that stops all
/// service.
#[test]
fn readiness_follows_contact() {
    let span = 4_000 * MS;
    let in_touch = |until| Contact::InTouch { until };
    let mut serving = Serving::default();
    assert_eq!(serving.until(0, Contact::LostSince(0), 5, span), None, "it has known nothing yet");
    assert_eq!(serving.until(10, Contact::CatchingUp, 5, span), None);
    assert_eq!(serving.until(20, in_touch(6_000), 5, span), Some(6_000));
    assert_eq!(serving.until(7_000, Contact::LostSince(20), 3, span), Some(7_000 + span), "the core is out");
    assert_eq!(serving.until(8_000, Contact::LostSince(20), 2, span), None, "it is cut off");
    assert_eq!(serving.until(9_000, Contact::LostSince(20), 5, span), None, "it has not caught up");
    assert_eq!(serving.until(9_500, Contact::CatchingUp, 5, span), None);
    assert_eq!(serving.until(9_900, in_touch(15_000), 5, span), Some(15_000));
}
