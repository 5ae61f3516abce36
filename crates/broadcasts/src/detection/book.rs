//! What a home knows of a slice's subscribers: sums by subscriber and relay, which fade.

use std::collections::BTreeMap;

use pewterseam::interface::DestinationId;
use pewterseam_fleet::interface::MemberId;

use super::report::Report;
use super::slices::Slice;

/// Relays that are kept apart for one subscriber; the one heard longest ago goes first, and is counted. Three
/// zones with two relays each tell a path from a subscriber; more say nothing new of it.
const MOST_RELAYS: usize = 16;
/// What a round leaves of all before it. Of one call a round about six count at last; a slowness of ten times
/// that is over is below a doubling after seven rounds.
const FADE: f32 = 0.84;
/// Calls of a source that is forgotten.
const FORGOTTEN: f32 = 0.05;

/// What one relay saw of one subscriber.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    pub relay: MemberId,
    process: u32,
    round: u32,
    /// Faded counts.
    pub calls: f32,
    pub silent: f32,
    /// Of the logarithms of the service times in microseconds.
    pub sum: f32,
    /// Of the squares of their distances to the mean.
    pub within: f32,
    /// Slot time held, in seconds.
    pub held: f32,
    /// Age of the oldest waiting part at the last report, in seconds.
    pub lag: f32,
}

/// What was not taken as it came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Told a second time, or late.
    pub stale: u64,
    /// Of subscribers that the slice does not have: another file at the teller.
    pub foreign: u64,
    /// Sources that made room for others.
    pub made_room: u64,
}

#[derive(Clone, Debug)]
pub struct Book {
    by_subscriber: BTreeMap<DestinationId, Vec<Seen>>,
    heard: Heard,
}

impl Book {
    pub fn new(slice: &Slice) -> Self {
        let by_subscriber = slice.subscribers.iter().map(|of| (*of, Vec::new())).collect();
        Book { by_subscriber, heard: Heard::default() }
    }

    /// Takes what a relay told. A report told twice counts once.
    pub fn take(&mut self, from: MemberId, report: &Report) {
        for entry in &report.entries {
            let Some(sources) = self.by_subscriber.get_mut(&entry.destination) else {
                self.heard.foreign += 1;
                continue;
            };
            let known = sources.iter().position(|seen| seen.relay == from);
            let place = known.unwrap_or_else(|| {
                if sources.len() >= MOST_RELAYS {
                    self.heard.made_room += 1;
                    let least = |one: &Seen, other: &Seen| one.calls.total_cmp(&other.calls);
                    let least = sources.iter().enumerate().min_by(|one, other| least(one.1, other.1));
                    if let Some((place, _)) = least {
                        sources.swap_remove(place);
                    }
                }
                sources.push(Seen::new(from));
                sources.len() - 1
            });
            let seen = &mut sources[place];
            if known.is_some() && seen.process == report.process && seen.round >= report.round {
                self.heard.stale += 1;
                continue;
            }
            (seen.process, seen.round) = (report.process, report.round);
            let (calls, deviation) = (f32::from(entry.calls), f32::from(entry.deviation) / 64.0);
            if calls > 0.0 && seen.calls > 0.0 {
                let apart = entry.service.ln() as f32 - seen.sum / seen.calls;
                seen.within += apart * apart * seen.calls * calls / (seen.calls + calls);
            }
            seen.calls += calls;
            seen.silent += f32::from(entry.silent.min(entry.calls));
            seen.sum += calls * entry.service.ln() as f32;
            seen.within += calls * deviation * deviation;
            seen.held += entry.held.ln().exp() as f32 / 1e6;
            seen.lag = entry.lag.ln().exp() as f32 / 1e6;
        }
    }

    /// A round is over: what was seen counts for less.
    pub fn fade(&mut self) {
        for sources in self.by_subscriber.values_mut() {
            for seen in sources.iter_mut() {
                for sum in
                    [&mut seen.calls, &mut seen.silent, &mut seen.sum, &mut seen.within, &mut seen.held]
                {
                    *sum *= FADE;
                }
            }
            sources.retain(|seen| seen.calls > FORGOTTEN);
        }
    }

    pub fn subscribers(&self) -> impl Iterator<Item = (DestinationId, &[Seen])> {
        self.by_subscriber.iter().map(|(destination, seen)| (*destination, seen.as_slice()))
    }

    pub fn len(&self) -> usize {
        self.by_subscriber.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_subscriber.is_empty()
    }

    pub fn heard(&self) -> Heard {
        self.heard
    }

    /// Bytes held for the subscribers, without the tree's own.
    pub fn bytes(&self) -> usize {
        let sources = |seen: &Vec<Seen>| seen.capacity() * size_of::<Seen>();
        let own = size_of::<(DestinationId, Vec<Seen>)>();
        self.by_subscriber.values().map(|seen| own + sources(seen)).sum()
    }
}

impl Seen {
    fn new(relay: MemberId) -> Self {
        Seen {
            relay,
            process: 0,
            round: 0,
            calls: 0.0,
            silent: 0.0,
            sum: 0.0,
            within: 0.0,
            held: 0.0,
            lag: 0.0,
        }
    }
}
