//! What relays tell a slice's homes, in datagrams.

use pewterseam::interface::{DestinationId, Micros};
use pewterseam_fleet::interface::MOST_TOLD_BYTES;
use serde::{Deserialize, Serialize};

use super::slices::SliceId;

/// Steps of a doubling: a value is told within 4.5%, which is far below what makes a subscriber slow.
const STEPS: f64 = 8.0;
/// The least value told, in microseconds; a byte reaches 2^31.9 times as far.
const LEAST: f64 = 16.0;

/// A span on a logarithmic scale, in one byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Told(pub u8);

impl Told {
    pub fn of(span: Micros) -> Self {
        Told::of_ln((span.max(1) as f64).ln())
    }

    pub fn of_ln(ln: f64) -> Self {
        let steps = ((ln - LEAST.ln()) / std::f64::consts::LN_2 * STEPS).round();
        Told(steps.clamp(0.0, 255.0) as u8)
    }

    pub fn ln(self) -> f64 {
        f64::from(self.0) / STEPS * std::f64::consts::LN_2 + LEAST.ln()
    }
}

/// Of one subscriber, from one relay, in one round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub destination: DestinationId,
    /// Calls that ran to an answer or to the time-out; those turned away are not among them.
    pub calls: u16,
    /// Those of them without an answer.
    pub silent: u16,
    /// Calls that were turned away for a limit. Many of them show a low limit, not a slow subscriber.
    pub turned_away: u16,
    /// Mean of the logarithms of the service times.
    pub service: Told,
    /// Their standard deviation, in 64ths.
    pub deviation: u8,
    /// Time that slots were held for it, in sum.
    pub held: Told,
    /// Age of the oldest part that waits for it.
    pub lag: Told,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub slice: SliceId,
    /// Of the teller's process: rounds begin anew with it.
    pub process: u32,
    pub round: u32,
    pub entries: Vec<Entry>,
}

/// Bytes of a report's head at the most: group 5, number 3, process 5, round 5, count 1.
const HEAD: usize = 19;

/// The report's bytes, in as few datagrams as they fit into.
pub fn written(slice: SliceId, process: u32, round: u32, entries: &[Entry]) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut rest = entries;
    while !rest.is_empty() {
        let (mut bytes, mut count) = (HEAD, 0);
        for entry in rest {
            bytes += postcard::to_stdvec(entry).map_or(MOST_TOLD_BYTES, |bytes| bytes.len());
            if bytes > MOST_TOLD_BYTES {
                break;
            }
            count += 1;
        }
        let (now, later) = rest.split_at(count.max(1));
        let report = Report { slice, process, round, entries: now.to_vec() };
        datagrams.extend(postcard::to_stdvec(&report));
        rest = later;
    }
    datagrams
}

/// A report's bytes as they came; none for what is no report.
pub fn read(bytes: &[u8]) -> Option<Report> {
    postcard::from_bytes(bytes).ok()
}
