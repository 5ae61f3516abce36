//! Simulated operators that change the configuration concurrently, through relays of their choice, and that lose some
//! answers.

use bytes::Bytes;
use pewterseam_control::{OperatorRequest, Outcome, Token};

use super::cluster::{Cluster, MS, document, patch};
use super::history::{Action, Answer, Operation};

/// An operator that gets no answer for this long asks another relay.
const ANSWER_TIMEOUT: u64 = 1_000 * MS;
/// The percentage of answers that are lost.
const ANSWER_LOSS_PERCENT: usize = 10;

#[derive(Clone)]
enum Activity {
    Idle { until: u64 },
    Changing { if_match: u64, version: u64, change: Bytes, is_patch: bool, was_acknowledged: bool },
    Reading { acknowledged_before: u64 },
}

pub struct Operator {
    number: u64,
    based_on: u64,
    activity: Activity,
    token: u64,
    sent_at: u64,
    acknowledged: Vec<(u64, u64, Bytes, bool)>,
    pub completed: usize,
    pub is_stopping: bool,
    /// The operations and answers of this operator, in order.
    pub history: Vec<Operation>,
    relays: usize,
}

impl Operator {
    pub fn new(number: u64, relays: usize) -> Self {
        Operator {
            number,
            based_on: 0,
            activity: Activity::Idle { until: 0 },
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
        matches!(self.activity, Activity::Idle { .. })
    }

    /// Starts the next operation, or repeats one that is not answered.
    pub fn advance(&mut self, cluster: &mut Cluster) {
        match &self.activity {
            Activity::Idle { until } if *until <= cluster.now && !self.is_stopping => self.begin(cluster),
            Activity::Idle { .. } => {}
            _ if cluster.now >= self.sent_at + ANSWER_TIMEOUT => self.send(cluster),
            _ => {}
        }
    }

    fn begin(&mut self, cluster: &mut Cluster) {
        let is_repeat = cluster.random.below(6) == 0;
        self.activity = if let (true, Some((if_match, version, change, is_patch))) =
            (is_repeat, self.acknowledged.last().cloned())
        {
            Activity::Changing { if_match, version, change, is_patch, was_acknowledged: true }
        } else if cluster.random.below(4) == 0 {
            Activity::Reading { acknowledged_before: cluster.checks.newest_acknowledged() }
        } else {
            let version = self.based_on + 1 + cluster.random.below(3) as u64;
            let is_patch = self.based_on > 0 && cluster.random.below(2) == 0;
            let note = format!("operator {} at {}", self.number, cluster.now);
            let change = if is_patch {
                patch(version, 1 + cluster.now % 10_000 * 4 + self.number)
            } else {
                document(version, &note)
            };
            Activity::Changing { if_match: self.based_on, version, change, is_patch, was_acknowledged: false }
        };
        self.note_call(cluster.now);
        self.send(cluster);
    }

    /// Records the start of a call in the history.
    fn note_call(&mut self, now: u64) {
        let action = match &self.activity {
            Activity::Idle { .. } => return,
            Activity::Reading { .. } => Action::Read,
            Activity::Changing { if_match, version, change, .. } => {
                Action::Change { order: (*if_match, change.to_vec()), version: *version }
            }
        };
        let operation = Operation { called_at: now, answered_at: u64::MAX, action, answer: Answer::Nothing };
        self.history.push(operation);
    }

    /// Records the clear answer to a call in the history.
    fn note_answer(&mut self, now: u64, outcome: &Outcome) {
        let Some(operation) = self.history.last_mut() else { return };
        operation.answer = match outcome {
            Outcome::Accepted { .. } => Answer::Accepted,
            Outcome::Config(config) => Answer::Version(config.version),
            Outcome::Unknown => return,
            _ => Answer::Refused,
        };
        operation.answered_at = now;
    }

    fn send(&mut self, cluster: &mut Cluster) {
        self.token += 1;
        self.sent_at = cluster.now;
        let request = match &self.activity {
            Activity::Idle { .. } => return,
            Activity::Reading { .. } => OperatorRequest::ReadConfig,
            Activity::Changing { if_match, change, is_patch: true, .. } => {
                OperatorRequest::patch(*if_match, change.clone())
            }
            Activity::Changing { if_match, change, .. } => OperatorRequest::put(*if_match, change.clone()),
        };
        let relay = cluster.random.below(self.relays);
        if !cluster.operator(relay, Token(self.token), request) {
            // The connection was refused: try another relay soon.
            self.sent_at = cluster.now.saturating_sub(ANSWER_TIMEOUT - 100 * MS);
        }
    }

    /// Handles an answer if it belongs to this operator's last call.
    pub fn answer(&mut self, cluster: &mut Cluster, token: Token, outcome: &Outcome) {
        if token.0 != self.token || cluster.random.below(100) < ANSWER_LOSS_PERCENT {
            return;
        }
        let pause = cluster.random.below(200) as u64 * MS;
        let idle = Activity::Idle { until: cluster.now + pause };
        let activity = self.activity.clone();
        self.note_answer(cluster.now, outcome);
        match (activity, outcome) {
            (Activity::Idle { .. }, _) => {}
            (_, Outcome::Unknown) => self.sent_at = cluster.now.saturating_sub(ANSWER_TIMEOUT - 50 * MS),
            (
                Activity::Changing { if_match, version, change, is_patch, .. },
                Outcome::Accepted { version: answered },
            ) => {
                cluster.checks.acknowledged(if_match, version, &change);
                assert_eq!(*answered, version);
                self.acknowledged.push((if_match, version, change, is_patch));
                self.based_on = self.based_on.max(version);
                self.completed += 1;
                self.activity = idle;
            }
            (Activity::Changing { version, was_acknowledged, .. }, outcome) => {
                if was_acknowledged {
                    cluster.checks.rejected_after_acknowledgement(version);
                }
                if let Outcome::Conflict { current } = outcome {
                    self.based_on = *current;
                }
                self.activity = idle;
            }
            (Activity::Reading { acknowledged_before }, Outcome::Config(config)) => {
                cluster.checks.read(acknowledged_before, config.version);
                self.based_on = config.version;
                self.completed += 1;
                self.activity = idle;
            }
            (Activity::Reading { .. }, _) => self.activity = idle,
        }
    }
}

/// Runs the cluster and the operators for this long.
pub fn run(cluster: &mut Cluster, operators: &mut [Operator], span: u64) {
    let end = cluster.now + span;
    while cluster.now < end {
        for operator in operators.iter_mut() {
            operator.advance(cluster);
        }
        cluster.run(10 * MS);
        for (_, token, outcome) in std::mem::take(&mut cluster.answers) {
            for operator in operators.iter_mut() {
                operator.answer(cluster, token, &outcome);
            }
        }
    }
}
