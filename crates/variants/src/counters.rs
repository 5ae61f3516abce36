//! What is counted, for `/status` and its metrics.

use serde::Serialize;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Messages handed in of classes with a rule, and what became of them here: given to this relay to
    /// deliver, answered by a variant's end, handed back.
    pub offered: u64,
    pub delivered: u64,
    pub answered: u64,
    pub handed_back: u64,
    /// Messages that waited for a variant.
    pub waited: u64,
    /// Messages let go without a claim: by what lacked ([`crate::interface::Unmerged`]).
    pub unmerged_no_key: u64,
    pub unmerged_full: u64,
    pub unmerged_no_room: u64,
    pub unmerged_no_quorum: u64,
    pub unmerged_uncertain: u64,
    pub unmerged_ambiguous: u64,
    /// Messages given to this relay although a variant may have run.
    pub passed_on: u64,
    /// Claims that this relay keeps for the fleet, those adopted from earlier owners, and new ones that were
    /// refused since the table was full.
    pub claims: u64,
    pub claims_adopted: u64,
    pub claims_refused: u64,
    /// Answers that were longer than is kept.
    pub answers_cut: u64,
    /// Calls to owners, their bytes, the items in them; those without an answer, and those whose asker or
    /// owner did not know the newest owners or rules.
    pub calls: u64,
    pub call_bytes: u64,
    pub items: u64,
    pub calls_unanswered: u64,
    pub calls_stale: u64,
    /// What came in and could not be read.
    pub malformed: u64,
    /// Decisions heeded: rules, narrowed rules, owners.
    pub rules_changed: u64,
    pub narrowed: u64,
    pub rosters: u64,
    /// Rules proposed by what was learnt, and observations told and heard for it.
    pub suggested: u64,
    pub observed: u64,
    /// Invariants that did not hold. Never anything but 0.
    pub broken: u64,
}
