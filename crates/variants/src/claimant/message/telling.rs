//! How a message is given back, and its end told to the owners of its keys.

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::MemberId;

use super::{Act, Message, OwnersOf, State};
use crate::claimant::Use;
use crate::claims::{End, Item, Op};

/// What is to be noted is said again until two owners have noted it, so often.
const MOST_TOLD: u32 = 12;
const TELL_AGAIN: Micros = 250_000;

impl Message {
    /// Gives up what some owners may have granted of a key.
    pub(super) fn release(&self, at: usize, owners: OwnersOf<'_>, acts: &mut Vec<Act>) {
        let Some(of) = self.plan.keys.get(at).filter(|_| self.may_free()) else { return };
        let item = Item { key: of.key, handle: self.plan.handle, ballot: self.ballot, op: Op::Release };
        acts.extend(owners(of.key).into_iter().map(|to| Act::Ask { to, item: item.clone() }));
    }

    /// Whether some owner may have granted what is given up now, and may forget it. Danger: what an earlier
    /// process delivered may have run.
    pub(super) fn may_free(&self) -> bool {
        let granted = match &self.state {
            State::Asking { round, .. } => round.may_hold(),
            _ => true,
        };
        granted && (self.plan.bold() || !self.plan.resumed)
    }

    pub(super) fn hand_back(&mut self, now: Micros, owners: OwnersOf<'_>, acts: &mut Vec<Act>) {
        acts.push(Act::HandBack { after: self.plan.retry });
        self.over(now, None, owners, acts);
    }

    /// It is not delivered by this relay: keys that it holds are given up, or told the end of the other.
    pub(super) fn over(&mut self, now: Micros, end: Option<End>, owners: OwnersOf<'_>, acts: &mut Vec<Act>) {
        let window_s = self.plan.window_s;
        let op = end.filter(|_| self.at > 0).map_or(Op::Release, |end| Op::End { end, window_s });
        self.plan.keys.truncate(self.at + 1);
        if op == Op::Release && !(self.may_free() || self.at > 0) || self.plan.resumed && !self.plan.bold() {
            self.state = State::Over;
            return;
        }
        acts.extend(self.finish(now, op, owners));
    }

    pub(super) fn renew(&mut self, now: Micros, owners: OwnersOf<'_>, acts: &mut Vec<Act>) {
        self.state = State::Delivering { renew: now + self.plan.lease / 3 };
        // What has no claim has none to renew.
        if self.unmerged {
            return;
        }
        for at in 0..self.plan.keys.len() {
            let item = self.claim(now, at);
            acts.extend(owners(item.key).into_iter().map(|to| Act::Ask { to, item: item.clone() }));
        }
    }

    pub(super) fn tell(&mut self, now: Micros, owners: OwnersOf<'_>, acts: &mut Vec<Act>) {
        let State::Telling { op, noted, again, told } = &mut self.state else { return };
        *told += 1;
        *again = now + TELL_AGAIN;
        for (of, noted) in self.plan.keys.iter().zip(noted.iter()) {
            let item = Item { key: of.key, handle: self.plan.handle, ballot: self.ballot, op: op.clone() };
            let missing = owners(of.key).into_iter().filter(|owner| !noted.contains(owner));
            acts.extend(missing.map(|to| Act::Ask { to, item: item.clone() }));
        }
        let releases = *op == Op::Release;
        // A release that is lost costs others a lease; an end that is lost costs them the answer.
        if *told >= if releases { 2 } else { MOST_TOLD } || acts.is_empty() {
            self.state = State::Over;
        }
    }

    pub(super) fn told(&mut self, owners: OwnersOf<'_>) {
        let State::Telling { noted, .. } = &self.state else { return };
        let all = |(of, noted): (&Use, &Vec<MemberId>)| owners(of.key).iter().all(|of| noted.contains(of));
        if self.plan.keys.iter().zip(noted).all(all) {
            self.state = State::Over;
        }
    }
}
