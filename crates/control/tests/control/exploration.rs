//! The control log in the small, explored: every sequence of a few disturbances, over the real state machines.
//!
//! A branch is a copy of the whole simulated cluster. After each disturbance only a little time passes, so that the next
//! one comes while messages and syncs of the last are under way. At the end of a branch all is healed, and what must hold
//! is checked. Branches that lead to the same state of the log by the same means are followed once.

use std::collections::BTreeSet;

use crate::formed;
use crate::simulation::cluster::{Cluster, DiskTrouble, MS, document};
use crate::simulation::history::{Action, Operation, Told, check};
use pewterseam_control::{OperatorRequest, Outcome, Token};

/// Messages take up to 4.5 ms and syncs up to 3.5 ms: an early, a middle and a late moment of what a change needs.
const EARLY: u64 = 2 * MS;
const MIDDLE: u64 = 6 * MS;
const LATE: u64 = 11 * MS;
/// A change is through, if nothing keeps it.
const THROUGH: u64 = 40 * MS;
/// Members elect a leader.
const ELECTION: u64 = 2_600 * MS;
/// After the last disturbance all settles in this.
const SETTLE: u64 = 7_000 * MS;
/// Branches are shared out among so many threads.
const THREADS: usize = 3;

/// What may happen. `L` is the leader before the first disturbance, and the other members follow it in the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Disturbance {
    /// The first operator's change, on the version before all, at the leader; it is halfway through.
    OrderAtLeader,
    /// The second operator's, on the same version, at the next member.
    OrderAtNext,
    /// The first operator's change once more, unchanged, at the last member.
    Resend,
    /// The leader reaches the next member alone.
    LeaderSeesOne,
    /// The leader reaches nobody.
    LeaderAlone,
    /// The next member's messages are lost, and it hears all.
    NextIsMute,
    HealLinks,
    LeaderLosesPower,
    NextLosesPower,
    AllLosePower,
    NextLosesDisk,
    LeaderStandsStill,
    LeaderDiskStalls,
    LeaderDiskRecovers,
    TimeForElection,
}

use Disturbance::*;

const ALL: [Disturbance; 15] = [
    OrderAtLeader,
    OrderAtNext,
    Resend,
    LeaderSeesOne,
    LeaderAlone,
    NextIsMute,
    HealLinks,
    LeaderLosesPower,
    NextLosesPower,
    AllLosePower,
    NextLosesDisk,
    LeaderStandsStill,
    LeaderDiskStalls,
    LeaderDiskRecovers,
    TimeForElection,
];

/// One branch: the cluster, what has happened in it, and what the operators saw.
#[derive(Clone)]
struct Branch {
    cluster: Cluster,
    core: usize,
    leader: usize,
    /// The pause after a disturbance.
    pause: u64,
    path: Vec<Disturbance>,
    /// The calls of the operators, by token.
    calls: Vec<(u64, Operation)>,
}

/// Tokens of the operators' calls.
const FIRST: u64 = 10;
const SECOND: u64 = 11;
const AGAIN: u64 = 12;
const READ: u64 = 20;

fn order(token: u64) -> bytes::Bytes {
    document(2, if token == SECOND { "the second operator's" } else { "the first operator's" })
}

impl Branch {
    fn root(seed: u64, core: usize, pause: u64) -> Self {
        let mut cluster = formed(seed, core, 1, 3);
        cluster.operator(core, Token(1), OperatorRequest::put(0, document(1, "before")));
        cluster.run(1_000 * MS);
        let accepted = cluster.answers.iter().any(|(_, _, told)| *told == Outcome::Accepted { version: 1 });
        assert!(accepted, "the first configuration is in force");
        cluster.answers.clear();
        let leader = cluster.leader().expect("leads");
        Branch { cluster, core, leader, pause, path: Vec::new(), calls: Vec::new() }
    }

    fn member(&self, after_leader: usize) -> usize {
        (self.leader + after_leader) % self.core
    }

    fn cut(&mut self, from: usize, to: usize) {
        if from != to {
            self.cluster.cuts.insert((from, to));
        }
    }

