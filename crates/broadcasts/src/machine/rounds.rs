//! Reports, homes and proposals.

use std::collections::BTreeSet;

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::{MemberId, Severity, Ticket};

use super::{Effect, Machine};
use crate::detection::{SliceId, read, written};
use crate::lanes::Home;

impl Machine {
    /// Homes follow from who lives. A slice that comes anew begins with nothing known: more careful.
    pub(super) fn rehome(&mut self) {
        let me = self.config.me;
        let homes = self.slices.iter().map(|slice| (slice.id, slice.id.homes(&self.members)));
        self.homes_of = homes.collect();
        let mine = |id: &SliceId| self.homes_of.get(id).is_some_and(|homes| homes.contains(&me));
        self.homes.retain(|id, _| mine(id));
        let new: Vec<usize> = (0..self.slices.len())
            .filter(|at| mine(&self.slices[*at].id) && !self.homes.contains_key(&self.slices[*at].id))
            .collect();
        for at in new {
            let slice = &self.slices[at];
            let home = Home::new(slice, self.rules(slice));
            self.homes.insert(slice.id, home);
        }
    }

    pub(super) fn told(&mut self, from: MemberId, body: &[u8]) {
        match read(body) {
            // One that sees other members tells it to a relay that is no home here; the next round will do.
            Some(report) => {
                if let Some(home) = self.homes.get_mut(&report.slice) {
                    home.heard(from, &report);
                }
            }
            None => self.counted.unread += 1,
        }
    }

    pub(super) fn end_round(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.round += 1;
        self.next_round = now + self.config.round;
        let waiting = std::mem::take(&mut self.waiting);
        for (slice, entries) in self.tally.take(&waiting) {
            let homes = self.homes_of.get(&slice).cloned().unwrap_or_default();
            for body in written(slice, self.process, self.round, &entries) {
                for to in &homes {
                    if *to == self.config.me {
                        self.told(*to, &body);
                    } else {
                        self.counted.told_bytes += body.len() as u64;
                        out.push(Effect::Tell { to: Some(*to), body: body.clone() });
                    }
                }
            }
        }
        self.judge(now, out);
    }

    fn judge(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let mut causes = BTreeSet::new();
        for (slice, home) in &mut self.homes {
            let homes = self.homes_of.get(slice);
            let rank = homes.and_then(|homes| homes.iter().position(|home| *home == self.config.me));
            let in_force = self.table.of(*slice);
            let proposal = home.round(now, &self.members, rank.unwrap_or(0), &in_force);
            if let Some(cause) = home.common() {
                causes.insert(*slice);
                if !self.told.contains(slice) {
                    let line = format!(
                        "broadcasts: slice {} of group {:08x} has a common cause ({cause:?}), nobody is \
                        moved; look at what its subscribers share",
                        slice.number, slice.group.0
                    );
                    out.push(Effect::Log { severity: Severity::Warning, line });
                }
            }
            if let Some(proposal) = proposal {
                self.last_ticket += 1;
                let ticket = Ticket(self.last_ticket);
                self.proposals.insert(ticket);
                self.counted.proposed += 1;
                out.push(Effect::Propose { ticket, proposal });
            }
        }
        self.counted.common_causes += causes.len() as u64;
        self.told = causes;
    }
}
