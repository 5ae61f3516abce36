//! Whether what operators saw could have come of one register with compare-and-set, used by one of them at a time:
//! linearizability, searched for as Wing and Gong do, with visited states remembered.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What tells one order from another: the version that it builds on, and its bytes.
pub type OrderKey = (u64, Vec<u8>);

/// What an operator asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Read,
    /// Set the register to this version if it holds the one that the order builds on.
    Change {
        order: OrderKey,
        version: u64,
    },
}

/// What an operator was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Version(u64),
    Accepted,
    Refused,
    /// Nothing clear: it has had its effect, will have it, or never will.
    Nothing,
}

/// One call of an operator with all its repetitions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    pub called_at: u64,
    /// When the clear answer came; the end of time without one.
    pub answered_at: u64,
    pub action: Action,
    pub told: Told,
}

/// The register, and the orders that have set it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Register {
    version: u64,
    taken: BTreeSet<usize>,
}

/// Operations of which no order of all calls explains one.
#[derive(Clone, PartialEq, Eq)]
pub struct NoOrder {
    pub stuck: Vec<Operation>,
}

impl fmt::Debug for NoOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no order of the calls explains one of these: {:?}", self.stuck)
    }
}

/// Finds an order of the operations of all operators, each of which acts one call after the other, that one register
/// would have answered so. Returns the operations that no order has room for.
pub fn check(operators: &[Vec<Operation>]) -> Result<(), NoOrder> {
    let mut numbers: BTreeMap<&OrderKey, usize> = BTreeMap::new();
    for operation in operators.iter().flatten() {
        if let Action::Change { order, .. } = &operation.action {
            let next = numbers.len();
            numbers.entry(order).or_insert(next);
        }
    }
    let search = Search { operators, numbers };
    let mut visited = BTreeSet::new();
    let mut deepest = vec![0; operators.len()];
    if search.from(&vec![0; operators.len()], Register::default(), &mut visited, &mut deepest) {
        return Ok(());
    }
    let stuck = operators.iter().zip(&deepest).filter_map(|(operations, done)| operations.get(*done));
    Err(NoOrder { stuck: stuck.cloned().collect() })
}

struct Search<'a> {
    operators: &'a [Vec<Operation>],
    numbers: BTreeMap<&'a OrderKey, usize>,
}

impl Search<'_> {
    /// Whether the operations after those that are done can be put in order.
    fn from(
        &self, done: &[usize], register: Register, visited: &mut BTreeSet<(Vec<usize>, Register)>,
        deepest: &mut Vec<usize>,
    ) -> bool {
        if !visited.insert((done.to_vec(), register.clone())) {
            return false;
        }
        if done.iter().sum::<usize>() > deepest.iter().sum() {
            *deepest = done.to_vec();
        }
        let open = |operator: usize| self.operators[operator].get(done[operator]);
        let candidates: Vec<usize> =
            (0..self.operators.len()).filter(|operator| open(*operator).is_some()).collect();
        if candidates.is_empty() {
            return true;
        }
        // One that was called after another had its answer does not come before it.
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
                .any(|register| self.from(&next, register, visited, deepest))
        })
    }

    /// What the register may hold after an operation that was answered so.
    fn outcomes(&self, operation: &Operation, register: &Register) -> Vec<Register> {
        let (order, version) = match &operation.action {
            Action::Read => {
                let fits = match operation.told {
                    Told::Version(version) => version == register.version,
                    Told::Nothing => true,
                    Told::Accepted | Told::Refused => false,
                };
                return if fits { vec![register.clone()] } else { Vec::new() };
            }
            Action::Change { order, version } => (order, *version),
        };
        let number = self.numbers[order];
        let is_taken = register.taken.contains(&number);
        let would_be_taken = !is_taken && register.version == order.0;
        let mut set = register.clone();
        set.version = version;
        set.taken.insert(number);
        match operation.told {
            Told::Accepted if is_taken => vec![register.clone()],
            Told::Accepted if would_be_taken => vec![set],
            Told::Refused if !is_taken && !would_be_taken => vec![register.clone()],
            Told::Nothing if would_be_taken => vec![set, register.clone()],
            Told::Nothing => vec![register.clone()],
            Told::Accepted | Told::Refused | Told::Version(_) => Vec::new(),
        }
    }
}
