//! A message at the relay that took it, from its claim to its end.

mod telling;

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::MemberId;

use super::plan::Plan;
use super::round::{Round, Verdict};
use crate::claims::{ClaimOp, End, Item, Op, Said};
use crate::interface::Unmerged;
use crate::rules::{Full, Key, Unsure};

/// An owner that has not answered is asked again so soon: many times what a healthy call takes.
const ASK_AGAIN: Micros = 60_000;
/// The wait between looks at a message that another one has, from the first to the longest. Owners tell of
/// its end; the looks are for what they told in vain.
const LOOKS: (Micros, Micros) = (100_000, 1_000_000);
/// A message that waits is handed back so long before its deadline, so that its client can still be told.
const BEFORE_DEADLINE: Micros = 50_000;
/// While owners are being replaced they are waited for longer than the class's patience.
const SETTLING: Micros = 1_000_000;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    Ask {
        to: MemberId,
        item: Item,
    },
    Deliver {
        may_have_run: bool,
    },
    Wait,
    Answer(End),
    HandBack {
        after: Micros,
    },
    Unmerged(Unmerged),
    /// Messages that were merged without this part proved to differ in it, by its place in the prints.
    Proof {
        part: u16,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Asking {
        round: Round,
        again: Micros,
    },
    /// Another one has it; looked at again then.
    Waiting {
        look: Micros,
        pause: Micros,
    },
    /// It is the relay's to deliver.
    Delivering {
        renew: Micros,
    },
    /// The owners are told what became of it; who has noted it of each key.
    Telling {
        op: Op,
        noted: Vec<Vec<MemberId>>,
        again: Micros,
        told: u32,
    },
    Over,
}

/// One message. A state machine: words of owners, the relay's words and the time in, acts out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Message {
    plan: Plan,
    /// The key that is being claimed; those before it are held.
    at: usize,
    ballot: u32,
    state: State,
    /// Since when nobody says whether it may be delivered.
    unsure: Option<Micros>,
    /// A rule or roster is being learnt, or owners are told what earlier ones knew.
    settling: bool,
    /// It may have run at the partner.
    ran: bool,
    /// It was let go without a claim, or others were told that it waits.
    unmerged: bool,
    waits: bool,
    /// An early look because of a word of its key; at most one before the next regular one.
    hinted: bool,
}

/// Finds the owners of a key.
pub type OwnersOf<'a> = &'a dyn Fn(Key) -> Vec<MemberId>;

