//! Whether a subscriber is slow, judged against its group.
//!
//! All is said of logarithms of service times: slow is a factor. A subscriber counts as slow if the least
//! that its mean may be, given the calls seen, is above the group's median by [`FACTOR`] and by
//! [`DEVIATIONS`] of the group's own spread. How many calls it gets, and how many are turned away for a
//! limit, has no part in it.

use std::collections::{BTreeMap, BTreeSet};

use pewterseam::interface::DestinationId;
use pewterseam_fleet::interface::{MemberId, Members};

use super::book::{Book, Seen};
use super::spread::{Spread, median};

/// So many times as slow as the median, at the least: below it a slow one hardly drags a broadcast.
const FACTOR: f64 = 3.0;
/// And so far outside of the group's own spread.
const DEVIATIONS: f64 = 3.0;
/// Standard errors that a mean is trusted within: one of 2,000 that are no slower than the bound is beyond
/// them.
const SURE: f64 = 3.3;
/// Half of the calls without an answer make a subscriber a silent one.
const SILENT: f32 = 0.5;
/// Deviation of one call: the least and the most believed, and what is taken until it is known. A call whose
/// time is exponential has 1.28.
const NOISE: (f64, f64, f64) = (0.15, 1.5, 1.0);
/// Subscribers that tell the deviation of one call, at the least, and faded calls of each: two in two rounds.
const ENOUGH_KNOWN: usize = 5;
const ENOUGH_CALLS: f64 = 1.6;
/// Subscribers over which a relay is judged itself, at the least.
const ENOUGH_SUBSCRIBERS: usize = 8;
/// All quartiles as many times as slow as before are a common cause.
const SHIFT: f64 = 2.0;
/// What a round adds to the memory of the quartiles: in calm, and in a common cause, which after some hundred
/// rounds is how the group is.
const MEMORY: (f64, f64) = (0.2, 0.005);

/// From the operator's file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The part of a slice that can be slow without being a common cause, from 0 to 1.
    pub most_slow: f64,
}

impl Limits {
    /// Slow ones among so many, at the most.
    pub fn most(self, subscribers: usize) -> usize {
        ((subscribers as f64 * self.most_slow) as usize).max(1)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Surely none of the slow.
    Fine,
    /// Too few calls to say either.
    Unsure,
    Slow {
        silent: bool,
    },
    /// Slow from one zone only: its path from there, not the subscriber.
    FromZone(String),
    /// Slow by one relay only.
    ByRelay(MemberId),
}

/// Why nobody in particular is slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommonCause {
    /// So many of so many are slow.
    Many { slow: usize, of: usize },
    /// The group serves so many times as slowly as before.
    Shifted { times: f64 },
}

/// What a round showed of a slice.
#[derive(Clone, Debug, PartialEq)]
pub struct Judgement {
    pub spread: Spread,
    pub common: Option<CommonCause>,
    /// Relays that are slow with all subscribers; what they saw is left out, since it
    /// can't be told from what they add.
    pub relays: Vec<MemberId>,
    /// Zones all of whose relays are.
    pub zones: Vec<String>,
    /// With the slot time that the fleet held for it (faded, in seconds), in the order of destinations.
    pub verdicts: Vec<(DestinationId, Verdict, f32)>,
}

/// Judges one slice, round by round.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    /// The quartiles as they were.
    before: Option<[f64; 3]>,
}

/// Faded calls and their sum.
#[derive(Clone, Copy, Default)]
struct Sum {
    calls: f64,
    sum: f64,
}

impl Sum {
    fn add(&mut self, seen: &Seen) {
        self.calls += f64::from(seen.calls);
        self.sum += f64::from(seen.sum);
    }

    fn mean(self) -> f64 {
        self.sum / self.calls
    }
}

/// Bounds that a mean is held against.
struct Bound {
    noise: f64,
    slow: f64,
}

