//! State of one limited service at a relay.

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::VALIDITY;
use crate::event::HomeEvent;
use crate::history::HomeHistory;
use crate::holder::Holder;
use crate::home::Home;
use crate::message::ClaimId;
use crate::ranking::ListedHome;

/// How long a received handover ledger is valid. Shorter than the wait of any new home without a ledger.
const HANDOVER_VALIDITY: Micros = VALIDITY;

/// A limited service at one relay.
pub(crate) struct Service {
    pub(crate) rate: f64,
    pub(crate) holder: Holder,
    /// The home by the relay list.
    pub(crate) listed: ListedHome,
    /// The home that this relay follows. It differs from the listed home while that relay has an outdated list.
    pub(crate) home: Option<NodeName>,
    /// The home state, if this relay is the home.
    pub(crate) own_home: Option<Home>,
    pub(crate) claim_at: Option<Micros>,
    /// How often the current claim was sent.
    pub(crate) claims_made: u32,
    pub(crate) handover: Option<HandoverLedger>,
    /// When the home is chosen from the list again.
    pub(crate) review_at: Option<Micros>,
    pub(crate) history: HomeHistory,
    /// The latest claim that this relay received, with its sender.
    pub(crate) latest_claim: Option<(NodeName, ClaimId)>,
    /// Events that are not logged yet.
    pub(crate) events: Vec<HomeEvent>,
}

/// The ledger of a home that has ended, for the next home.
pub(crate) struct HandoverLedger {
    pub(crate) at: Micros,
    /// The stopping home that sent the ledger; `None` if this relay was the home.
    pub(crate) sent_by: Option<NodeName>,
    /// The relay and claim that received the ledger; `None` before the first claim.
    pub(crate) to: Option<(NodeName, ClaimId)>,
    pub(crate) ledger: Vec<(u32, u32)>,
}

impl Service {
    pub(crate) fn new(name: &str, rate: f64, relays: &[NodeName], now: Micros) -> Self {
        Service {
            rate,
            holder: Holder::default(),
            listed: ListedHome::new(name, relays),
            home: None,
            own_home: None,
            claim_at: None,
            claims_made: 0,
            handover: None,
            review_at: None,
            history: HomeHistory::new(now),
            latest_claim: None,
            events: Vec::new(),
        }
    }

    /// The home by the list without the relay `leaving`.
    pub(crate) fn next_home<'a>(&self, relays: &'a [NodeName], leaving: &NodeName) -> Option<&'a NodeName> {
        self.listed.ranking().first(relays.iter().filter(|relay| *relay != leaving))
    }

    /// Drops all state as home and about homes, because other relays may have been the home meanwhile.
    pub(crate) fn forget_home(&mut self, now: Micros) {
        self.end_granting(now);
        (self.home, self.handover) = (None, None);
        self.history = HomeHistory::new(now);
    }

    /// Ends the term as home after a denial, and assumes that the previous home continued to grant. If the previous home
    /// sent its ledger, this relay instead keeps a complete ledger for the next home.
    pub(crate) fn handle_denial(&mut self, now: Micros, has_core_lease: bool) {
        if self.own_home.as_ref().is_some_and(|home| home.has_complete_ledger(now)) {
            return self.leave_home(now, has_core_lease);
        }
        self.history.extend_last_home(now);
        self.leave_home(now, false);
        self.handover = None;
    }

    /// Whether this relay is the home and is open for requests.
    pub(crate) fn is_granting(&self, now: Micros) -> bool {
        self.own_home.as_ref().is_some_and(|home| home.is_open(now))
    }

    /// Ends the term of this relay as home, if it is the home.
    fn end_granting(&mut self, now: Micros) -> Option<Home> {
        let mut home = self.own_home.take()?;
        self.events.extend(home.end(now));
        Some(home)
    }

    /// Records that this relay no longer follows the current home. If this relay was the home and was still waiting to
    /// open, it granted nothing and is not recorded.
    pub(crate) fn leave_home(&mut self, now: Micros, has_core_lease: bool) {
        let was_waiting = self.own_home.is_some() && !self.is_granting(now);
        if let Some(home) = self.home.take().filter(|_| !was_waiting) {
            self.history.record_end(home, now);
        }
        let own_home = self.end_granting(now);
        if let Some(mut home) = own_home.filter(|home| home.is_open(now) && has_core_lease) {
            let ledger = home.ledger(now);
            self.handover = Some(HandoverLedger { at: now, sent_by: None, to: None, ledger });
        }
    }

    /// The ledger that the previous home sent to this relay, if no other relay received it.
    pub(crate) fn take_handed_ledger(&mut self, now: Micros) -> Option<Vec<(u32, u32)>> {
        let last = self.history.last();
        let is_valid = |handover: &mut HandoverLedger| {
            handover.sent_by.is_some()
                && handover.sent_by.as_ref() == last
                && handover.to.is_none()
                && now < handover.at + HANDOVER_VALIDITY
        };
        self.handover.take_if(is_valid).map(|handover| handover.ledger)
    }

    /// The ledger for a claim, if this relay has a complete one.
    ///
    /// Only one claimant may receive the ledger, or two homes would open at once. After `wait` the ledger is invalid, as
    /// another home may have waited that long and granted permits since. A repeated answer to the same claimant at worst
    /// counts permits for too long.
    pub(crate) fn ledger_for(
        &mut self, claimant: (NodeName, ClaimId), now: Micros, wait: Micros,
    ) -> Option<Vec<(u32, u32)>> {
        let handover = self.handover.as_mut()?;
        let is_unclaimed = handover.to.is_none();
        let validity = if handover.sent_by.is_some() && is_unclaimed { HANDOVER_VALIDITY } else { wait };
        let is_same_claimant = is_unclaimed || handover.to.as_ref() == Some(&claimant);
        if !is_same_claimant || now >= handover.at + validity {
            return None;
        }
        handover.to = Some(claimant);
        Some(handover.ledger.clone())
    }
}
