//! The control log's records on disk.

use bytes::Bytes;
use pewterseam_wire::frame;
use pewterseam_wire::identity::NodeName;
use serde::{Deserialize, Serialize};

use crate::agreed::Agreed;
use crate::effect::ControlError;
use crate::entry::{Entry, Stamp};

/// The highest epoch that was promised, and the candidate that it was promised to. An epoch is promised only once; the
/// candidate is stored only for people who read logs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Promised {
    pub epoch: u64,
    pub candidate: Option<NodeName>,
}

/// One record of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Record {
    Promised(Promised),
    /// The state after this entry was accepted.
    Entry(Entry),
    /// This state was accepted.
    State(Agreed),
    /// The state with this stamp is known to be committed. Not needed for safety; it gives the committed state after a
    /// restart without contact with the core.
    Committed(Stamp),
}

/// A snapshot that replaces the log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub promised: Promised,
    pub committed: Agreed,
    /// None if it is the committed state.
    pub accepted: Option<Agreed>,
}

/// The state recovered from a log.
#[derive(Default)]
pub(crate) struct Recovered {
    pub promised: Promised,
    pub accepted: Agreed,
    pub committed: Agreed,
    /// Bytes of the log records after the snapshot.
    pub log_bytes: usize,
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    // Encoding plain values into memory does not fail.
    frame::encode(value).map(Bytes::from).unwrap_or_default()
}

/// Recovers the state from a snapshot and the log records after it.
pub(crate) fn recover(snapshot: Option<&[u8]>, records: &[Bytes]) -> Result<Recovered, ControlError> {
    let snapshot: Snapshot = match snapshot {
        Some(bytes) => frame::decode(bytes).map_err(ControlError::Record)?,
        None => Snapshot::default(),
    };
    let accepted = snapshot.accepted.unwrap_or_else(|| snapshot.committed.clone());
    let log_bytes = records.iter().map(Bytes::len).sum();
    let mut recovered =
        Recovered { promised: snapshot.promised, accepted, committed: snapshot.committed, log_bytes };
    for bytes in records {
        let record: Record = frame::decode(bytes).map_err(ControlError::Record)?;
        match record {
            Record::Promised(promised) => recovered.promised = promised,
            Record::Entry(entry) => recovered.accepted = recovered.accepted.apply(&entry)?,
            Record::State(agreed) => recovered.accepted = agreed,
            Record::Committed(stamp) if stamp == recovered.accepted.stamp => {
                recovered.committed = recovered.accepted.clone();
            }
            Record::Committed(_) => {}
        }
        if recovered.accepted.stamp.epoch > recovered.promised.epoch {
            recovered.promised = Promised { epoch: recovered.accepted.stamp.epoch, candidate: None };
        }
    }
    Ok(recovered)
}
