//! What a sender is told at its start.

use super::Micros;

/// What a repeated attempt may do at the destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat at will.
    Free,
    /// Repeats are dropped for `window`, counted from the first attempt that may have run.
    Guarded { window: Micros, group: Group },
    /// Must never run twice.
    SingleShot,
}

/// Which hosts of a destination share the memory of guarded messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub effect: Effect,
    /// Worth within the aim.
    pub value: f64,
    /// Share of the worth left at the deadline.
    pub late_share: f64,
    /// Full worth is earned within this span.
    pub aim: Micros,
    /// The span from first hand-in to the end.
    pub deadline: Micros,
    pub in_order: bool,
}

impl Class {
    /// Repeats are dropped only by hosts of one zone.
    pub fn is_zoned(&self) -> bool {
        matches!(self.effect, Effect::Guarded { group: Group::Zone, .. })
    }

    /// Worth of a message of this class that is answered at `age`.
    pub fn worth(&self, lateness: Lateness, age: Micros) -> f64 {
        if age >= self.deadline {
            return 0.0;
        }
        let late = age.saturating_sub(self.aim) as f64;
        let left = match lateness {
            Lateness::Linear => 1.0 - (1.0 - self.late_share) * late / (self.deadline - self.aim) as f64,
            Lateness::Halving => 0.5f64.powf(late / self.aim.max(1) as f64).max(self.late_share),
        };
        self.value * left
    }
}

/// How worth falls after the aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lateness {
    Linear,
    Halving,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Hosts are routes with a limit, a pace and outages of their own.
    pub routes_apart: bool,
    /// Messages that may travel in one call.
    pub bundle: usize,
}

/// A customer on whose behalf messages are sent.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Messages a second over all senders that earn full worth.
    pub quota_per_s: f64,
}

/// What the weight of a listed host says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Nothing.
    Silent,
    /// The calls a second that the route takes from all senders together.
    Nominal,
    /// The same, far from exact.
    Rough,
}

/// All that a sender is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    pub me: u16,
    /// Senders in this group, this one included.
    pub senders: u16,
    pub classes: Vec<Class>,
    pub kinds: Vec<Kind>,
    pub tenants: Vec<Tenant>,
    /// Share of the worth that is left of a message beyond its tenant's quota.
    pub over_share_worth: f64,
    pub lateness: Lateness,
    /// Calls that may be out at once.
    pub slots: usize,
    /// Messages that may be held, sent or not.
    pub most_held: usize,
    pub max_attempts: u32,
    pub may_tell: bool,
    /// Clients may be told when to come back, up to this span; 0 where they may not.
    pub max_retry_after: Micros,
    /// Idle connections close after this span.
    pub idle_close: Micros,
    /// A connection that takes longer to open counts as failed.
    pub connect_timeout: Micros,
    /// An end other than delivery reaches the client by a notice; `Event::Withdrawn` says when it has.
    pub ends_by_notice: bool,
    pub listing: Listing,
    /// The registry answers only when asked.
    pub ask_registry: bool,
    pub ask_within: Micros,
    pub drain_grace: Micros,
    /// Share of its capacity that a destination has at least when it returns.
    pub cold_share: f64,
    /// It has all of it after this span.
    pub cold_time: Micros,
    /// A cold destination sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this span falls over.
    pub overload_window: Micros,
    /// A key rests this long after an attempt that may still run.
    pub order_rest: Micros,
}