    fn cut_leader(&mut self, seen: &[usize]) {
        let leader = self.leader;
        for node in (0..self.cluster.nodes.len()).filter(|node| !seen.contains(node)) {
            self.cut(leader, node);
            self.cut(node, leader);
        }
    }

    fn call(&mut self, token: u64, node: usize) {
        let action = Action::Change { order: (1, order(token).to_vec()), version: 2 };
        let called_at = self.cluster.now;
        let request = OperatorRequest::put(1, order(token));
        if self.cluster.operator(node, Token(token), request) {
            let told = Told::Nothing;
            self.calls.push((token, Operation { called_at, answered_at: u64::MAX, action, told }));
        }
    }

    /// Whether something may come next. Each comes once, and only where it changes something.
    fn allows(&self, next: Disturbance) -> bool {
        let has = |what: Disturbance| self.path.contains(&what);
        match next {
            TimeForElection => self.path.last() != Some(&TimeForElection),
            Resend => has(OrderAtLeader) && !has(Resend),
            HealLinks => !self.cluster.cuts.is_empty(),
            LeaderDiskRecovers => has(LeaderDiskStalls) && !has(LeaderDiskRecovers),
            // A disk that is lost while another machine is down is more than the core is to bear.
            NextLosesDisk => !has(NextLosesDisk) && !has(AllLosePower) && !has(LeaderLosesPower),
            AllLosePower | LeaderLosesPower => !has(next) && !has(NextLosesDisk),
            _ => !has(next),
        }
    }

    fn disturb(&mut self, disturbance: Disturbance) {
        let (leader, next, last) = (self.leader, self.member(1), self.member(2));
        self.path.push(disturbance);
        let mut pause = self.pause;
        match disturbance {
            OrderAtLeader => self.call(FIRST, leader),
            OrderAtNext => self.call(SECOND, next),
            Resend => {
                self.call(AGAIN, last);
                pause = THROUGH;
            }
            LeaderSeesOne => self.cut_leader(&[next]),
            LeaderAlone => self.cut_leader(&[]),
            NextIsMute => (0..self.cluster.nodes.len()).for_each(|node| self.cut(next, node)),
            HealLinks => self.cluster.cuts.clear(),
            LeaderLosesPower => self.lose_power(leader),
            NextLosesPower => self.lose_power(next),
            AllLosePower => (0..self.core).for_each(|node| self.lose_power(node)),
            NextLosesDisk => {
                self.cluster.lose_disk(next);
                self.cluster.start_after(next, 300 * MS);
            }
            LeaderStandsStill => self.cluster.freeze(leader, 2_300 * MS),
            LeaderDiskStalls => {
                self.cluster.disks.insert(leader, DiskTrouble::Stalled);
            }
            LeaderDiskRecovers => self.cluster.disks.clear(),
            TimeForElection => pause = ELECTION,
        }
        self.cluster.run(pause);
        self.note_answers();
    }

    fn lose_power(&mut self, node: usize) {
        if self.cluster.control(node).is_some() {
            self.cluster.nodes[node].disk.lose_power(0);
            self.cluster.kill(node);
            self.cluster.start_after(node, 50 * MS);
        }
    }

    fn note_answers(&mut self) {
        for (_, token, outcome) in std::mem::take(&mut self.cluster.answers) {
            let told = match outcome {
                Outcome::Accepted { .. } => Told::Accepted,
                Outcome::Conflict { .. } | Outcome::Invalid { .. } => Told::Refused,
                _ => continue,
            };
            if let Some((_, call)) = self.calls.iter_mut().find(|(called, _)| *called == token.0) {
                call.told = told;
                call.answered_at = self.cluster.now;
            }
        }
    }

    /// What two branches share if one of them need not be followed.
    fn state(&self) -> String {
        let mut seen = self.path.clone();
        seen.sort_unstable();
        let members: Vec<String> = (0..self.core)
            .map(|node| {
                let log = self.cluster.nodes[node].disk.log();
                let control = self.cluster.control(node);
                let known = control.map(|control| (control.index(), control.is_leader()));
                format!("{:?} {:?} {:?}", log, known, self.cluster.disks.get(&node))
            })
            .collect();
        let told: Vec<&Told> = self.calls.iter().map(|(_, call)| &call.told).collect();
        format!("{seen:?} {:?} {members:?} {told:?} {}", self.cluster.cuts, self.cluster.now / ELECTION)
    }

