//! Who owns keys: proposed when members come and go, and claims handed over when it changes.

use std::collections::BTreeMap;

use pewterseam_fleet::interface::{Decision, MemberId, Proposal, Severity};

use super::{Asking, Machine};
use crate::claims::{Ask, MOST_PAST, Past, Reply, Roster};
use crate::interface::Micros;
use crate::rules::Key;

const SECOND: Micros = 1_000_000;
/// Members are seen otherwise for so long before owners are replaced: most that are suspected come back.
const REPLACE: Micros = 3 * SECOND;
/// At the start of a fleet there is nobody to replace, and claims wait.
const FIRST: Micros = SECOND;
/// Between two changes of owners: restarts one after the other are few changes.
const BETWEEN: Micros = 5 * SECOND;
/// Clocks differ, and decisions take time to spread: claims count so much longer than they last.
const SLACK_S: u64 = 60;
/// An owner that did not hand over is asked again after this.
const HAND_AGAIN: Micros = 300_000;

/// What is being handed over to this process.
#[derive(Debug, Default)]
pub struct Handing {
    /// How far each has told, and when it is asked again.
    from: BTreeMap<MemberId, (Option<Key>, Micros)>,
    /// Since when the members are others than the owners.
    differs: Option<Micros>,
}

impl Handing {
    pub fn next(&self) -> Option<Micros> {
        self.from.values().map(|(_, again)| *again).min()
    }
}

impl Machine {
    pub(super) fn heed_roster(&mut self, now: Micros, decision: &Decision) {
        let Some(roster) = decision.read::<Roster>() else { return };
        self.counters.rosters += 1;
        self.handover.decided(now, decision.epoch, roster);
        (self.moved, self.handing) = (now, Handing::default());
        self.hand_over(now);
        for handle in self.messages.handles() {
            self.with_message(now, handle, |message, owners| message.moved(now, owners));
        }
    }

    /// Asks earlier owners for what they know.
    pub(super) fn hand_over(&mut self, now: Micros) {
        let mut wanted = self.handover.to_ask(now);
        wanted.retain(|of| self.members.lives(*of));
        self.handing.from.retain(|of, _| wanted.contains(of));
        for of in wanted {
            let (after, again) = self.handing.from.get(&of).copied().unwrap_or((None, now));
            if again <= now {
                self.ask_handover(now, of, after);
            }
        }
    }

    fn ask_handover(&mut self, now: Micros, of: MemberId, after: Option<Key>) {
        self.handing.from.insert(of, (after, now + HAND_AGAIN));
        let ticket = self.ticket();
        self.asking.insert(ticket, Asking::HandOver { of });
        let ask = Ask::HandOver { roster: self.handover.epoch(), after };
        self.ask(ticket, of, &ask);
    }

    pub(super) fn on_handed(&mut self, now: Micros, of: MemberId, reply: Option<Reply>) {
        let Some(Reply::HandOver { roster, incarnation, claims, next, complete }) = reply else { return };
        // Danger: what was told under an earlier roster may lack what was claimed since.
        if roster != self.handover.epoch() || !self.handing.from.contains_key(&of) {
            return;
        }
        for claim in claims {
            self.counters.claims_adopted += 1;
            if !self.table.adopt(now, claim) {
                self.counters.claims_refused += 1;
            }
        }
        match next {
            Some(key) => self.ask_handover(now, of, Some(key)),
            None => {
                self.handing.from.remove(&of);
                self.handover.told(now, (of, incarnation), complete);
            }
        }
    }

    /// Proposes other owners if the members have been others for a while.
    pub(super) fn look_roster(&mut self, now: Micros) {
        let roster = self.handover.roster();
        let seats = roster.seats_for(&self.members);
        if seats == roster.seats || seats.is_empty() {
            self.handing.differs = None;
            return;
        }
        let since = *self.handing.differs.get_or_insert(now);
        let first = self.handover.epoch().0 == 0;
        let pause = if first { FIRST } else { REPLACE };
        let rested = first || now >= self.moved + BETWEEN;
        if !rested || now < since + pause + self.rank() || self.proposed.roster() {
            return;
        }
        let age_s = (now.saturating_sub(self.moved) / SECOND) as u32;
        let longest = self.in_force.longest_window() + self.config.longest;
        let keep_s = ((longest / SECOND + SLACK_S) as u32).max(if first { 0 } else { roster.keep_s });
        let mut before = Vec::new();
        if !first {
            before.push(Past { epoch: self.handover.epoch(), seats: roster.seats.clone(), age_s: 0 });
        }
        let aged = roster.before.iter().map(|past| Past { age_s: past.age_s + age_s, ..past.clone() });
        before.extend(aged.filter(|past| past.age_s < keep_s));
        if before.len() > MOST_PAST {
            let line =
                format!("owners of claims changed {MOST_PAST} times within a window; the next change waits");
            return self.log(Severity::Warning, line);
        }
        let salt = if first { rand::Rng::random(&mut self.rng) } else { roster.salt };
        let grounds = format!("{} of {} owners are others", changed(&seats, &roster.seats), seats.len());
        let next = Roster { seats, salt, before, keep_s };
        let epoch = self.handover.epoch();
        let Ok(proposal) = Proposal::of(&next, grounds) else { return };
        self.propose(now, super::deciding::About::Roster, proposal.unless_after(epoch));
    }

    /// Members that see the same propose one after the other, and hardly ever two.
    pub(super) fn rank(&self) -> Micros {
        let before = self.members.living().take_while(|member| member.id < self.config.me).count();
        (before as Micros * 200_000).min(4 * SECOND)
    }
}

fn changed(now: &[crate::claims::Seat], before: &[crate::claims::Seat]) -> usize {
    now.iter().filter(|seat| !before.contains(seat)).count()
}