impl Bound {
    /// True for slow, false for surely not.
    fn of(&self, sum: Sum) -> Option<bool> {
        if sum.calls <= 0.0 {
            return None;
        }
        let error = SURE * self.noise / sum.calls.sqrt();
        if sum.mean() - error > self.slow {
            return Some(true);
        }
        (sum.mean() + error < self.slow).then_some(false)
    }
}

impl Judge {
    /// None until the slice has been heard of. `apart` are subscribers in slow lanes: relays that serve them
    /// are not slow for it.
    pub fn round(
        &mut self, book: &Book, members: &Members, apart: &BTreeSet<DestinationId>, limits: Limits,
    ) -> Option<Judgement> {
        let ill = slow_relays(book, apart);
        let whole = |sources: &[Seen]| {
            let mut sum = Sum::default();
            sources.iter().filter(|seen| !ill.contains(&seen.relay)).for_each(|seen| sum.add(seen));
            sum
        };
        let means: Vec<f64> = book
            .subscribers()
            .map(|(_, of)| whole(of))
            .filter(|sum| sum.calls > 0.0)
            .map(Sum::mean)
            .collect();
        let spread = Spread::of(&means)?;
        let slow = spread.median + FACTOR.ln().max(DEVIATIONS * spread.deviation);
        let bound = Bound { noise: noise(book, &ill), slow };
        let verdict = |sources: &[Seen]| place(sources, whole(sources), &bound, members, &ill);
        let held = |sources: &[Seen]| sources.iter().map(|seen| seen.held).sum();
        let verdicts: Vec<_> =
            book.subscribers().map(|(id, sources)| (id, verdict(sources), held(sources))).collect();
        let common = self.common(&verdicts, &means, &spread, limits);
        Some(Judgement { spread, common, zones: whole_zones(&ill, book, members), relays: ill, verdicts })
    }

    fn common(
        &mut self, verdicts: &[(DestinationId, Verdict, f32)], means: &[f64], spread: &Spread, limits: Limits,
    ) -> Option<CommonCause> {
        let slow = verdicts.iter().filter(|(_, verdict, _)| matches!(verdict, Verdict::Slow { .. })).count();
        // Where most are slow the median is a slow one's, and the others are far below.
        let low = spread.median - FACTOR.ln().max(DEVIATIONS * spread.deviation);
        let low = means.iter().filter(|mean| **mean < low).count();
        let (most, of) = (limits.most(means.len()), means.len());
        let before = self.before.get_or_insert(spread.quartiles());
        let shift = spread.quartiles().into_iter().zip(*before).map(|(now, before)| now - before);
        let shift = shift.fold(f64::NEG_INFINITY, f64::max);
        let common = if slow > most {
            Some(CommonCause::Many { slow, of })
        } else if shift > SHIFT.ln() {
            Some(CommonCause::Shifted { times: shift.exp() })
        } else if low > most {
            Some(CommonCause::Many { slow: of - low, of })
        } else {
            None
        };
        let memory = if common.is_some() { MEMORY.1 } else { MEMORY.0 };
        before
            .iter_mut()
            .zip(spread.quartiles())
            .for_each(|(before, now)| *before += memory * (now - *before));
        common
    }
}

/// The deviation of one call, as the subscribers' median tells it.
fn noise(book: &Book, ill: &[MemberId]) -> f64 {
    let variance = |sources: &[Seen]| {
        let sources = || sources.iter().filter(|seen| !ill.contains(&seen.relay));
        let mut whole = Sum::default();
        sources().for_each(|seen| whole.add(seen));
        let apart = |seen: &Seen| {
            let apart = f64::from(seen.sum / seen.calls) - whole.mean();
            f64::from(seen.within) + f64::from(seen.calls) * apart * apart
        };
        let free = whole.calls - 1.0;
        // The median of a variance of few calls is below its mean (Wilson and Hilferty's cube).
        let low = (1.0 - 2.0 / (9.0 * free)).powi(3);
        (whole.calls >= ENOUGH_CALLS).then(|| sources().map(apart).sum::<f64>() / free / low)
    };
    let mut known: Vec<f64> = book.subscribers().filter_map(|(_, sources)| variance(sources)).collect();
    if known.len() < ENOUGH_KNOWN {
        return NOISE.2;
    }
    median(&mut known).unwrap_or(NOISE.2).max(0.0).sqrt().clamp(NOISE.0, NOISE.1)
}

