//! What a home would have decided of its slice.

use std::collections::{BTreeMap, VecDeque};

use pewterseam::interface::{DestinationId, Micros};

use super::matter::{Lanes, Returned, Slow};
use crate::detection::{Judgement, Limits, Verdict};
use crate::groups::LanesFile;

const MINUTE: Micros = 60_000_000;
/// Those that went back and are remembered by the decision, for what they have to prove the next time.
const MOST_RETURNED: usize = 64;
/// Each return doubles the proof, so often: eight times as long is minutes.
const MOST_DOUBLINGS: u8 = 3;

/// What holds for one slice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    pub limits: Limits,
    /// Subscribers of the slice that may be in slow lanes.
    pub most_slow: usize,
    /// The slice's share of the fleet's moves a minute. A share is the slice's own, since only decisions of
    /// one subject follow each other surely: two homes of two slices can't overdraw it together.
    pub moves_a_minute: usize,
    pub proof_rounds: u32,
}

impl Rules {
    /// Of a slice of `slice` subscribers, where all groups together have `all`. Each slice has one move at
    /// the least, so the fleet's moves are at most those of the file and one for each slice.
    pub fn of(file: &LanesFile, slice: usize, all: usize) -> Self {
        let limits = Limits { most_slow: f64::from(file.most_slow_percent) / 100.0 };
        let moves = file.moves_a_minute as usize * slice / all.max(1);
        Rules {
            limits,
            most_slow: limits.most(slice),
            moves_a_minute: moves.max(1),
            proof_rounds: file.proof_rounds,
        }
    }
}

/// What is to be decided, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub lanes: Lanes,
    pub grounds: String,
}

#[derive(Clone, Debug)]
pub struct Planner {
    rules: Rules,
    /// When decisions on the slice were learnt, and how many each moved.
    moves: VecDeque<(Micros, usize)>,
    /// Rounds in a row that a subscriber in a slow lane was fine.
    proof: BTreeMap<DestinationId, u32>,
}

impl Planner {
    pub fn new(rules: Rules) -> Self {
        Planner { rules, moves: VecDeque::new(), proof: BTreeMap::new() }
    }

    /// A decision on the slice moved so many. A home that learns late counts them as of now, which makes it
    /// more careful.
    pub fn moved(&mut self, now: Micros, count: usize) {
        self.moves.push_back((now, count));
    }

    /// Moves that are left in this minute.
    fn left(&mut self, now: Micros) -> usize {
        while self.moves.front().is_some_and(|(at, _)| now.saturating_sub(*at) >= MINUTE) {
            self.moves.pop_front();
        }
        self.rules.moves_a_minute.saturating_sub(self.moves.iter().map(|(_, count)| count).sum())
    }

    /// After each round; none if all is to stay.
    pub fn plan(&mut self, now: Micros, judged: &Judgement, before: &Lanes) -> Option<Plan> {
        self.prove(judged, before);
        // Danger: while most are slow, nobody is compared with anything sound; neither way.
        if judged.common.is_some() {
            return None;
        }
        let mut left = self.left(now);
        let mut lanes = before.clone();
        let back = self.back(&mut lanes, &mut left);
        let mut slow: Vec<(f32, Slow)> = Vec::new();
        for (destination, verdict, held) in &judged.verdicts {
            if let (Verdict::Slow { silent }, false) = (verdict, before.is_slow(*destination)) {
                let returned = before.returned.iter().find(|of| of.destination == *destination);
                let returns = returned.map_or(0, |of| of.times);
                slow.push((*held, Slow { destination: *destination, silent: *silent, returns }));
            }
        }
        // Those that hold most slots drag most.
        slow.sort_by(|one, other| other.0.total_cmp(&one.0));
        let found = slow.len();
        let room = self.rules.most_slow.saturating_sub(lanes.slow.len());
        slow.truncate(room.min(left));
        let moved = slow.len();
        lanes.slow.extend(slow.into_iter().map(|(_, slow)| slow));
        lanes.slow.sort_unstable_by_key(|slow| slow.destination);
        if moved + back == 0 {
            return None;
        }
        let silent = lanes.slow.iter().filter(|slow| slow.silent).count();
        let median = judged.spread.median.exp() / 1e3;
        let grounds = format!(
            "{moved} of {found} found slow go to slow lanes, {back} kept up and go back; then {} of {} are \
            slow, {silent} of them silent; the slice's median is {median:.1} ms",
            lanes.slow.len(),
            judged.verdicts.len(),
        );
        Some(Plan { lanes, grounds })
    }

    fn prove(&mut self, judged: &Judgement, before: &Lanes) {
        self.proof.retain(|destination, _| before.is_slow(*destination));
        for (destination, verdict, _) in &judged.verdicts {
            if before.is_slow(*destination) {
                let rounds = self.proof.entry(*destination).or_default();
                let proves = *verdict == Verdict::Fine && judged.common.is_none();
                *rounds = if proves { *rounds + 1 } else { 0 };
            }
        }
    }

    /// Takes those out that proved enough; how many.
    fn back(&self, lanes: &mut Lanes, left: &mut usize) -> usize {
        let mut gone = Vec::new();
        lanes.slow.retain(|slow| {
            let needed = self.rules.proof_rounds << slow.returns.min(MOST_DOUBLINGS);
            let proved = self.proof.get(&slow.destination).is_some_and(|rounds| *rounds >= needed);
            if proved && *left > 0 {
                *left -= 1;
                gone.push(Returned { destination: slow.destination, times: slow.returns.saturating_add(1) });
            }
            !(proved && gone.last().is_some_and(|of| of.destination == slow.destination))
        });
        for of in &gone {
            lanes.returned.retain(|known| known.destination != of.destination);
        }
        let back = gone.len();
        lanes.returned.extend(gone);
        let over = lanes.returned.len().saturating_sub(MOST_RETURNED);
        lanes.returned.drain(..over);
        back
    }
}
