//! Disaster recovery after half of the core's disks or more are lost: extracts the state that one log holds, and makes
//! a log from it in which a single member is the whole core.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use pewterseam_wire::frame;
use pewterseam_wire::placement::{Placement, hash};

use crate::agreed::{Agreed, ForcedEpoch};
use crate::core_membership::CoreMembership;
use crate::effect::ControlError;
use crate::entry::{CoreMember, Stamp};
use crate::storage::{Promised, Snapshot, encode, recover};

/// Added to the epoch, the index and the placement epoch of a forced state, so that they exceed everything that the
/// lost members may have promised, agreed on or placed.
const FORCED_OFFSET: u64 = 1 << 20;

/// The first bytes of a backup file.
const MAGIC: &[u8; 4] = b"PWSB";
const DIGEST_BYTES: usize = 8;

/// The state extracted from a control log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateBackup {
    /// The highest epoch that the member promised.
    promised: u64,
    committed: Agreed,
    /// A later state that was accepted. It may have been committed.
    accepted: Option<Agreed>,
}

impl StateBackup {
    /// Extracts the state from a log. None if the log holds no state.
    pub fn of_log(snapshot: Option<&[u8]>, records: &[Bytes]) -> Result<Option<Self>, ControlError> {
        let recovered = recover(snapshot, records)?;
        let is_later = recovered.accepted.stamp > recovered.committed.stamp;
        let backup = StateBackup {
            promised: recovered.promised.epoch,
            committed: recovered.committed,
            accepted: is_later.then_some(recovered.accepted),
        };
        Ok((!backup.newest().core.is_empty()).then_some(backup))
    }

    /// Encodes the backup as the bytes of a file.
    pub fn encode(&self) -> Bytes {
        let state = encode(self);
        let mut bytes = MAGIC.to_vec();
        bytes.extend(hash(&state, 0).to_le_bytes());
        bytes.extend(&state);
        bytes.into()
    }

    /// Decodes the output of [`StateBackup::encode`]. None if the bytes are not a complete backup.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (digest, state) = bytes.strip_prefix(MAGIC)?.split_at_checked(DIGEST_BYTES)?;
        if hash(state, 0).to_le_bytes() != digest {
            return None;
        }
        frame::decode(state).ok()
    }

    /// The state to restore: the last accepted one, which an election would choose as well.
    pub fn newest(&self) -> &Agreed {
        self.accepted.as_ref().unwrap_or(&self.committed)
    }

    /// The newest state that this member knew to be committed.
    pub fn committed(&self) -> &Agreed {
        &self.committed
    }

    /// Makes the snapshot of a log in which a single member is the whole core, and returns it with the state in it.
    pub fn restored(&self, member: CoreMember) -> (Bytes, Agreed) {
        let newest = self.newest();
        let epoch = self.promised.max(newest.stamp.epoch) + FORCED_OFFSET;
        let stamp = Stamp { epoch, index: newest.stamp.index + FORCED_OFFSET };
        let mut agreed = newest.clone();
        agreed.forced.push(ForcedEpoch { stamp, from: newest.stamp });
        agreed.stamp = stamp;
        agreed.state.index = stamp.index;
        agreed.state.placement = with_forced_epoch(&newest.state.placement).into();
        agreed.core = CoreMembership::new(vec![member]);
        agreed.last_leader = None;
        let promised = Promised { epoch, ..Promised::default() };
        let snapshot = Snapshot { promised, committed: agreed.clone(), accepted: None };
        (encode(&snapshot), agreed)
    }
}

fn with_forced_epoch(placement: &Placement) -> Placement {
    let mut placement = placement.clone();
    if !placement.sets.is_empty() {
        placement.epoch.0 += FORCED_OFFSET;
    }
    placement
}
