//! Linearizability check: whether the answers that operators received could come from a single register with
//! compare-and-set that executes one call at a time. The search follows Wing and Gong and remembers visited states.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Identifies an order: the version that it is based on, and its bytes.
pub type OrderKey = (u64, Vec<u8>);

/// The operation that an operator requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Read,
    /// Set the register to this version if it holds the version that the order is based on.
    Change {
        order: OrderKey,
        version: u64,
    },
}

/// The answer to an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Version(u64),
    Accepted,
    Refused,
    /// No clear answer: the operation has taken effect, will take effect, or never will.
    Nothing,
}

/// One call of an operator, including all its repetitions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    pub called_at: u64,
    /// When the clear answer arrived; the maximum time without one.
    pub answered_at: u64,
    pub action: Action,
    pub answer: Answer,
}

/// The register, and the orders that it has accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Register {
    version: u64,
    accepted_orders: BTreeSet<usize>,
}

/// Operations that do not fit into any sequential order of all calls.
#[derive(Clone, PartialEq, Eq)]
pub struct NotLinearizable {
    pub stuck: Vec<Operation>,
}

impl fmt::Debug for NotLinearizable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no order of the calls explains one of these: {:?}", self.stuck)
    }
}

/// Searches for a sequential order of the operations in which a single register would have given the same answers.
/// Each operator makes one call after the other. Returns the operations that fit into no such order.
pub fn check(operators: &[Vec<Operation>]) -> Result<(), NotLinearizable> {
    let mut numbers: BTreeMap<&OrderKey, usize> = BTreeMap::new();
    for operation in operators.iter().flatten() {
        if let Action::Change { order, .. } = &operation.action {
            let next = numbers.len();
            numbers.entry(order).or_insert(next);
        }
    }
    let search = Search { operators, numbers };
    let mut visited = BTreeSet::new();
    let mut longest_prefix = vec![0; operators.len()];
    if search.can_order(&vec![0; operators.len()], Register::default(), &mut visited, &mut longest_prefix) {
        return Ok(());
    }
    let stuck = operators.iter().zip(&longest_prefix).filter_map(|(operations, done)| operations.get(*done));
    Err(NotLinearizable { stuck: stuck.cloned().collect() })
}

struct Search<'a> {
    operators: &'a [Vec<Operation>],
    numbers: BTreeMap<&'a OrderKey, usize>,
}

impl Search<'_> {
    /// Whether the operations that are not yet placed can be ordered.
    fn can_order(
        &self, done: &[usize], register: Register, visited: &mut BTreeSet<(Vec<usize>, Register)>,
        longest_prefix: &mut Vec<usize>,
    ) -> bool {
        if !visited.insert((done.to_vec(), register.clone())) {
            return false;
        }
        if done.iter().sum::<usize>() > longest_prefix.iter().sum() {
            *longest_prefix = done.to_vec();
        }
        let open = |operator: usize| self.operators[operator].get(done[operator]);
        let candidates: Vec<usize> =
            (0..self.operators.len()).filter(|operator| open(*operator).is_some()).collect();
        if candidates.is_empty() {
            return true;
        }
        // An operation that was called after another one was answered cannot precede it.
        let first_answer =
            candidates.iter().filter_map(|operator| open(*operator)).map(|open| open.answered_at).min();
        candidates.into_iter().any(|operator| {
            let operation = &self.operators[operator][done[operator]];
            if first_answer.is_some_and(|answer| operation.called_at > answer) {
                return false;
            }
            let mut next = done.to_vec();
            next[operator] += 1;
            self.outcomes(operation, &register)
                .into_iter()
                .any(|register| self.can_order(&next, register, visited, longest_prefix))
        })
    }

    /// What the register may hold after an operation that was answered so.
    fn outcomes(&self, operation: &Operation, register: &Register) -> Vec<Register> {
        let (order, version) = match &operation.action {
            Action::Read => {
                let fits = match operation.answer {
                    Answer::Version(version) => version == register.version,
                    Answer::Nothing => true,
                    Answer::Accepted | Answer::Refused => false,
                };
                return if fits { vec![register.clone()] } else { Vec::new() };
            }
            Action::Change { order, version } => (order, *version),
        };
        let number = self.numbers[order];
        let is_accepted = register.accepted_orders.contains(&number);
        let would_be_accepted = !is_accepted && register.version == order.0;
        let mut changed = register.clone();
        changed.version = version;
        changed.accepted_orders.insert(number);
        match operation.answer {
            Answer::Accepted if is_accepted => vec![register.clone()],
            Answer::Accepted if would_be_accepted => vec![changed],
            Answer::Refused if !is_accepted && !would_be_accepted => vec![register.clone()],
            Answer::Nothing if would_be_accepted => vec![changed, register.clone()],
            Answer::Nothing => vec![register.clone()],
            Answer::Accepted | Answer::Refused | Answer::Version(_) => Vec::new(),
        }
    }
}
