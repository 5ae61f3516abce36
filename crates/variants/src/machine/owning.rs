//! Keys of the fleet that this relay owns.

use pewterseam_fleet::interface::{CallId, MOST_TOLD_BYTES, MemberId};

use super::Machine;
use super::told::Tell;
use crate::claims::{Ask, Item, Kept, Op, Outcome, Reply, Said};
use crate::interface::{Effect, Micros};
use crate::rules::Key;

/// Keys in one datagram: within the fleet's bound of what is told.
const MOST_LOOKS: usize = 11;
/// Claims looked at for one page of a handover, so that no step takes long.
const MOST_SCANNED: usize = 2_000;
/// Bytes of a page, about: below the fleet's bound of a call.
const PAGE_BYTES: usize = 256 * 1024;
/// After so long an owner speaks for keys of classes that may run twice, whatever it was not told.
const BOLD: Micros = 1_000_000;

impl Machine {
    pub(super) fn on_asked(&mut self, now: Micros, call: CallId, from: MemberId, body: &[u8]) {
        let reply = match postcard::from_bytes::<Ask>(body) {
            Ok(Ask::Claims { roster, rules, .. })
                if roster < self.handover.epoch() || rules < self.in_force.epoch() =>
            {
                Reply::Newer
            }
            Ok(Ask::Claims { roster, .. } | Ask::HandOver { roster, .. })
                if roster > self.handover.epoch() =>
            {
                Reply::Older
            }
            Ok(Ask::Claims { incarnation, items, .. }) => {
                let said = items.into_iter().map(|item| self.own(now, (from, incarnation), item));
                Reply::Claims(said.collect())
            }
            Ok(Ask::HandOver { roster, .. }) if roster < self.handover.epoch() => Reply::Newer,
            Ok(Ask::HandOver { after, .. }) => self.page(now, from, after),
            Err(_) => {
                self.counters.malformed += 1;
                return;
            }
        };
        match postcard::to_stdvec(&reply) {
            Ok(body) => self.effects.push(Effect::Reply { call, body }),
            Err(_) => self.counters.broken += 1,
        }
    }

    pub(super) fn take_item(&mut self, now: Micros, from: (MemberId, u32), item: Item) -> Outcome {
        let bold = matches!(&item.op, Op::Claim(op) if op.bold);
        let waited = now >= self.moved + BOLD;
        let ready = bold && waited && self.handover.epoch().0 > 0 || self.handover.is_ready(item.key);
        let members = &self.members;
        let lives = |holder: crate::claims::Holder| {
            let member = members.get(holder.member);
            member.is_none_or(|member| member.lives() && member.incarnation <= holder.incarnation)
        };
        let outcome = self.table.take(now, from, item, ready, lives);
        self.counters.claims_refused += u64::from(outcome.said == Said::Full);
        outcome
    }

    pub(super) fn tell_look(&mut self, to: MemberId, key: Key) {
        // With what is told already in this step, as far as it fits.
        for effect in self.effects.iter_mut().rev() {
            if let Effect::Tell { to: Some(of), body } = effect
                && *of == to
                && let Ok(Tell::Look(mut keys)) = postcard::from_bytes::<Tell>(body)
                && keys.len() < MOST_LOOKS
            {
                keys.push(key);
                *body = postcard::to_stdvec(&Tell::Look(keys)).unwrap_or_default();
                return;
            }
        }
        if let Ok(body) = postcard::to_stdvec(&Tell::Look(vec![key])) {
            debug_assert!(body.len() <= MOST_TOLD_BYTES, "a body that fits");
            self.effects.push(Effect::Tell { to: Some(to), body });
        }
    }

    /// What another owner has to know, behind a key.
    fn page(&self, now: Micros, to: MemberId, after: Option<Key>) -> Reply {
        let (mut claims, mut bytes, mut scanned, mut last) = (Vec::new(), 0, 0, None);
        for (key, claim) in self.table.behind(after) {
            if scanned == MOST_SCANNED || bytes >= PAGE_BYTES {
                return self.handed(claims, last);
            }
            scanned += 1;
            last = Some(key);
            if self.handover.wants(to, key) {
                bytes += 80 + claim.answer_bytes();
                claims.push(Kept::of(now, key, claim));
            }
        }
        self.handed(claims, None)
    }

    fn handed(&self, claims: Vec<Kept>, next: Option<Key>) -> Reply {
        let (roster, incarnation) = (self.handover.epoch(), self.config.incarnation);
        Reply::HandOver { roster, incarnation, claims, next, complete: self.handover.complete() }
    }
}
