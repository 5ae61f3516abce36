//! The permits that this relay holds for one service, and what it asks for.

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam_wire::Micros;

use crate::VALIDITY;
use crate::message::{GrantId, PermitMessage, Settled};

/// Before permits that did not come are asked for again.
const ASK_AGAIN: Micros = 250_000;
/// Before a home is told of permits that were used, if nothing else is to be told.
const TELL_WITHIN: Micros = 200_000;
/// Before permits that are not used are given back, for others to use.
const KEEP_UNUSED: Micros = 100_000;
/// The most that is asked for at a time.
const MOST_WANTED: usize = 256;

/// The right to send one request before `expires_at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    pub expires_at: Micros,
    grant: GrantId,
}

#[derive(Debug)]
struct Batch {
    expires_at: Micros,
    /// When it came, or one of it was used.
    last_used_at: Micros,
    left: u32,
    /// Taken, and not known to be sent yet.
    taken: u32,
    used: u32,
}

impl Batch {
    /// When it is over, if nothing of it is used until then. A permit that was taken and not sent before it expired never
    /// is.
    fn over_at(&self) -> Micros {
        let is_idle = self.taken == 0;
        let given_back_at = is_idle.then_some(self.last_used_at + KEEP_UNUSED);
        given_back_at.map_or(self.expires_at, |at| at.min(self.expires_at))
    }

    fn is_over(&self, now: Micros) -> bool {
        (self.left == 0 && self.taken == 0) || self.over_at() <= now
    }
}

/// The permits that this relay holds for one service.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    batches: BTreeMap<GrantId, Batch>,
    /// Grants that were seen, until a copy of them would have expired.
    seen: BTreeMap<GrantId, Micros>,
    demand: usize,
    asked: Option<(Micros, usize)>,
    settled: Vec<Settled>,
    settled_at: Option<Micros>,
}

impl Holder {
    pub(crate) fn set_demand(&mut self, demand: usize) {
        self.demand = demand;
    }

    /// Forgets what was asked, as there is another home.
    pub(crate) fn change_home(&mut self) {
        self.asked = None;
        self.settled.clear();
    }

    pub(crate) fn available(&self, now: Micros) -> usize {
        let good = self.batches.values().filter(|batch| batch.expires_at > now);
        good.map(|batch| batch.left as usize).sum()
    }

    pub(crate) fn take(&mut self, now: Micros) -> Option<Permit> {
        let good = self.batches.iter_mut().filter(|(_, batch)| batch.expires_at > now && batch.left > 0);
        let (grant, batch) = good.min_by_key(|(_, batch)| batch.expires_at)?;
        (batch.left, batch.taken) = (batch.left - 1, batch.taken + 1);
        Some(Permit { expires_at: batch.expires_at, grant: *grant })
    }

    /// Books that the request of a permit is sent now. Danger: told as used before it is sent, a permit would count in
    /// an earlier window than its request.
    pub(crate) fn sent(&mut self, permit: Permit, now: Micros) {
        if let Some(batch) = self.batches.get_mut(&permit.grant) {
            (batch.taken, batch.used) = (batch.taken.saturating_sub(1), batch.used + 1);
            batch.last_used_at = now;
        }
    }

    /// Takes back a permit that was not used.
    pub(crate) fn put_back(&mut self, permit: Permit) {
        if let Some(batch) = self.batches.get_mut(&permit.grant) {
            (batch.left, batch.taken) = (batch.left + 1, batch.taken.saturating_sub(1));
        }
    }

    pub(crate) fn receive(&mut self, sent_at: Micros, grant: GrantId, count: u32, now: Micros) {
        let expires_at = sent_at + VALIDITY;
        if expires_at <= now || self.seen.insert(grant, expires_at).is_some() {
            return;
        }
        let batch = Batch { expires_at, last_used_at: now, left: count, taken: 0, used: 0 };
        self.batches.insert(grant, batch);
        if let Some((_, asked)) = &mut self.asked {
            *asked = asked.saturating_sub(count as usize);
        }
    }

    /// Books grants of which nothing is left to use, and those that this relay gives back.
    fn settle(&mut self, now: Micros) {
        for (grant, batch) in self.batches.extract_if(.., |_, batch| batch.is_over(now)) {
            self.settled.push(Settled { grant, used: batch.used });
            self.settled_at.get_or_insert(now);
        }
    }

    /// The request to be sent now, if one is.
    pub(crate) fn ask(&mut self, service: &Arc<str>, life: u64, now: Micros) -> Option<PermitMessage> {
        self.settle(now);
        self.seen.retain(|_, expires_at| *expires_at > now);
        let wanted = self.demand.min(MOST_WANTED).saturating_sub(self.available(now));
        let asked = self.asked.filter(|(at, _)| at + ASK_AGAIN > now).map_or(0, |(_, asked)| asked);
        let tells = self.settled_at.is_some_and(|at| at + TELL_WITHIN <= now);
        if wanted <= asked && !tells {
            return None;
        }
        self.asked = (wanted > 0).then_some((now, wanted));
        self.settled_at = None;
        let (service, settled) = (service.clone(), std::mem::take(&mut self.settled));
        Some(PermitMessage::Request { service, life, sent_at: now, wanted: wanted as u32, settled })
    }

    /// When something is to be asked or told next.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        let again = self.asked.filter(|_| self.demand > 0).map(|(at, _)| at + ASK_AGAIN);
        let tell = self.settled_at.map(|at| at + TELL_WITHIN);
        let over = self.batches.values().map(Batch::over_at).min();
        [again, tell, over].into_iter().flatten().min()
    }
}
