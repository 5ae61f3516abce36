//! Exhaustive exploration of the control log at a small scale: every sequence of a few faults and actions, with the
//! real state machines.
//!
//! A branch is a copy of the complete simulated cluster. After each step only a short time passes, so that the next
//! one happens while messages and syncs of the last are under way. At the end of a branch all faults are ended and the
//! invariants are checked. Of several branches that reach the same state of the log by the same set of steps, only one
//! is followed.

use std::collections::BTreeSet;

use crate::formed_cluster;
use crate::simulation::cluster::{Cluster, DiskFault, MS, document};
use crate::simulation::history::{Action, Answer, Operation, check};
use pewterseam_control::{OperatorRequest, Outcome, Token};

/// The pauses between steps. Messages take up to 4.5 ms and syncs up to 3.5 ms, so these are an early, a middle and a
/// late moment of a change.
const EARLY: u64 = 2 * MS;
const MIDDLE: u64 = 6 * MS;
const LATE: u64 = 11 * MS;
/// The time after which a change is complete, unless a fault prevents it.
const CHANGE_COMPLETE: u64 = 40 * MS;
/// The time in which the members elect a leader.
const ELECTION: u64 = 2_600 * MS;
/// The time in which the cluster recovers after the last step.
const SETTLE: u64 = 7_000 * MS;
/// The number of threads that share the branches.
const THREADS: usize = 3;

/// A step of a branch. The leader is the one before the first step; the other members follow it in ring order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// The first operator sends a change based on the first version to the leader; the change is halfway through when
    /// the next step follows.
    OrderAtLeader,
    /// The second operator sends a change based on the same version to the next member.
    OrderAtNext,
    /// The first operator sends its unchanged order again, to the last member.
    Resend,
    /// The leader is cut off from all nodes but the next member.
    LeaderReachesOne,
    /// The leader is cut off from all nodes.
    LeaderAlone,
    /// All messages from the next member are lost, but it receives those of others.
    NextIsMute,
    HealLinks,
    LeaderLosesPower,
    NextLosesPower,
    AllLosePower,
    NextLosesDisk,
    LeaderIsSuspended,
    LeaderDiskStalls,
    LeaderDiskRecovers,
    ElectionTimePasses,
}

use Step::*;

const ALL_STEPS: [Step; 15] = [
    OrderAtLeader,
    OrderAtNext,
    Resend,
    LeaderReachesOne,
    LeaderAlone,
    NextIsMute,
    HealLinks,
    LeaderLosesPower,
    NextLosesPower,
    AllLosePower,
    NextLosesDisk,
    LeaderIsSuspended,
    LeaderDiskStalls,
    LeaderDiskRecovers,
    ElectionTimePasses,
];

/// One branch: the cluster, the steps so far, and the operators' calls.
#[derive(Clone)]
struct Branch {
    cluster: Cluster,
    core: usize,
    leader: usize,
    /// The pause after a step.
    pause: u64,
    path: Vec<Step>,
    /// The operators' calls, by token.
    calls: Vec<(u64, Operation)>,
}

/// The tokens of the operators' calls.
const FIRST: u64 = 10;
const SECOND: u64 = 11;
const RESENT: u64 = 12;
const READ: u64 = 20;

fn order(token: u64) -> bytes::Bytes {
    document(2, if token == SECOND { "the second operator's" } else { "the first operator's" })
}

