//! The permits that this relay holds for one service, and its requests for more.

use std::collections::BTreeMap;
use std::sync::Arc;

use pewterseam_wire::Micros;

use crate::VALIDITY;
use crate::message::{GrantId, PermitMessage, Settled};

/// Time after which an unanswered request for permits is repeated.
const REQUEST_RETRY_INTERVAL: Micros = 250_000;
/// Maximum delay before the home receives settled grants, if no other request is sent.
const MAX_SETTLE_DELAY: Micros = 200_000;
/// Time after which unused permits are returned for other relays to use.
const UNUSED_TIMEOUT: Micros = 100_000;
/// Maximum number of permits requested at a time.
const MAX_REQUESTED: usize = 256;

/// The right to send one request before `expires_at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    pub expires_at: Micros,
    grant: GrantId,
}

#[derive(Debug)]
struct Batch {
    expires_at: Micros,
    /// When the batch was received, or one of its permits was last used.
    last_used_at: Micros,
    left: u32,
    /// Permits taken whose request is not sent yet.
    taken: u32,
    used: u32,
}

impl Batch {
    /// When the batch ends, if none of its permits are used until then. A permit that was taken but not sent before its
    /// expiry is never sent.
    fn ends_at(&self) -> Micros {
        let is_idle = self.taken == 0;
        let returned_at = is_idle.then_some(self.last_used_at + UNUSED_TIMEOUT);
        returned_at.map_or(self.expires_at, |at| at.min(self.expires_at))
    }

    fn has_ended(&self, now: Micros) -> bool {
        (self.left == 0 && self.taken == 0) || self.ends_at() <= now
    }
}

/// The permits that this relay holds for one service.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    batches: BTreeMap<GrantId, Batch>,
    /// Grants received, with the expiry up to which duplicates of them are ignored.
    seen: BTreeMap<GrantId, Micros>,
    demand: usize,
    requested: Option<(Micros, usize)>,
    settled: Vec<Settled>,
    settled_at: Option<Micros>,
}

impl Holder {
    pub(crate) fn set_demand(&mut self, demand: usize) {
        self.demand = demand;
    }

    /// Drops pending requests and settlements, because the home changed.
    pub(crate) fn change_home(&mut self) {
        self.requested = None;
        self.settled.clear();
    }

    pub(crate) fn available(&self, now: Micros) -> usize {
        let valid = self.batches.values().filter(|batch| batch.expires_at > now);
        valid.map(|batch| batch.left as usize).sum()
    }

    pub(crate) fn take(&mut self, now: Micros) -> Option<Permit> {
        let valid = self.batches.iter_mut().filter(|(_, batch)| batch.expires_at > now && batch.left > 0);
        let (grant, batch) = valid.min_by_key(|(_, batch)| batch.expires_at)?;
        (batch.left, batch.taken) = (batch.left - 1, batch.taken + 1);
        Some(Permit { expires_at: batch.expires_at, grant: *grant })
    }

    /// Books that the request of a permit is sent now. If a permit were reported as used before its request is sent, it
    /// would count in an earlier window than the request.
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
        if let Some((_, requested)) = &mut self.requested {
            *requested = requested.saturating_sub(count as usize);
        }
    }

    /// Settles grants that are used up or expired, and those that this relay returns.
    fn settle(&mut self, now: Micros) {
        for (grant, batch) in self.batches.extract_if(.., |_, batch| batch.has_ended(now)) {
            self.settled.push(Settled { grant, used: batch.used });
            self.settled_at.get_or_insert(now);
        }
    }

    /// The request that is due now, if any.
    pub(crate) fn next_request(
        &mut self, service: &Arc<str>, life: u64, now: Micros,
    ) -> Option<PermitMessage> {
        self.settle(now);
        self.seen.retain(|_, expires_at| *expires_at > now);
        let wanted = self.demand.min(MAX_REQUESTED).saturating_sub(self.available(now));
        let requested = self
            .requested
            .filter(|(at, _)| at + REQUEST_RETRY_INTERVAL > now)
            .map_or(0, |(_, requested)| requested);
        let is_settlement_due = self.settled_at.is_some_and(|at| at + MAX_SETTLE_DELAY <= now);
        if wanted <= requested && !is_settlement_due {
            return None;
        }
        self.requested = (wanted > 0).then_some((now, wanted));
        self.settled_at = None;
        let (service, settled) = (service.clone(), std::mem::take(&mut self.settled));
        Some(PermitMessage::Request { service, life, sent_at: now, wanted: wanted as u32, settled })
    }

    /// When the next request is due.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        let retry = self.requested.filter(|_| self.demand > 0).map(|(at, _)| at + REQUEST_RETRY_INTERVAL);
        let settle = self.settled_at.map(|at| at + MAX_SETTLE_DELAY);
        let batch_end = self.batches.values().map(Batch::ends_at).min();
        [retry, settle, batch_end].into_iter().flatten().min()
    }
}
