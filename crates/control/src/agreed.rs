//! The agreed state, and how log entries change it.

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

/// The number of accepted changes that are remembered, so that a change that is sent again gets the same answer again.
/// A day has hundreds of changes. [`Agreed::may_have_forgotten`] covers a change that is sent again after it was
/// forgotten.
const MAX_REMEMBERED_CHANGES: usize = 1000;

/// An operator's change that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AcceptedChange {
    pub request: RequestId,
    pub version: u64,
}

/// A record that an operator made one member the whole core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForcedEpoch {
    /// The state that the operator put in force.
    pub stamp: Stamp,
    /// The state from which it was made. Everything that was agreed on after that state is lost.
    pub from: Stamp,
}

/// A state of the system that the core agrees on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    pub stamp: Stamp,
    /// The core. This state is committed once a majority of the core has accepted it.
    pub core: CoreMembership,
    /// The leader of the newest epoch that has begun.
    pub last_leader: Option<NodeName>,
    /// The state that all processes use. Its index equals the index of the stamp.
    pub state: ControlState,
    changes: Arc<VecDeque<AcceptedChange>>,
    /// The version that resulted from the newest change that is no longer remembered; 0 if all are remembered.
    #[serde(default)]
    forgotten: u64,
    /// Epochs that an operator forced after disks of the core were lost.
    pub forced: Vec<ForcedEpoch>,
    /// The parsed configuration, to which changes are applied; parsed when it is first needed.
    #[serde(skip)]
    live: Live,
}

/// A cache of the parsed configuration. It is ignored when states are compared.
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
    pub(crate) fn initial(members: Vec<CoreMember>) -> Self {
        let stamp = Stamp { epoch: 0, index: 1 };
        let state = ControlState { index: stamp.index, ..ControlState::default() };
        Agreed { stamp, core: CoreMembership::new(members), state, ..Agreed::default() }
    }

    /// The version that resulted from exactly this change, if it was accepted and is remembered.
    pub(crate) fn version_of(&self, request: RequestId) -> Option<u64> {
        self.changes.iter().rev().find(|change| change.request == request).map(|change| change.version)
    }

    /// Whether a change on top of this version may have been accepted and is no longer remembered. At most one change
    /// on top of a version is ever accepted, and versions rise: an accepted change results in a version above its
    /// base, so it can be forgotten only if its base is below the newest forgotten version.
    pub(crate) fn may_have_forgotten(&self, if_match: u64) -> bool {
        if_match < self.forgotten
    }

    /// The state that results from an entry.
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
                let live = self.config_after(change)?;
                let text = live.text().clone();
                if hash(&text, 0) != *digest {
                    return Err(ControlError::WrongDigest { index: entry.stamp.index });
                }
                next.state.config = Arc::new(ConfigDocument { version: *version, text });
                next.live = Live(OnceLock::from(live));
                next.remember_change(AcceptedChange { request: *request, version: *version });
            }
        }
        Ok(next)
    }

    fn remember_change(&mut self, change: AcceptedChange) {
        let changes = Arc::make_mut(&mut self.changes);
        changes.push_back(change);
        if changes.len() > MAX_REMEMBERED_CHANGES
            && let Some(oldest) = changes.pop_front()
        {
            self.forgotten = oldest.version;
        }
    }

    /// The parsed configuration, to which changes are applied.
    pub(crate) fn live(&self) -> Result<Arc<LiveConfig>, ControlError> {
        if let Some(live) = self.live.0.get() {
            return Ok(live.clone());
        }
        let live = LiveConfig::read(self.state.config.text.clone())
            .map_err(|error| ControlError::Config(vec![error]))?;
        let live = Arc::new(live);
        Ok(self.live.0.get_or_init(|| live).clone())
    }

    /// The configuration that results from a change.
    fn config_after(&self, change: &Change) -> Result<Arc<LiveConfig>, ControlError> {
        let live = match change {
            Change::Whole(text) => LiveConfig::read(text.clone()).map_err(|error| vec![error]),
            Change::Patch(patch) => self.live()?.patched(patch),
        };
        live.map(Arc::new).map_err(ControlError::Config)
    }
}