impl Branch {
    fn root(seed: u64, core: usize, pause: u64) -> Self {
        let mut cluster = formed_cluster(seed, core, 1, 3);
        cluster.operator(core, Token(1), OperatorRequest::put(0, document(1, "before")));
        cluster.run(1_000 * MS);
        let accepted =
            cluster.answers.iter().any(|(_, _, answer)| *answer == Outcome::Accepted { version: 1 });
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

    fn cut_leader(&mut self, visited: &[usize]) {
        let leader = self.leader;
        for node in (0..self.cluster.nodes.len()).filter(|node| !visited.contains(node)) {
            self.cut(leader, node);
            self.cut(node, leader);
        }
    }

    fn call(&mut self, token: u64, node: usize) {
        let action = Action::Change { order: (1, order(token).to_vec()), version: 2 };
        let called_at = self.cluster.now;
        let request = OperatorRequest::put(1, order(token));
        if self.cluster.operator(node, Token(token), request) {
            let answer = Answer::Nothing;
            self.calls.push((token, Operation { called_at, answered_at: u64::MAX, action, answer }));
        }
    }

    /// Whether a step may come next. Most steps come only once, and only if they change something.
    fn allows(&self, next: Step) -> bool {
        let has = |what: Step| self.path.contains(&what);
        match next {
            ElectionTimePasses => self.path.last() != Some(&ElectionTimePasses),
            Resend => has(OrderAtLeader) && !has(Resend),
            HealLinks => !self.cluster.cuts.is_empty(),
            LeaderDiskRecovers => has(LeaderDiskStalls) && !has(LeaderDiskRecovers),
            // The core need not survive a disk that is lost while another machine is down.
            NextLosesDisk => !has(NextLosesDisk) && !has(AllLosePower) && !has(LeaderLosesPower),
            AllLosePower | LeaderLosesPower => !has(next) && !has(NextLosesDisk),
            _ => !has(next),
        }
    }

    fn take_step(&mut self, step: Step) {
        let (leader, next, last) = (self.leader, self.member(1), self.member(2));
        self.path.push(step);
        let mut pause = self.pause;
        match step {
            OrderAtLeader => self.call(FIRST, leader),
            OrderAtNext => self.call(SECOND, next),
            Resend => {
                self.call(RESENT, last);
                pause = CHANGE_COMPLETE;
            }
            LeaderReachesOne => self.cut_leader(&[next]),
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
            LeaderIsSuspended => self.cluster.freeze(leader, 2_300 * MS),
            LeaderDiskStalls => {
                self.cluster.disks.insert(leader, DiskFault::Stalled);
            }
            LeaderDiskRecovers => self.cluster.disks.clear(),
            ElectionTimePasses => pause = ELECTION,
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
            let answer = match outcome {
                Outcome::Accepted { .. } => Answer::Accepted,
                Outcome::Conflict { .. } | Outcome::Invalid { .. } => Answer::Refused,
                _ => continue,
            };
            if let Some((_, call)) = self.calls.iter_mut().find(|(called, _)| *called == token.0) {
                call.answer = answer;
                call.answered_at = self.cluster.now;
            }
        }
    }

    /// The state by which branches are compared: of branches with the same state only one is followed.
    fn state(&self) -> String {
        let mut visited = self.path.clone();
        visited.sort_unstable();
        let members: Vec<String> = (0..self.core)
            .map(|node| {
                let log = self.cluster.nodes[node].disk.log();
                let control = self.cluster.control(node);
                let known = control.map(|control| (control.index(), control.is_leader()));
                format!("{:?} {:?} {:?}", log, known, self.cluster.disks.get(&node))
            })
            .collect();
        let answer: Vec<&Answer> = self.calls.iter().map(|(_, call)| &call.answer).collect();
        format!("{visited:?} {:?} {members:?} {answer:?} {}", self.cluster.cuts, self.cluster.now / ELECTION)
    }

    /// Ends all faults and checks that the core recovers and answers, and that no observation contradicts another.
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
        let mut violations = Vec::new();
        match read {
            Some(version) => {
                let (action, answer) = (Action::Read, Answer::Version(version));
                let read = Operation { called_at: asked, answered_at: self.cluster.now, action, answer };
                self.calls.push((READ, read));
            }
            None => violations.push("the core does not answer after all faults ended".to_owned()),
        }
        // The first configuration existed before all steps.
        let before = Operation {
            called_at: 0,
            answered_at: 1,
            action: Action::Change { order: (0, Vec::new()), version: 1 },
            answer: Answer::Accepted,
        };
        let mut operators: Vec<Vec<Operation>> = vec![vec![before]];
        operators.extend(self.calls.iter().map(|(_, call)| vec![call.clone()]));
        violations.extend(check(&operators).err().map(|found| format!("{found:?}")));
        self.cluster.checks.finish();
        violations.append(&mut self.cluster.checks.violations);
        violations.into_iter().map(|line| format!("{:?}: {line}", self.path)).collect()
    }
}

/// The result of an exploration.
#[derive(Default)]
struct Explored {
    branches: usize,
    completed_branches: usize,
    violations: Vec<String>,
}

fn explore(branch: &Branch, depth: usize, visited: &mut BTreeSet<String>, explored: &mut Explored) {
    explored.branches += 1;
    if depth == 0 {
        explored.completed_branches += 1;
        explored.violations.extend(branch.clone().conclude());
        return;
    }
    for step in ALL_STEPS.into_iter().filter(|next| branch.allows(*next)) {
        let mut next = branch.clone();
        next.take_step(step);
        if visited.insert(next.state()) {
            explore(&next, depth - 1, visited, explored);
        }
    }
}

/// Explores all sequences of this many steps, with this pause between them, in a core of this size.
fn explore_all(core: usize, depth: usize, pause: u64) {
    let root = Branch::root(number("CONTROL_SEED", 7), core, pause);
    let explore_part = |thread: usize| {
        let (mut explored, mut visited) = (Explored::default(), BTreeSet::new());
        for first in ALL_STEPS.into_iter().skip(thread).step_by(THREADS).filter(|first| root.allows(*first)) {
            let mut branch = root.clone();
            branch.take_step(first);
            explore(&branch, depth - 1, &mut visited, &mut explored);
        }
        explored
    };
    let mut all = Explored::default();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|thread| scope.spawn(move || explore_part(thread))).collect();
        for thread in threads {
            let part = thread.join().expect("it ends");
            all.branches += part.branches;
            all.completed_branches += part.completed_branches;
            all.violations.extend(part.violations);
        }
    });
    println!(
        "core of {core}, {depth} steps {pause} us apart: {} branches, {} ends, {} violations",
        all.branches,
        all.completed_branches,
        all.violations.len()
    );
    for line in all.violations.iter().take(10) {
        println!("{line}");
    }
    assert!(all.violations.is_empty());
}

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn depth(default: u64) -> usize {
    number("CONTROL_DEPTH", default) as usize
}

/// Guards against violations that only a sequence of several faults causes, in a core of three.
#[test]
fn all_step_sequences_in_a_core_of_three() {
    explore_all(3, depth(5), MIDDLE);
}

/// Guards against the same violations with steps at other moments of a change.
#[test]
fn all_step_sequences_with_early_and_late_pauses() {
    explore_all(3, depth(4), EARLY);
    explore_all(3, depth(4), LATE);
}

/// Guards against the same violations in a core of four, where a majority is three.
#[test]
fn all_step_sequences_in_a_core_of_four() {
    explore_all(4, depth(4), MIDDLE);
}
