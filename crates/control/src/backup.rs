//! A way back when half of the core's disks or more are gone: the state that one log holds, taken out of it, and a log
//! made of it in which one member alone is the core.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use pewterseam_wire::frame;
use pewterseam_wire::placement::{Placement, hash};

use crate::agreed::{Agreed, ForcedEpoch};
use crate::core_membership::CoreMembership;
use crate::effect::ControlError;
use crate::entry::{CoreMember, Stamp};
use crate::storage::{Promised, Snapshot, encode, recover};

/// A forced epoch, its index and its placement lie so far above all that was seen that nothing the lost members may
/// have promised, agreed or placed reaches them.
const FENCE: u64 = 1 << 20;

/// The first bytes of a backup.
const MAGIC: &[u8; 4] = b"PWSB";
const DIGEST_BYTES: usize = 8;

/// What a control log holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateBackup {
    /// The highest epoch that the member promised.
    promised: u64,
    committed: Agreed,
    /// A later state that was accepted. It may have been agreed on.
    accepted: Option<Agreed>,
}

impl StateBackup {
    /// Takes the state out of a log. None where the log holds none.
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

    /// The bytes of a file.
    pub fn encode(&self) -> Bytes {
        let state = encode(self);
        let mut bytes = MAGIC.to_vec();
        bytes.extend(hash(&state, 0).to_le_bytes());
        bytes.extend(&state);
        bytes.into()
    }

    /// Reads what [`StateBackup::encode`] wrote. None where the bytes are no backup, or not a whole one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (digest, state) = bytes.strip_prefix(MAGIC)?.split_at_checked(DIGEST_BYTES)?;
        if hash(state, 0).to_le_bytes() != digest {
            return None;
        }
        frame::decode(state).ok()
    }

    /// The state to go on from: the one that was accepted last, as an election would take.
    pub fn newest(&self) -> &Agreed {
        self.accepted.as_ref().unwrap_or(&self.committed)
    }

    /// The newest state that this member knew to be agreed on.
    pub fn committed(&self) -> &Agreed {
        &self.committed
    }

    /// The snapshot of a log in which a member alone is the core, and the state in it.
    pub fn restored(&self, member: CoreMember) -> (Bytes, Agreed) {
        let newest = self.newest();
        let epoch = self.promised.max(newest.stamp.epoch) + FENCE;
        let stamp = Stamp { epoch, index: newest.stamp.index + FENCE };
        let mut agreed = newest.clone();
        agreed.forced.push(ForcedEpoch { stamp, from: newest.stamp });
        agreed.stamp = stamp;
        agreed.state.index = stamp.index;
        agreed.state.placement = fenced(&newest.state.placement).into();
        agreed.core = CoreMembership::new(vec![member]);
        agreed.last_leader = None;
        let promised = Promised { epoch, ..Promised::default() };
        let snapshot = Snapshot { promised, committed: agreed.clone(), accepted: None };
        (encode(&snapshot), agreed)
    }
}

fn fenced(placement: &Placement) -> Placement {
    let mut placement = placement.clone();
    if !placement.sets.is_empty() {
        placement.epoch.0 += FENCE;
    }
    placement
}
