//! Operators that change the configuration at the same time, through relays of their choice, and lose answers.

use bytes::Bytes;
use pewterseam_control::{OperatorRequest, Outcome, Token};

use super::cluster::{Cluster, MS, document, patch};
use super::history::{Action, Operation, Told};

/// Without an answer for so long, an operator asks another relay.
const SILENCE: u64 = 1_000 * MS;
/// Of a hundred answers, so many are lost.
const LOST_ANSWERS: usize = 10;

#[derive(Clone)]
enum Doing {
    Idle { until: u64 },
    Changing { if_match: u64, version: u64, change: Bytes, is_patch: bool, was_acknowledged: bool },
    Reading { acknowledged_before: u64 },
}

pub struct Operator {
    number: u64,
    based_on: u64,
    doing: Doing,
    token: u64,
    sent_at: u64,
    acknowledged: Vec<(u64, u64, Bytes, bool)>,
    pub completed: usize,
    pub is_stopping: bool,
    /// What it asked for and was told, in order.
    pub history: Vec<Operation>,
    relays: usize,
}

impl Operator {
    pub fn new(number: u64, relays: usize) -> Self {
        Operator {
            number,
            based_on: 0,
            doing: Doing::Idle { until: 0 },
            token: number << 32,
            sent_at: 0,
            acknowledged: Vec::new(),
            completed: 0,
            is_stopping: false,
            history: Vec::new(),
            relays,
        }
    }

    pub fn is_idle(&self) -> bool {
        matches!(self.doing, Doing::Idle { .. })
    }

    /// Does what is next.
    pub fn act(&mut self, cluster: &mut Cluster) {
        match &self.doing {
            Doing::Idle { until } if *until <= cluster.now && !self.is_stopping => self.begin(cluster),
            Doing::Idle { .. } => {}
            _ if cluster.now >= self.sent_at + SILENCE => self.send(cluster),
            _ => {}
        }
    }

    fn begin(&mut self, cluster: &mut Cluster) {
        let again = cluster.random.below(6) == 0;
        self.doing = if let (true, Some((if_match, version, change, is_patch))) =
            (again, self.acknowledged.last().cloned())
        {
            Doing::Changing { if_match, version, change, is_patch, was_acknowledged: true }
        } else if cluster.random.below(4) == 0 {
            Doing::Reading { acknowledged_before: cluster.checks.newest_acknowledged() }
        } else {
            let version = self.based_on + 1 + cluster.random.below(3) as u64;
            let is_patch = self.based_on > 0 && cluster.random.below(2) == 0;
            let note = format!("operator {} at {}", self.number, cluster.now);
            let change = if is_patch {
                patch(version, 1 + cluster.now % 10_000 * 4 + self.number)
            } else {
                document(version, &note)
            };
            Doing::Changing { if_match: self.based_on, version, change, is_patch, was_acknowledged: false }
        };
        self.note_call(cluster.now);
        self.send(cluster);
    }

    /// A call begins, for the history.
    fn note_call(&mut self, now: u64) {
        let action = match &self.doing {
            Doing::Idle { .. } => return,
            Doing::Reading { .. } => Action::Read,
            Doing::Changing { if_match, version, change, .. } => {
                Action::Change { order: (*if_match, change.to_vec()), version: *version }
            }
        };
        let operation = Operation { called_at: now, answered_at: u64::MAX, action, told: Told::Nothing };
        self.history.push(operation);
    }

    /// A call has its clear answer.
    fn note_answer(&mut self, now: u64, outcome: &Outcome) {
        let Some(operation) = self.history.last_mut() else { return };
        operation.told = match outcome {
            Outcome::Accepted { .. } => Told::Accepted,
            Outcome::Config(config) => Told::Version(config.version),
            Outcome::Unknown => return,
            _ => Told::Refused,
        };
        operation.answered_at = now;
    }

    fn send(&mut self, cluster: &mut Cluster) {
        self.token += 1;
        self.sent_at = cluster.now;
        let request = match &self.doing {
            Doing::Idle { .. } => return,
            Doing::Reading { .. } => OperatorRequest::ReadConfig,
            Doing::Changing { if_match, change, is_patch: true, .. } => {
                OperatorRequest::patch(*if_match, change.clone())
            }
            Doing::Changing { if_match, change, .. } => OperatorRequest::put(*if_match, change.clone()),
        };
        let relay = cluster.random.below(self.relays);
        if !cluster.operator(relay, Token(self.token), request) {
            // A refused connection: another relay soon.
            self.sent_at = cluster.now.saturating_sub(SILENCE - 100 * MS);
        }
    }

    /// An answer came, if it is for this operator's last call.
    pub fn answer(&mut self, cluster: &mut Cluster, token: Token, outcome: &Outcome) {
        if token.0 != self.token || cluster.random.below(100) < LOST_ANSWERS {
            return;
        }
        let pause = cluster.random.below(200) as u64 * MS;
        let idle = Doing::Idle { until: cluster.now + pause };
        let doing = self.doing.clone();
        self.note_answer(cluster.now, outcome);
        match (doing, outcome) {
            (Doing::Idle { .. }, _) => {}
            (_, Outcome::Unknown) => self.sent_at = cluster.now.saturating_sub(SILENCE - 50 * MS),
            (
                Doing::Changing { if_match, version, change, is_patch, .. },
                Outcome::Accepted { version: answered },
            ) => {
                cluster.checks.acknowledged(if_match, version, &change);
                assert_eq!(*answered, version);
                self.acknowledged.push((if_match, version, change, is_patch));
                self.based_on = self.based_on.max(version);
                self.completed += 1;
                self.doing = idle;
            }
            (Doing::Changing { version, was_acknowledged, .. }, outcome) => {
                if was_acknowledged {
                    cluster.checks.refused_again(version);
                }
                if let Outcome::Conflict { current } = outcome {
                    self.based_on = *current;
                }
                self.doing = idle;
            }
            (Doing::Reading { acknowledged_before }, Outcome::Config(config)) => {
                cluster.checks.read(acknowledged_before, config.version);
                self.based_on = config.version;
                self.completed += 1;
                self.doing = idle;
            }
            (Doing::Reading { .. }, _) => self.doing = idle,
        }
    }
}

/// Runs cluster and operators for a span.
pub fn run(cluster: &mut Cluster, operators: &mut [Operator], span: u64) {
    let end = cluster.now + span;
    while cluster.now < end {
        for operator in operators.iter_mut() {
            operator.act(cluster);
        }
        cluster.run(10 * MS);
        for (_, token, outcome) in std::mem::take(&mut cluster.answers) {
            for operator in operators.iter_mut() {
                operator.answer(cluster, token, &outcome);
            }
        }
    }
}