    /// All is healed: the core comes back, takes a change, and nothing that was seen contradicts anything else.
    fn conclude(mut self) -> Vec<String> {
        self.cluster.heal();
        self.cluster.run(SETTLE);
        self.note_answers();
        let asked = self.cluster.now;
        self.cluster.operator(self.core, Token(READ), OperatorRequest::ReadConfig);
        self.cluster.run(1_000 * MS);
        let read = self.cluster.answers.drain(..).find_map(|(_, _, outcome)| match outcome {
            Outcome::Config(config) => Some(config.version),
            _ => None,
        });
        let mut broken = Vec::new();
        match read {
            Some(version) => {
                let (action, told) = (Action::Read, Told::Version(version));
                let read = Operation { called_at: asked, answered_at: self.cluster.now, action, told };
                self.calls.push((READ, read));
            }
            None => broken.push("the core does not answer after all was healed".to_owned()),
        }
        // The first configuration was there before all.
        let before = Operation {
            called_at: 0,
            answered_at: 1,
            action: Action::Change { order: (0, Vec::new()), version: 1 },
            told: Told::Accepted,
        };
        let mut operators: Vec<Vec<Operation>> = vec![vec![before]];
        operators.extend(self.calls.iter().map(|(_, call)| vec![call.clone()]));
        broken.extend(check(&operators).err().map(|found| format!("{found:?}")));
        self.cluster.checks.finish();
        broken.append(&mut self.cluster.checks.broken);
        broken.into_iter().map(|line| format!("{:?}: {line}", self.path)).collect()
    }
}

/// What an exploration found.
#[derive(Default)]
struct Explored {
    branches: usize,
    ends: usize,
    broken: Vec<String>,
}

fn explore(branch: &Branch, depth: usize, seen: &mut BTreeSet<String>, explored: &mut Explored) {
    explored.branches += 1;
    if depth == 0 {
        explored.ends += 1;
        explored.broken.extend(branch.clone().conclude());
        return;
    }
    for disturbance in ALL.into_iter().filter(|next| branch.allows(*next)) {
        let mut next = branch.clone();
        next.disturb(disturbance);
        if seen.insert(next.state()) {
            explore(&next, depth - 1, seen, explored);
        }
    }
}

/// Follows all sequences of so many disturbances, so far apart, in a core of this size.
fn explore_all(core: usize, depth: usize, pause: u64) {
    let root = Branch::root(number("CONTROL_SEED", 7), core, pause);
    let explore_part = |thread: usize| {
        let (mut explored, mut seen) = (Explored::default(), BTreeSet::new());
        for first in ALL.into_iter().skip(thread).step_by(THREADS).filter(|first| root.allows(*first)) {
            let mut branch = root.clone();
            branch.disturb(first);
            explore(&branch, depth - 1, &mut seen, &mut explored);
        }
        explored
    };
    let mut all = Explored::default();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|thread| scope.spawn(move || explore_part(thread))).collect();
        for thread in threads {
            let part = thread.join().expect("it ends");
            all.branches += part.branches;
            all.ends += part.ends;
            all.broken.extend(part.broken);
        }
    });
    println!(
        "core of {core}, {depth} disturbances {pause} us apart: {} branches, {} ends, {} lines broken",
        all.branches,
        all.ends,
        all.broken.len()
    );
    for line in all.broken.iter().take(10) {
        println!("{line}");
    }
    assert!(all.broken.is_empty());
}

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn depth(default: u64) -> usize {
    number("CONTROL_DEPTH", default) as usize
}

/// Guards against what no single trouble and no chance brings about, in a core of three.
#[test]
fn all_sequences_of_disturbances_in_a_core_of_three() {
    explore_all(3, depth(5), MIDDLE);
}

/// Guards against the same at other moments of a change.
#[test]
fn all_sequences_of_early_and_late_disturbances() {
    explore_all(3, depth(4), EARLY);
    explore_all(3, depth(4), LATE);
}

/// Guards against the same in a core of four, where a majority is three.
#[test]
fn all_sequences_of_disturbances_in_a_core_of_four() {
    explore_all(4, depth(4), MIDDLE);
}
