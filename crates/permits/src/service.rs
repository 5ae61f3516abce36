//! What a relay knows of one limited service.

use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

use crate::VALIDITY;
use crate::event::HomeEvent;
use crate::holder::Holder;
use crate::home::Home;
use crate::message::ClaimId;
use crate::ranking::ListedHome;
use crate::witness::Witness;

/// How long a ledger that was handed over is worth something. Shorter than any new home waits that has none.
const HANDED_VALIDITY: Micros = VALIDITY;

/// A limited service at one relay.
pub(crate) struct Service {
    pub(crate) rate: f64,
    pub(crate) holder: Holder,
    /// The home by the list of relays.
    pub(crate) listed: ListedHome,
    /// The home that is followed; another than the listed one while that one has not heard of the list.
    pub(crate) home: Option<NodeName>,
    /// Where this relay is the home.
    pub(crate) granting: Option<Home>,
    pub(crate) claim_at: Option<Micros>,
    /// How often the present claim was told.
    pub(crate) claims_made: u32,
    pub(crate) yielded: Option<Yielded>,
    /// When the home is taken from the list again.
    pub(crate) review_at: Option<Micros>,
    pub(crate) witness: Witness,
    /// The newest claim that this relay has heard, and whose it was.
    pub(crate) heard_claim: Option<(NodeName, ClaimId)>,
    /// For the log.
    pub(crate) events: Vec<HomeEvent>,
}

/// A place as home that was given up, and what the next home has to know of its permits.
pub(crate) struct Yielded {
    pub(crate) at: Micros,
    /// The stopping home that handed it over; none where this relay gave it up itself.
    pub(crate) handed_by: Option<NodeName>,
    /// The relay that was told, and for which claim; none while nobody has asked.
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
            granting: None,
            claim_at: None,
            claims_made: 0,
            yielded: None,
            review_at: None,
            witness: Witness::new(now),
            heard_claim: None,
            events: Vec::new(),
        }
    }

    /// The home of the list once `leaving` has left it.
    pub(crate) fn next_home<'a>(&self, relays: &'a [NodeName], leaving: &NodeName) -> Option<&'a NodeName> {
        self.listed.ranking().first(relays.iter().filter(|relay| *relay != leaving))
    }

    /// Another relay may have been home since: what this one knows as home is worth nothing.
    pub(crate) fn forget_home(&mut self, now: Micros) {
        self.end_granting(now);
        (self.home, self.yielded) = (None, None);
        self.witness = Witness::new(now);
    }

    /// Another relay denies that this one is the home: the one before has gone on. Not where that one has handed its place
    /// over: then this relay has the last word, and the next home is told of it.
    pub(crate) fn be_denied(&mut self, now: Micros, has_word: bool) {
        if self.granting.as_ref().is_some_and(|home| home.has_last_word(now)) {
            return self.leave_home(now, has_word);
        }
        self.witness.last_went_on(now);
        self.leave_home(now, false);
        self.yielded = None;
    }

    /// Whether this relay grants permits now, or would if it were asked.
    pub(crate) fn is_granting(&self, now: Micros) -> bool {
        self.granting.as_ref().is_some_and(|home| home.is_open(now))
    }

    /// Ends this relay's own time as home, if it is the home.
    fn end_granting(&mut self, now: Micros) -> Option<Home> {
        let mut home = self.granting.take()?;
        self.events.extend(home.end(now));
        Some(home)
    }

    /// Ends the time of the present home, in this relay's eyes. One that has waited in vain has granted nothing.
    pub(crate) fn leave_home(&mut self, now: Micros, has_word: bool) {
        let has_waited = self.granting.is_some() && !self.is_granting(now);
        if let Some(home) = self.home.take().filter(|_| !has_waited) {
            self.witness.ended(home, now);
        }
        let granting = self.end_granting(now);
        if let Some(mut home) = granting.filter(|home| home.is_open(now) && has_word) {
            let ledger = home.ledger(now);
            self.yielded = Some(Yielded { at: now, handed_by: None, to: None, ledger });
        }
    }

    /// What the home before this relay has handed over to it, if nobody else was told of it.
    pub(crate) fn take_handed_ledger(&mut self, now: Micros) -> Option<Vec<(u32, u32)>> {
        let last = self.witness.last();
        let is_good = |told: &mut Yielded| {
            told.handed_by.is_some()
                && told.handed_by.as_ref() == last
                && told.to.is_none()
                && now < told.at + HANDED_VALIDITY
        };
        self.yielded.take_if(is_good).map(|told| told.ledger)
    }

    /// The ledger for a claim, if this relay holds the last word on what was granted.
    ///
    /// Danger: of two that claim, only one may begin at once; and a home that nobody followed for long may have been
    /// followed by one that waited, which takes `wait` at the least. The same word told later is too much at worst.
    pub(crate) fn ledger_for(
        &mut self, claimant: (NodeName, ClaimId), now: Micros, wait: Micros,
    ) -> Option<Vec<(u32, u32)>> {
        let told = self.yielded.as_mut()?;
        let is_unclaimed = told.to.is_none();
        let validity = if told.handed_by.is_some() && is_unclaimed { HANDED_VALIDITY } else { wait };
        let is_his = is_unclaimed || told.to.as_ref() == Some(&claimant);
        if !is_his || now >= told.at + validity {
            return None;
        }
        told.to = Some(claimant);
        Some(told.ledger.clone())
    }
}
