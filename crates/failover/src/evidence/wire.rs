//! What members tell each other, in postcard's format, and its way into datagrams.

use pewterseam_fleet::interface::MOST_TOLD_BYTES;
use serde::{Deserialize, Serialize};

use super::tally::Tally;
use crate::interface::{DestinationId, ZoneKey};

/// What one member tells another. New kinds come last; one that is not known is counted and does no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// To the destination's homes: what was seen since it was last told.
    Seen(Vec<Record>),
    /// A home's word to all.
    Word(Word),
    /// A home asks a member of its own zone to probe.
    Look { destination: DestinationId, zone: ZoneKey, calls: u8 },
}

/// What a relay saw of a destination.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub destination: DestinationId,
    /// Slots that it is of: those since the destination was told of last.
    pub slots: u8,
    /// Messages handed in.
    pub handed: u32,
    pub calls: Vec<Calls>,
}

/// What became of calls to the hosts of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    pub zone: ZoneKey,
    pub tally: Tally,
    /// In tenths of a call a second.
    pub limit: Option<u32>,
}

/// How much less than decided other zones' callers may give a zone's hosts, or its own may come back to them.
/// It only ever takes away, and is void after some rounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    pub destination: DestinationId,
    pub host: ZoneKey,
    /// In thousandths.
    pub scale: u16,
}

/// Zones in one record, so that each fits into a datagram.
const MOST_CALLS: usize = 6;

/// Puts records into as few bodies as they fit in, in their order, `most` at the most; how many were left out.
pub fn pack(records: Vec<Record>, most: usize) -> (Vec<Vec<u8>>, usize) {
    let split = records.into_iter().flat_map(|record| {
        let Record { destination, slots, handed, calls } = record;
        let more = calls.chunks(MOST_CALLS).enumerate();
        let parts: Vec<Record> = more
            .map(|(at, calls)| Record {
                destination,
                slots,
                handed: if at == 0 { handed } else { 0 },
                calls: calls.to_vec(),
            })
            .collect();
        if parts.is_empty() { vec![Record { destination, slots, handed, calls }] } else { parts }
    });
    let (mut bodies, mut left_out) = (Vec::new(), 0);
    let mut open: Vec<Record> = Vec::new();
    let bytes = |records: &[Record]| postcard::to_stdvec(&Said::Seen(records.to_vec())).unwrap_or_default();
    for record in split {
        if bodies.len() >= most {
            left_out += 1;
            continue;
        }
        open.push(record);
        if bytes(&open).len() > MOST_TOLD_BYTES
            && let Some(last) = open.pop()
        {
            bodies.push(bytes(&open));
            open = vec![last];
        }
    }
    if bodies.len() < most && !open.is_empty() {
        bodies.push(bytes(&open));
    } else {
        left_out += open.len();
    }
    (bodies, left_out)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Danger: a body that is too long is dropped by the fleet, and with it all that it tells.
    #[test]
    fn bodies_fit_into_datagrams_whatever_is_told() {
        let tally = Tally { served: u32::MAX, silent: u32::MAX, refused: u32::MAX, ..Tally::default() };
        let calls = Calls { zone: ZoneKey(u32::MAX), tally, limit: Some(u32::MAX) };
        let record =
            |destination| Record { destination, slots: u8::MAX, handed: u32::MAX, calls: vec![calls; 16] };
        let (bodies, left_out) = pack((0..40).map(|at| u32::MAX - at).map(record).collect(), 1000);
        assert!(bodies.iter().all(|body| body.len() <= MOST_TOLD_BYTES && !body.is_empty()));
        let heard = bodies.iter().filter_map(|body| postcard::from_bytes::<Said>(body).ok());
        let zones: usize = heard
            .map(|said| match said {
                Said::Seen(records) => records.iter().map(|record| record.calls.len()).sum(),
                _ => 0,
            })
            .sum();
        assert_eq!((zones, left_out), (40 * 16, 0));
    }
}
