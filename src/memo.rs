//! Encoding of the messages between senders (peers). `src/brain` decides what they mean.
//!
//! A message has a version, a purpose, the destination, flags, the host if one is named, and figures. Numbers
//! are variable-length: seven bits to a byte, lowest first, since most are small and each byte has a price.

use crate::interface::{DestinationId, HostId, Micros};
use crate::state::{Report, RouteId};

const VERSION: u8 = 3;
/// Maximum length of an encoded number, in bytes.
const MAX_NUMBER_BYTES: usize = 4;
const STEPS_PER_PERMIT: f64 = 100.0;
/// A limit is encoded in tenths of a call per second.
const STEPS_PER_CALL: f64 = 10.0;

/// What a message says about one route or host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Record {
    pub destination: DestinationId,
    /// The host, where each host has a route of its own or where the message is about a host's health.
    pub host: Option<HostId>,
    /// The report on the round that is ending.
    pub report: Report,
    /// Whether the host answers again (true) or does not answer (false).
    pub up: Option<bool>,
    /// The sender requests the sum of the other senders' reports.
    pub asks: bool,
}

impl Record {
    /// A record about a host's health alone.
    pub fn of_host(destination: DestinationId, host: HostId, up: bool) -> Self {
        Record { destination, host: Some(host), up: Some(up), ..Record::default() }
    }

    /// A record about the wait that a route's destination demanded, in whole milliseconds.
    pub fn of_wait((destination, host): RouteId, wait: Micros) -> Self {
        let report = Report { used: wait as f64 / 1e3, ..Report::default() };
        Record { destination, host, report, ..Record::default() }
    }

    /// The wait that the record carries.
    pub fn wait(&self) -> Micros {
        (self.report.used * 1e3) as Micros
    }
}

/// What a peer message is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Purpose {
    /// A host's change of health, which can't wait for the end of the round.
    #[default]
    News,
    /// A home's decision on a host's health. The homes are the senders that collect the reports of a
    /// destination.
    Verdict,
    /// The sender's own report on a round.
    Round,
    /// The requested sum of the other senders' reports.
    Sums,
    /// A host's connection table was found full.
    Crowded,
    /// A route's destination demanded a wait, in milliseconds.
    Wait,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Memo {
    pub purpose: Purpose,
    pub record: Record,
}

fn write_number(bytes: &mut Vec<u8>, number: f64) {
    let mut left = number.clamp(0.0, f64::from((1u32 << (7 * MAX_NUMBER_BYTES)) - 1)).round() as u32;
    while left >= 128 {
        bytes.push(left as u8 | 128);
        left >>= 7;
    }
    bytes.push(left as u8);
}

fn read_number(bytes: &mut &[u8]) -> Option<f64> {
    let length = bytes.iter().take(MAX_NUMBER_BYTES).position(|byte| *byte < 128)? + 1;
    let (number, rest) = bytes.split_at(length);
    *bytes = rest;
    let number = number.iter().rev().fold(0u32, |sum, byte| sum << 7 | u32::from(byte & 127));
    Some(f64::from(number))
}

fn read_record(bytes: &mut &[u8]) -> Option<Record> {
    let destination = read_number(bytes)? as DestinationId;
    let (flags @ 0..=31, rest) = bytes.split_first()? else { return None };
    *bytes = rest;
    let mut host = None;
    if flags & 1 != 0 {
        let (id, rest) = bytes.split_first_chunk::<8>()?;
        host = Some(HostId(u64::from_be_bytes(*id)));
        *bytes = rest;
    }
    let asks = flags & 2 != 0;
    let up = (flags & 4 != 0).then_some(flags & 8 != 0);
    let mut record = Record { destination, host, up, asks, ..Record::default() };
    if flags & 16 != 0 {
        record.report = Report {
            senders: read_number(bytes)?,
            designated: read_number(bytes)? / STEPS_PER_PERMIT,
            full: read_number(bytes)? / STEPS_PER_PERMIT,
            spare: read_number(bytes)? / STEPS_PER_PERMIT,
            used: read_number(bytes)?,
            refused: read_number(bytes)?,
            limits: read_number(bytes)? / STEPS_PER_CALL,
            tellers: read_number(bytes)?,
        };
    }
    Some(record)
}

pub fn encode(memo: &Memo) -> Vec<u8> {
    let record = &memo.record;
    let mut bytes = vec![VERSION, memo.purpose as u8];
    write_number(&mut bytes, record.destination.into());
    let up = record.up.is_some();
    let flags = [record.host.is_some(), record.asks, up, record.up == Some(true), !up];
    bytes.push(flags.iter().rev().fold(0, |bits, flag| bits << 1 | u8::from(*flag)));
    bytes.extend(record.host.iter().flat_map(|host| host.0.to_be_bytes()));
    let report = record.report;
    let permits = [report.designated, report.full, report.spare].map(|permits| permits * STEPS_PER_PERMIT);
    let rest = [report.used, report.refused, report.limits * STEPS_PER_CALL, report.tellers];
    let figures = [report.senders].into_iter().chain(permits).chain(rest);
    for figure in figures.filter(|_| !up) {
        write_number(&mut bytes, figure);
    }
    bytes
}

/// Decodes untrusted bytes; returns `None` where any part is unknown, truncated or out of bounds.
pub fn decode(bytes: &[u8]) -> Option<Memo> {
    let [VERSION, purpose, rest @ ..] = bytes else { return None };
    let purposes =
        [Purpose::News, Purpose::Verdict, Purpose::Round, Purpose::Sums, Purpose::Crowded, Purpose::Wait];
    let purpose = *purposes.get(usize::from(*purpose))?;
    let mut rest = rest;
    let record = read_record(&mut rest)?;
    rest.is_empty().then_some(Memo { purpose, record })
}
