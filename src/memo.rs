//! The bytes of a peer message. What they mean for a sender is decided in `brain.rs`.

use crate::interface::{DestinationId, HostId, Micros};
use crate::state::Report;

const VERSION: u8 = 1;
/// Largest size of a peer message in bytes.
const MOST: usize = 256;
const PER_PERMIT: f64 = 100.0;
const PER_MILLI: Micros = 1000;

/// What one sender tells of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Record {
    pub destination: DestinationId,
    /// The host, where routes are apart.
    pub host: Option<HostId>,
    /// The round that ends.
    pub report: Report,
    /// No host of the route is thought to answer.
    pub ailing: bool,
    /// What is left of a wait that was told.
    pub wait: Micros,
}

/// A peer message: at the end of a `round`, or in between for what can't wait.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Memo {
    pub round: bool,
    pub records: Vec<Record>,
}

/// The message as bytes, with as many of the first records as fit.
pub fn encode(memo: &Memo) -> Vec<u8> {
    let mut bytes = vec![VERSION, u8::from(memo.round)];
    for record in &memo.records {
        let Ok(destination) = u16::try_from(record.destination) else { continue };
        let mut part = destination.to_be_bytes().to_vec();
        part.push(u8::from(record.host.is_some()) | u8::from(record.ailing) << 1);
        part.extend(record.host.iter().flat_map(|host| host.0.to_be_bytes()));
        part.extend(((record.report.designated * PER_PERMIT) as u16).to_be_bytes());
        part.extend([record.report.used as u8, record.report.refused as u8]);
        part.extend(u16::try_from(record.wait / PER_MILLI).unwrap_or(u16::MAX).to_be_bytes());
        if bytes.len() + part.len() <= MOST {
            bytes.extend(part);
        }
    }
    bytes
}

/// Reads untrusted bytes; none where any of them is unknown, cut short or out of bounds.
pub fn decode(bytes: &[u8]) -> Option<Memo> {
    let [VERSION, round @ 0..=1, rest @ ..] = bytes else { return None };
    if bytes.len() > MOST {
        return None;
    }
    let mut memo = Memo { round: *round == 1, records: Vec::new() };
    let mut rest = rest;
    while !rest.is_empty() {
        let [d0, d1, flags @ 0..=3, tail @ ..] = rest else { return None };
        let (host, tail) = match tail.split_first_chunk::<8>() {
            Some((host, tail)) if flags & 1 != 0 => (Some(HostId(u64::from_be_bytes(*host))), tail),
            None if flags & 1 != 0 => return None,
            _ => (None, tail),
        };
        let [p0, p1, used, refused, w0, w1, tail @ ..] = tail else { return None };
        memo.records.push(Record {
            destination: u16::from_be_bytes([*d0, *d1]).into(),
            host,
            report: Report {
                designated: f64::from(u16::from_be_bytes([*p0, *p1])) / PER_PERMIT,
                used: f64::from(*used),
                refused: f64::from(*refused),
            },
            ailing: flags & 2 != 0,
            wait: Micros::from(u16::from_be_bytes([*w0, *w1])) * PER_MILLI,
        });
        rest = tail;
    }
    Some(memo)
}
