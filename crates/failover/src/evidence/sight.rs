//! What the ends of calls say of a zone's hosts, with what confidence.

use super::tally::{SLOTS_A_ROUND, Tally, Windows};

/// How a zone's hosts look to somebody.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sight {
    /// Too little was seen.
    #[default]
    Unknown,
    Well,
    Ill,
}

/// Least part of failed calls, with confidence, that makes hosts ill. The first third of failing calls is
/// above it once some twenty were seen.
const ILL: f64 = 0.25;
/// Most part of failed calls, with confidence, at which hosts are well: between the two nothing changes.
const WELL: f64 = 0.2;
/// No verdict from fewer calls. Danger: two calls that fail by chance move a zone.
const LEAST: u32 = 6;
/// Slow answers count as failed by this part: they arrive, late.
const SLOW: f64 = 0.8;
/// Standard deviations of the interval.
const DEVIATIONS: f64 = 2.0;

/// Wilson's interval of a part that was seen `failed` times in `ended`.
pub fn wilson(failed: f64, ended: f64) -> (f64, f64) {
    if ended <= 0.0 {
        return (0.0, 1.0);
    }
    let (part, squared) = (failed / ended, DEVIATIONS * DEVIATIONS);
    let middle = part + squared / (2.0 * ended);
    let spread = DEVIATIONS * (part * (1.0 - part) / ended + squared / (4.0 * ended * ended)).sqrt();
    let whole = 1.0 + squared / ended;
    ((middle - spread) / whole, (middle + spread) / whole)
}

/// The sight by the shortest span that says anything with confidence: half a round, a round, all that is kept
/// where there are few calls. Where the hosts serve what they can, refusals are no trouble of theirs (`pressed`).
pub fn sight(windows: &Windows, pressed: bool) -> Sight {
    let round = windows.last(SLOTS_A_ROUND);
    let few = (1..LEAST).contains(&round.ended());
    let long = windows.long();
    let spans = [Some(windows.last(SLOTS_A_ROUND / 2)), Some(round), few.then_some(long)];
    for span in spans.into_iter().flatten() {
        match certain(&span, pressed) {
            Sight::Unknown => {}
            sure => return sure,
        }
    }
    Sight::Unknown
}

fn certain(tally: &Tally, pressed: bool) -> Sight {
    let refused = if pressed { 0 } else { tally.refused };
    let failed = f64::from(tally.failed() + refused) + SLOW * f64::from(tally.slow);
    let ended = f64::from(tally.ended() - tally.refused + refused);
    if ended < f64::from(LEAST) {
        return Sight::Unknown;
    }
    let (low, high) = wilson(failed, ended);
    match () {
        () if low >= ILL => Sight::Ill,
        () if high <= WELL => Sight::Well,
        () => Sight::Unknown,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(served: u32, silent: u32) -> Windows {
        let mut windows = Windows::default();
        windows.add(100, &Tally { served, silent, ..Tally::default() });
        windows
    }

    /// Danger: two calls that fail by chance are taken for a zone that is out, or thousands are needed.
    #[test]
    fn confidence_grows_by_calls_seen() {
        assert_eq!(sight(&seen(0, 2), false), Sight::Unknown);
        assert_eq!(sight(&seen(0, 6), false), Sight::Ill);
        assert_eq!(sight(&seen(4, 2), false), Sight::Unknown);
        assert_eq!(sight(&seen(200, 100), false), Sight::Ill);
        assert_eq!(sight(&seen(300, 15), false), Sight::Well);
    }

    /// Danger: a zone at its limit is moved away from, and the others are pushed over theirs.
    #[test]
    fn refusals_of_a_zone_that_serves_what_it_can_are_no_trouble() {
        let mut windows = Windows::default();
        windows.add(7, &Tally { served: 100, refused: 90, ..Tally::default() });
        assert_eq!(sight(&windows, true), Sight::Well);
        assert_eq!(sight(&windows, false), Sight::Ill);
    }

    /// Danger: what was seen long ago decides of now.
    #[test]
    fn windows_move_on() {
        let mut windows = seen(0, 50);
        windows.roll(100 + SLOTS_A_ROUND as u64);
        assert_eq!(windows.last(SLOTS_A_ROUND).ended(), 0);
        assert_eq!(windows.last(SLOTS_A_ROUND + 1).silent, 50);
        windows.roll(10_000);
        assert_eq!(windows.long().ended(), 0);
    }
}
