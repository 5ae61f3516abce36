//! What senders did on a route in a round.

use std::ops::Add;

/// What one sender, or several added up, did on a route in a round, in permits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub senders: f64,
    pub designated: f64,
    /// Permits designated to senders that used all of theirs.
    pub full: f64,
    /// Permits that the other senders left unused.
    pub spare: f64,
    pub used: f64,
    pub refused: f64,
    /// Sum of the limits that answers gave in the round, in calls per second, and how many senders received
    /// one.
    pub limits: f64,
    pub tellers: f64,
}

impl Report {
    /// Mean of the limits that the senders received.
    pub fn limit(&self) -> Option<f64> {
        (self.tellers > 0.0).then(|| self.limits / self.tellers)
    }

    /// What a stopping sender reports: the permits that it used, and no claim to any more.
    pub fn at_stop(self) -> Self {
        Report { used: self.used, refused: self.refused, ..Report::default() }
    }

    /// What is assumed of a sender whose report is out of date: it used nothing since.
    pub fn idle(self) -> Self {
        let Report { senders, designated, .. } = self;
        Report { senders, designated, spare: designated, ..Report::default() }
    }
}

impl Add for Report {
    type Output = Report;

    fn add(self, other: Report) -> Report {
        Report {
            senders: self.senders + other.senders,
            designated: self.designated + other.designated,
            full: self.full + other.full,
            spare: self.spare + other.spare,
            used: self.used + other.used,
            refused: self.refused + other.refused,
            limits: self.limits + other.limits,
            tellers: self.tellers + other.tellers,
        }
    }
}
