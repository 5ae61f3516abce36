//! How far a member doubts itself, as in Lifeguard: who hears little takes its own word for less.

use crate::interface::Micros;

/// Highest doubt: all that the member waits for others takes nine times as long.
pub const MOST: u8 = 8;

#[derive(Clone, Copy, Debug, Default)]
pub struct Doubt {
    level: u8,
    /// When anything was last heard of anyone.
    heard: Micros,
}

impl Doubt {
    pub fn level(&self) -> u8 {
        self.level
    }

    /// A time that is waited for others, as long as the doubt makes it.
    pub fn stretch(&self, time: Micros) -> Micros {
        time * Micros::from(1 + self.level)
    }

    pub fn heard(&mut self, now: Micros) {
        self.heard = now;
    }

    /// Nothing came in for two probes: whoever is silent then, it may be this member that does not hear.
    pub fn deaf(&self, now: Micros, probe: Micros) -> bool {
        now > self.heard + 2 * probe
    }

    pub fn answered(&mut self) {
        self.level = self.level.saturating_sub(1);
    }

    /// A probe had no answer, not by way of others either. It speaks against the one who was asked, unless
    /// nobody at all is heard. Danger: a few members hear of each other once or twice in a probe's time, and when a
    /// third of them is cut off the others doubt themselves, ever more slowly look for who else is away, and find
    /// some only after the cut is over.
    pub fn unanswered(&mut self, now: Micros, probe: Micros) {
        if self.deaf(now, probe) {
            self.raise(1);
        }
    }

    /// Others suspected this member: it was slow to answer.
    pub fn suspected(&mut self) {
        self.raise(1);
    }

    /// The process did not run for so long.
    pub fn stalled(&mut self, late: Micros, probe: Micros) {
        self.raise((late / probe.max(1)).clamp(1, 4) as u8);
    }

    fn raise(&mut self, by: u8) {
        self.level = (self.level + by).min(MOST);
    }
}
