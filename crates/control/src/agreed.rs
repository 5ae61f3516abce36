//! The agreed state, and how entries change it.

use std::collections::{BTreeSet, VecDeque};
use std::sync::{Arc, OnceLock};

use pewterseam_config::LiveConfig;
use pewterseam_wire::control::{ConfigDocument, ControlState};
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::hash;
use serde::{Deserialize, Serialize};

use crate::core_membership::CoreMembership;
use crate::effect::ControlError;
use crate::entry::{Change, Command, CoreMember, Entry, RequestId, Stamp};

/// So many accepted changes are remembered, so that a change that is sent again is acknowledged again. A day has hundreds.
/// What becomes of one that is sent again later than that: see [`Agreed::may_have_forgotten`].
const REMEMBERED_CHANGES: usize = 1000;

/// An operator's change that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AcceptedChange {
    pub request: RequestId,
    pub version: u64,
}

/// That an operator made one member the whole core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForcedEpoch {
    /// The state that was put in place.
    pub stamp: Stamp,
    /// The one that it was made of. What had been agreed on after it is lost.
    pub from: Stamp,
}

/// A state of the system that the core agrees on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    pub stamp: Stamp,
    /// The core. A majority of it makes this state committed.
    pub core: CoreMembership,
    /// The leader that last began an epoch.
    pub last_leader: Option<NodeName>,
    /// What all processes use. Its index is the stamp's.
    pub state: ControlState,
    changes: Arc<VecDeque<AcceptedChange>>,
    /// The version that the newest change which is no longer remembered led to; 0 if all are.
    #[serde(default)]
    forgotten: u64,
    /// Epochs that an operator forced after disks of the core were lost.
    pub forced: Vec<ForcedEpoch>,
    /// The configuration in a form that changes apply to; made where it is needed.
    #[serde(skip)]
    live: Live,
}

/// What follows from the text of a configuration. It does not count when states are compared.
#[derive(Clone, Debug, Default)]
struct Live(OnceLock<Arc<LiveConfig>>);

impl PartialEq for Live {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Live {}

impl Agreed {
    /// The first state of a system whose core has these members.
    pub(crate) fn formed(members: Vec<CoreMember>) -> Self {
        let stamp = Stamp { epoch: 0, index: 1 };
        let state = ControlState { index: stamp.index, ..ControlState::default() };
        Agreed { stamp, core: CoreMembership::new(members), state, ..Agreed::default() }
    }

    /// The version that exactly this change led to, if it was accepted.
    pub(crate) fn version_of(&self, request: RequestId) -> Option<u64> {
        self.changes.iter().rev().find(|change| change.request == request).map(|change| change.version)
    }

    /// Whether a change on top of this version may have been accepted and be remembered no longer. Of all changes on top
    /// of one version at most one is ever accepted, and versions rise: it led to a version above its base, and that is
    /// among the forgotten ones only if the base is below the newest of these.
    pub(crate) fn may_have_forgotten(&self, if_match: u64) -> bool {
        if_match < self.forgotten
    }

    /// The state after an entry.
    pub(crate) fn apply(&self, entry: &Entry) -> Result<Agreed, ControlError> {
        if entry.previous != self.stamp || entry.stamp.index != self.stamp.index + 1 {
            return Err(ControlError::OutOfOrder { have: self.stamp, wanted: entry.previous });
        }
        let mut next = self.clone();
        next.stamp = entry.stamp;
        next.state.index = entry.stamp.index;
        match &entry.command {
            Command::Lead { leader } => next.last_leader = Some(leader.clone()),
            Command::Core { core } => next.core = core.clone(),
            Command::Stores { placement, retiring, retired } => {
                next.state.placement = Arc::new(placement.clone());
                next.state.retiring.clone_from(retiring);
                next.state.retired.clone_from(retired);
            }
            Command::Homes { joining, leaving } => {
                let staying = self.state.homes.iter().filter(|name| !leaving.contains(name));
                let homes: BTreeSet<&NodeName> = staying.chain(joining).collect();
                next.state.homes = Arc::new(homes.into_iter().cloned().collect());
            }
            Command::Configure { request, version, digest, change } => {
                let live = self.changed(change)?;
                let text = live.text().clone();
                if hash(&text, 0) != *digest {
                    return Err(ControlError::WrongDigest { index: entry.stamp.index });
                }
                next.state.config = Arc::new(ConfigDocument { version: *version, text });
                next.live = Live(OnceLock::from(live));
                next.remember(AcceptedChange { request: *request, version: *version });
            }
        }
        Ok(next)
    }

    fn remember(&mut self, change: AcceptedChange) {
        let changes = Arc::make_mut(&mut self.changes);
        changes.push_back(change);
        if changes.len() > REMEMBERED_CHANGES
            && let Some(oldest) = changes.pop_front()
        {
            self.forgotten = oldest.version;
        }
    }

    /// The configuration in a form that changes apply to.
    pub(crate) fn live(&self) -> Result<Arc<LiveConfig>, ControlError> {
        if let Some(live) = self.live.0.get() {
            return Ok(live.clone());
        }
        let live = LiveConfig::read(self.state.config.text.clone())
            .map_err(|error| ControlError::Config(vec![error]))?;
        let live = Arc::new(live);
        Ok(self.live.0.get_or_init(|| live).clone())
    }

    /// The configuration after a change.
    fn changed(&self, change: &Change) -> Result<Arc<LiveConfig>, ControlError> {
        let live = match change {
            Change::Whole(text) => LiveConfig::read(text.clone()).map_err(|error| vec![error]),
            Change::Patch(patch) => self.live()?.patched(patch),
        };
        live.map(Arc::new).map_err(ControlError::Config)
    }
}
