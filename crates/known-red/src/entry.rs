//! One test that fails for a known fault.

use std::num::NonZeroU32;

/// Which plays of a test are known to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seed {
    /// The play of this seed alone.
    Of(u64),
    /// Any play.
    Any,
}

/// One test that fails for a known fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The line of the list at which it begins, from 1 on.
    pub line: usize,
    /// The test's path, as the test runner prints it.
    pub test: String,
    /// A command of the shell that plays the test.
    pub command: String,
    pub seed: Seed,
    /// How often the command is played: a fault may show in some plays only.
    pub plays: NonZeroU32,
    /// What was seen.
    pub seen: String,
    /// The number of the open issue.
    pub issue: NonZeroU32,
}