impl Message {
    /// Begins to claim.
    pub fn new(now: Micros, plan: Plan, owners: OwnersOf<'_>) -> (Self, Vec<Act>) {
        let ran = plan.resumed || !plan.bold();
        let state = State::Over;
        let mut message = Message {
            plan,
            at: 0,
            ballot: 0,
            state,
            unsure: Some(now),
            settling: false,
            ran,
            unmerged: false,
            waits: false,
            hinted: false,
        };
        let mut acts = Vec::new();
        message.ask(now, owners, &mut acts);
        (message, acts)
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Nothing more will be done.
    pub fn is_over(&self) -> bool {
        self.state == State::Over
    }

    /// It was let go to its partner and has not ended.
    pub fn is_delivering(&self) -> bool {
        matches!(self.state, State::Delivering { .. })
    }

    /// Keys that it asks for or holds.
    pub fn keys(&self) -> impl Iterator<Item = Key> {
        self.plan.keys.iter().map(|of| of.key)
    }

    pub fn wake(&self) -> Option<Micros> {
        let before = self.plan.deadline.saturating_sub(BEFORE_DEADLINE);
        match &self.state {
            State::Asking { again, .. } => Some((*again).min(before)),
            State::Waiting { look, .. } => Some((*look).min(before)),
            State::Delivering { renew } => Some(*renew),
            State::Telling { again, .. } => Some(*again),
            State::Over => None,
        }
    }

    /// An owner's word on a ballot.
    pub fn said(
        &mut self, now: Micros, owner: MemberId, key: Key, ballot: u32, said: Said, owners: OwnersOf<'_>,
    ) -> Vec<Act> {
        let mut acts = Vec::new();
        match &mut self.state {
            State::Asking { round, .. }
                if ballot == self.ballot && self.plan.keys.get(self.at).is_some_and(|of| of.key == key) =>
            {
                self.settling |= said == Said::NotReady;
                round.heard(owner, said);
                self.judge(now, false, owners, &mut acts);
            }
            // What is refused for want of room is not asked for for ever.
            State::Telling { noted, .. } if matches!(said, Said::Noted | Said::Full) => {
                let at = self.plan.keys.iter().position(|of| of.key == key);
                if let Some(noted) = at.and_then(|at| noted.get_mut(at))
                    && !noted.contains(&owner)
                {
                    noted.push(owner);
                }
                self.told(owners);
            }
            _ => {}
        }
        acts
    }

    /// Owners or rules are not those that were asked by; they are being learnt.
    pub fn stale(&mut self) {
        self.settling = true;
    }

    /// The owners are others than before.
    pub fn moved(&mut self, now: Micros, owners: OwnersOf<'_>) -> Vec<Act> {
        let mut acts = Vec::new();
        match self.state {
            State::Asking { .. } | State::Waiting { .. } => self.ask(now, owners, &mut acts),
            State::Delivering { .. } => self.renew(now, owners, &mut acts),
            State::Telling { .. } => self.tell(now, owners, &mut acts),
            State::Over => {}
        }
        acts
    }

    /// An owner told that a key is free or done.
    pub fn look(&mut self, now: Micros, owners: OwnersOf<'_>) -> Vec<Act> {
        let mut acts = Vec::new();
        if matches!(self.state, State::Waiting { .. }) && !std::mem::replace(&mut self.hinted, true) {
            self.ask(now, owners, &mut acts);
        }
        acts
    }

    pub fn timer(&mut self, now: Micros, owners: OwnersOf<'_>) -> Vec<Act> {
        let mut acts = Vec::new();
        if self.wake().is_none_or(|wake| wake > now) {
            return acts;
        }
        let late = now + BEFORE_DEADLINE >= self.plan.deadline;
        match &mut self.state {
            State::Asking { .. } | State::Waiting { .. } if late => {
                self.hand_back(now, owners, &mut acts);
            }
            State::Asking { round, again } => {
                *again = now + ASK_AGAIN;
                let open: Vec<MemberId> = round.open().collect();
                self.judge(now, true, owners, &mut acts);
                if matches!(self.state, State::Asking { .. }) && acts.is_empty() {
                    acts.extend(open.into_iter().map(|to| Act::Ask { to, item: self.claim(now, self.at) }));
                }
            }
            State::Waiting { .. } => {
                self.hinted = false;
                self.ask(now, owners, &mut acts);
            }
            State::Delivering { .. } => self.renew(now, owners, &mut acts),
            State::Telling { .. } => self.tell(now, owners, &mut acts),
            State::Over => {}
        }
        acts
    }

    /// The relay writes its call.
    pub fn started(&mut self, now: Micros, owners: OwnersOf<'_>) -> Vec<Act> {
        let mut acts = Vec::new();
        if self.is_delivering() && !std::mem::replace(&mut self.ran, true) {
            self.renew(now, owners, &mut acts);
        }
        acts
    }

    /// It ended at the partner.
    pub fn ended(&mut self, now: Micros, end: End, owners: OwnersOf<'_>) -> Vec<Act> {
        let window_s = self.plan.window_s;
        let end = end.cut().0;
        self.finish(now, Op::End { end, window_s }, owners)
    }

    /// It is not delivered by this relay any more.
    pub fn withdrawn(&mut self, now: Micros, may_have_run: bool, owners: OwnersOf<'_>) -> Vec<Act> {
        // Danger: what may have run and must not run twice is nobody else's to deliver.
        if (self.is_delivering() || self.plan.resumed) && may_have_run && !self.plan.bold() {
            self.state = State::Over;
            return Vec::new();
        }
        self.finish(now, Op::Release, owners)
    }

    fn finish(&mut self, now: Micros, op: Op, owners: OwnersOf<'_>) -> Vec<Act> {
        let mut acts = Vec::new();
        if matches!(self.state, State::Telling { .. } | State::Over) {
            return acts;
        }
        let noted = vec![Vec::new(); self.plan.keys.len()];
        self.state = State::Telling { op, noted, again: now, told: 0 };
        self.tell(now, owners, &mut acts);
        acts
    }

    /// A new round for the key in turn.
    fn ask(&mut self, now: Micros, owners: OwnersOf<'_>, acts: &mut Vec<Act>) {
        self.ballot += 1;
        self.unsure.get_or_insert(now);
        let Some(of) = self.plan.keys.get(self.at) else { return };
        let round = Round::new(owners(of.key));
        // Those before it are renewed with it.
        for at in 0..=self.at {
            let item = self.claim(now, at);
            acts.extend(owners(item.key).into_iter().map(|to| Act::Ask { to, item: item.clone() }));
        }
        self.state = State::Asking { round, again: now + ASK_AGAIN };
    }

    fn claim(&self, now: Micros, at: usize) -> Item {
        let (plan, of) = (&self.plan, &self.plan.keys[at]);
        let millis = |span: Micros| (span / 1_000).min(u64::from(u32::MAX)) as u32;
        let op = ClaimOp {
            running: self.ran,
            resumed: plan.resumed,
            bold: plan.bold(),
            lease_ms: millis(plan.lease),
            left_ms: millis(plan.deadline.saturating_sub(now)),
            window_s: plan.window_s,
            prints: of.prints.clone(),
        };
        Item { key: of.key, handle: plan.handle, ballot: self.ballot, op: Op::Claim(op) }
    }

    /// What the words so far come to. `last`: an owner that has not answered is not waited for, if the
    /// patience is over.
    fn judge(&mut self, now: Micros, last: bool, owners: OwnersOf<'_>, acts: &mut Vec<Act>) {
        let State::Asking { round, .. } = &self.state else { return };
        let patience = if self.settling { self.plan.patience.max(SETTLING) } else { self.plan.patience };
        let out = self.unsure.is_none_or(|since| now >= since.saturating_add(patience));
        let careful = self.plan.keys.get(self.at).is_some_and(|of| !of.prints.is_empty());
        match round.verdict(last && out, careful) {
            Verdict::Open => {}
            Verdict::Granted { may_have_run } => {
                self.at += 1;
                self.ran |= may_have_run;
                if self.at < self.plan.keys.len() {
                    self.ask(now, owners, acts);
                } else {
                    self.state = State::Delivering { renew: now + self.plan.lease / 3 };
                    acts.push(Act::Deliver { may_have_run });
                }
            }
            Verdict::Done(end) => {
                acts.push(Act::Answer(end.clone()));
                self.over(now, Some(end), owners, acts);
            }
            Verdict::Held => {
                self.unsure = None;
                self.wait(now, owners, acts);
            }
            Verdict::Differs { part, proof, ambiguous } => {
                self.differs(now, (part, proof, ambiguous), owners, acts);
            }
            Verdict::Full => match self.plan.full {
                Full::Deliver => self.go_unmerged(now, Unmerged::Full, acts),
                Full::HandBack => self.hand_back(now, owners, acts),
            },
            Verdict::Uncertain => self.unsure(now, out, Unmerged::Uncertain, owners, acts),
            Verdict::Silent => self.unsure(now, out, Unmerged::NoQuorum, owners, acts),
        }
    }

    fn differs(&mut self, now: Micros, found: (u16, bool, bool), owners: OwnersOf<'_>, acts: &mut Vec<Act>) {
        let (part, proof, ambiguous) = found;
        // What older rules merged is no matter of the one in force.
        if proof && self.at + 1 == self.plan.keys.len() {
            acts.push(Act::Proof { part });
        }
        if ambiguous && !self.plan.bold() {
            return self.unsure(now, true, Unmerged::Ambiguous, owners, acts);
        }
        self.release(self.at, owners, acts);
        let of = &mut self.plan.keys[self.at];
        (of.key, of.prints) = (of.narrow, Vec::new());
        self.ask(now, owners, acts);
    }

    /// Nobody says whether it may be delivered. `out`: the patience is over.
    fn unsure(&mut self, now: Micros, out: bool, why: Unmerged, owners: OwnersOf<'_>, acts: &mut Vec<Act>) {
        if !out {
            // Asked again with the next timer; what was granted stays so.
            return;
        }
        match self.plan.unsure {
            Unsure::Deliver => self.go_unmerged(now, why, acts),
            Unsure::Wait => self.wait(now, owners, acts),
            Unsure::HandBack => self.hand_back(now, owners, acts),
        }
    }

    /// Lets it go without a claim. Its end is told all the same, so that later variants find it.
    fn go_unmerged(&mut self, now: Micros, why: Unmerged, acts: &mut Vec<Act>) {
        self.unmerged = true;
        self.state = State::Delivering { renew: now + self.plan.lease / 3 };
        acts.push(Act::Unmerged(why));
    }

    fn wait(&mut self, now: Micros, owners: OwnersOf<'_>, acts: &mut Vec<Act>) {
        if !std::mem::replace(&mut self.waits, true) {
            acts.push(Act::Wait);
        }
        self.release(self.at, owners, acts);
        let pause = if self.unsure.is_some() { LOOKS.1 } else { LOOKS.0 };
        // Apart from others that wait for the same, since only one of them can have it.
        let spread = self.plan.handle.wrapping_mul(0x9E37_79B9).wrapping_add(u64::from(self.ballot) * 7_919);
        let apart = spread % pause;
        let pause = (pause << self.ballot.min(4)).min(LOOKS.1);
        self.state = State::Waiting { look: now + pause / 2 + apart / 2, pause };
    }
}
