//! The agreed state, and how entries change it.

use std::collections::VecDeque;
use std::sync::Arc;

use pewterseam_config::apply_patch;
use pewterseam_wire::control::{ConfigDocument, ControlState};
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::hash;
use serde::{Deserialize, Serialize};

use crate::effect::ControlError;
use crate::entry::{Change, Command, CoreMember, Entry, RequestId, Stamp};

/// So many accepted changes are remembered, so that a change that is sent again is acknowledged again.
const REMEMBERED_CHANGES: usize = 1000;

/// An operator's change that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AcceptedChange {
    pub request: RequestId,
    pub version: u64,
}

/// A state of the system that the core agrees on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    pub stamp: Stamp,
    /// The core. A majority of these makes this state committed.
    pub members: Arc<Vec<CoreMember>>,
    /// The leader that last began an epoch.
    pub last_leader: Option<NodeName>,
    /// What all processes use. Its index is the stamp's.
    pub state: ControlState,
    changes: Arc<VecDeque<AcceptedChange>>,
}

impl Agreed {
    /// The first state of a system whose core has these members.
    pub(crate) fn formed(members: Vec<CoreMember>) -> Self {
        let stamp = Stamp { epoch: 0, index: 1 };
        let state = ControlState { index: stamp.index, ..ControlState::default() };
        Agreed { stamp, members: Arc::new(members), state, ..Agreed::default() }
    }

    /// Whether these are more than half of the core.
    pub(crate) fn is_majority<'a>(&self, members: impl Iterator<Item = &'a CoreMember>) -> bool {
        let count = members.filter(|member| self.members.contains(member)).count();
        count * 2 > self.members.len()
    }

    /// The version that exactly this change led to, if it was accepted.
    pub(crate) fn version_of(&self, request: RequestId) -> Option<u64> {
        self.changes.iter().rev().find(|change| change.request == request).map(|change| change.version)
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
            Command::Core { members } => next.members = Arc::new(members.clone()),
            Command::Stores { placement, retiring, retired } => {
                next.state.placement = Arc::new(placement.clone());
                next.state.retiring.clone_from(retiring);
                next.state.retired.clone_from(retired);
            }
            Command::Configure { request, version, digest, change } => {
                let text = self.changed_text(change)?;
                if hash(&text, 0) != *digest {
                    return Err(ControlError::WrongDigest { index: entry.stamp.index });
                }
                next.state.config = Arc::new(ConfigDocument { version: *version, text });
                let changes = Arc::make_mut(&mut next.changes);
                changes.push_back(AcceptedChange { request: *request, version: *version });
                if changes.len() > REMEMBERED_CHANGES {
                    changes.pop_front();
                }
            }
        }
        Ok(next)
    }

    fn changed_text(&self, change: &Change) -> Result<bytes::Bytes, ControlError> {
        match change {
            Change::Whole(text) => Ok(text.clone()),
            Change::Patch(patch) => {
                let base: &[u8] = &self.state.config.text;
                let base = if base.is_empty() { EMPTY_DOCUMENT } else { base };
                apply_patch(base, patch).map_err(ControlError::Config)
            }
        }
    }
}

/// What a change is applied to before there is a configuration.
const EMPTY_DOCUMENT: &[u8] = br#"{"version":0,"routes":[],"backends":[]}"#;