/// Relays that are slow with all their subscribers.
fn slow_relays(book: &Book, apart: &BTreeSet<DestinationId>) -> Vec<MemberId> {
    let mut by_relay = BTreeMap::<MemberId, Vec<f64>>::new();
    for (_, sources) in book.subscribers().filter(|(of, _)| !apart.contains(of)) {
        for seen in sources {
            by_relay.entry(seen.relay).or_default().push(f64::from(seen.sum / seen.calls));
        }
    }
    by_relay.retain(|_, means| means.len() >= ENOUGH_SUBSCRIBERS);
    let medians: Vec<(MemberId, f64)> =
        by_relay.into_iter().filter_map(|(relay, mut means)| Some((relay, median(&mut means)?))).collect();
    let values: Vec<f64> = medians.iter().map(|(_, median)| *median).collect();
    let Some(spread) = Spread::of(&values) else { return Vec::new() };
    let slow = FACTOR.ln().max(DEVIATIONS * spread.deviation);
    medians.into_iter().filter(|(_, median)| *median > spread.median + slow).map(|(relay, _)| relay).collect()
}

/// Zones all of whose relays that are heard of are slow.
fn whole_zones(slow: &[MemberId], book: &Book, members: &Members) -> Vec<String> {
    let heard: BTreeSet<MemberId> =
        book.subscribers().flat_map(|(_, sources)| sources).map(|seen| seen.relay).collect();
    let mut zones = BTreeMap::<&str, bool>::new();
    for relay in heard {
        if let Some(member) = members.get(relay) {
            *zones.entry(member.zone.as_str()).or_insert(true) &= slow.contains(&relay);
        }
    }
    zones.into_iter().filter(|(_, all)| *all).map(|(zone, _)| zone.to_owned()).collect()
}

/// Slow from everywhere, from one zone or by one relay?
fn place(sources: &[Seen], whole: Sum, bound: &Bound, members: &Members, ill: &[MemberId]) -> Verdict {
    let mut zones = BTreeMap::<&str, Sum>::new();
    let (mut slow, mut fine) = (Vec::new(), 0);
    for seen in sources.iter().filter(|seen| !ill.contains(&seen.relay)) {
        let mut sum = Sum::default();
        sum.add(seen);
        match bound.of(sum) {
            Some(true) => slow.push(seen.relay),
            Some(false) => fine += 1,
            None => {}
        }
        let zone = members.get(seen.relay).map_or("", |member| member.zone.as_str());
        zones.entry(zone).or_default().add(seen);
    }
    let by_zone = |wanted| zones.iter().filter(move |(_, sum)| bound.of(**sum) == Some(wanted));
    if let (Some((zone, _)), 1, 1..) = (by_zone(true).next(), by_zone(true).count(), by_zone(false).count()) {
        let here = |relay: &MemberId| members.get(*relay).is_some_and(|member| member.zone == *zone);
        if slow.len() != 1 || sources.iter().filter(|seen| here(&seen.relay)).count() == 1 {
            return Verdict::FromZone((*zone).to_owned());
        }
    }
    if let ([relay], 1..) = (slow.as_slice(), fine) {
        return Verdict::ByRelay(*relay);
    }
    let silent: f32 = sources.iter().map(|seen| seen.silent).sum();
    match bound.of(whole) {
        Some(true) if fine == 0 => {
            Verdict::Slow { silent: f64::from(silent) > whole.calls * f64::from(SILENT) }
        }
        Some(false) if slow.is_empty() => Verdict::Fine,
        _ => Verdict::Unsure,
    }
}
