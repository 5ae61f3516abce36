//! The list of tests that fail for a known fault (`KNOWN-RED.txt`).
//!
//! An entry is a block of lines, `name: value` each, with a blank line between entries; lines that begin with `#` are
//! remarks. All six names are asked for once:
//!
//! ```text
//! test: clusters_keep_the_rules
//! command: CLUSTER_SEED=8504 cargo test -p pewterseam-cluster --test clusters clusters_keep_the_rules
//! seed: 8504
//! plays: 1
//! seen: LOST: six messages of one key are pending
//! issue: 61
//! ```
//!
//! Where `seed` is a number, only that seed is known to fail, and the test goes on with all others
//! ([`passed_over_seeds`]); where it is `none`, the whole test is left out of the run of all tests ([`skipped_tests`]). Each
//! command is played `plays` times ([`play`]): one that never fails is no known fault any more.

mod entry;
mod list;
mod play;

pub use entry::{Entry, Seed};
pub use list::{ListError, is_passed_over, passed_over_seeds, read, skipped_tests};
pub use play::{Outcome, PlayError, Verdict, outcome_of, play, verdict};
