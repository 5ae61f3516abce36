//! A member as the home of a slice: it hears reports, judges, and proposes.

use std::collections::BTreeSet;

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::{Epoch, MemberId, Members, Proposal};

use super::matter::Lanes;
use super::planner::{Planner, Rules};
use crate::detection::{Book, CommonCause, Heard, Judge, Judgement, Report, Slice};

/// Rounds that the second home leaves to the first before it proposes by itself.
const PATIENCE: u32 = 2;

#[derive(Clone, Debug)]
pub struct Home {
    rules: Rules,
    book: Book,
    judge: Judge,
    planner: Planner,
    last: Option<Judgement>,
    /// Rounds in a row with something to propose and no newer decision.
    waited: (Epoch, u32),
}

impl Home {
    pub fn new(slice: &Slice, rules: Rules) -> Self {
        Home {
            rules,
            book: Book::new(slice),
            judge: Judge::default(),
            planner: Planner::new(rules),
            last: None,
            waited: (Epoch(0), 0),
        }
    }

    pub fn heard(&mut self, from: MemberId, report: &Report) {
        self.book.take(from, report);
    }

    /// See [`Planner::moved`].
    pub fn moved(&mut self, now: Micros, count: usize) {
        self.planner.moved(now, count);
    }

    /// A round is over. `rank` is this home's place among the slice's homes, from 0. Proposed is what rests
    /// on the decision in force, so that of two homes that see the same one decision comes.
    pub fn round(
        &mut self, now: Micros, members: &Members, rank: usize, in_force: &(Epoch, Lanes),
    ) -> Option<Proposal> {
        let (epoch, lanes) = in_force;
        let apart: BTreeSet<_> = lanes.slow.iter().map(|slow| slow.destination).collect();
        let judged = self.judge.round(&self.book, members, &apart, self.rules.limits);
        self.book.fade();
        let plan = judged.as_ref().and_then(|judged| self.planner.plan(now, judged, lanes));
        self.last = judged;
        let plan = plan?;
        if self.waited.0 != *epoch {
            self.waited = (*epoch, 0);
        }
        self.waited.1 += 1;
        if rank > 0 && self.waited.1 <= PATIENCE * rank as u32 {
            return None;
        }
        Proposal::of(&plan.lanes, plan.grounds).ok().map(|proposal| proposal.unless_after(*epoch))
    }

    /// Of the last round.
    pub fn judged(&self) -> Option<&Judgement> {
        self.last.as_ref()
    }

    pub fn common(&self) -> Option<CommonCause> {
        self.last.as_ref().and_then(|judged| judged.common)
    }

    pub fn counted(&self) -> Heard {
        self.book.heard()
    }

    /// Bytes held for the slice's subscribers.
    pub fn bytes(&self) -> usize {
        self.book.bytes()
    }
}
