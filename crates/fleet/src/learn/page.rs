//! Decisions in force, a page at a time.

use serde::{Deserialize, Serialize};

use crate::interface::{Decision, Epoch, InForce};
use crate::log::Voters;

/// Bytes of decisions on a page, beyond the first one.
const MOST_PAGE_BYTES: usize = 64 * 1024;

/// What a member asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct After {
    /// Decisions after this one.
    pub epoch: Epoch,
    /// Ends of this epoch and before are known, or do not count: the asker holds nothing that is older.
    pub ends: Epoch,
}

/// An answer to "what was decided after this epoch".
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// It replaces all that the asker knows: ends of decisions were forgotten since.
    pub fresh: bool,
    /// In the order of their epochs.
    pub decisions: Vec<Decision>,
    /// With it the asker knows all up to here.
    pub upto: Epoch,
    pub newest: Epoch,
    /// Ends up to here are not among them.
    pub forgotten: Epoch,
    pub voters: Voters,
}

impl Page {
    pub fn of(known: &InForce, after: After, voters: Voters) -> Self {
        let fresh = after.ends < known.forgotten;
        let after = if fresh { Epoch(0) } else { after.epoch };
        let mut decisions: Vec<&Decision> =
            known.newest.values().filter(|decision| decision.epoch > after).collect();
        decisions.sort_unstable_by_key(|decision| decision.epoch);
        let mut bytes = 0;
        let all = decisions.len();
        let within = |(place, decision): &(usize, &Decision)| {
            bytes +=
                decision.subject.len() + decision.what.as_ref().map_or(0, Vec::len) + decision.grounds.len();
            *place == 0 || bytes <= MOST_PAGE_BYTES
        };
        let decisions: Vec<Decision> =
            decisions.into_iter().enumerate().take_while(within).map(|(_, of)| of.clone()).collect();
        let whole = decisions.len() == all;
        let upto = decisions.last().filter(|_| !whole).map_or(known.epoch, |decision| decision.epoch);
        Page { fresh, decisions, upto, newest: known.epoch, forgotten: known.forgotten, voters }
    }

    /// Whether it holds together. Danger: a page of a member at fault would have decisions skipped for ever.
    pub fn sound(&self, after: Epoch) -> bool {
        let mut before = if self.fresh { Epoch(0) } else { after };
        let rising = self.decisions.iter().all(|decision| {
            let rises = decision.epoch > before;
            before = decision.epoch;
            rises
        });
        rising && self.upto >= before && self.newest >= self.upto
    }
}
