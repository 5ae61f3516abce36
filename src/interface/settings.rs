//! Settings that a sender receives at its start.

use super::Micros;

/// What a repeated attempt may do at the destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated any number of times.
    Free,
    /// The destination drops repeats for `window`, counted from the first attempt that may have run.
    Guarded { window: Micros, group: Group },
    /// Must never run twice.
    SingleShot,
}

/// Which hosts of a destination share the deduplication memory for guarded messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub effect: Effect,
    /// Value of a message that is answered within the aim.
    pub value: f64,
    /// Share of the value left at the deadline.
    pub late_share: f64,
    /// Target time: an answer within this span earns the full value.
    pub target_latency: Micros,
    /// Span from the first submission to the deadline.
    pub deadline: Micros,
    pub in_order: bool,
}

impl Class {
    /// Whether only the hosts of one zone drop repeats.
    pub fn is_zoned(&self) -> bool {
        matches!(self.effect, Effect::Guarded { group: Group::Zone, .. })
    }

    /// Value of a message of this class that is answered at `age`.
    pub fn value_at(&self, value_decay: ValueDecay, age: Micros) -> f64 {
        if age >= self.deadline {
            return 0.0;
        }
        let late = age.saturating_sub(self.target_latency) as f64;
        let left = match value_decay {
            ValueDecay::Linear => {
                1.0 - (1.0 - self.late_share) * late / (self.deadline - self.target_latency) as f64
            }
            ValueDecay::Halving => 0.5f64.powf(late / self.target_latency.max(1) as f64).max(self.late_share),
        };
        self.value * left
    }
}

/// How the value of a message falls after the aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueDecay {
    Linear,
    Halving,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Each host is a route with a limit, a rate and outages of its own.
    pub limit_per_host: bool,
    /// Maximum number of messages in one call.
    pub max_bundle: usize,
}

/// A customer on whose behalf messages are sent.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Messages per second, over all senders, that earn the full value.
    pub quota_per_s: f64,
}

/// Meaning of a listed host's weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// The weight means nothing.
    Ignored,
    /// Calls per second that the route accepts from all senders together.
    ExactRate,
    /// The same rate, but far from exact.
    ApproximateRate,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub me: u16,
    /// Number of senders in this group, this one included.
    pub senders: u16,
    pub classes: Vec<Class>,
    pub kinds: Vec<Kind>,
    pub tenants: Vec<Tenant>,
    /// Share of the value that is left for a message beyond its tenant's quota.
    pub over_quota_value: f64,
    pub value_decay: ValueDecay,
    /// Maximum number of calls in flight.
    pub slots: usize,
    /// Maximum number of messages held, whether sent or not.
    pub max_held: usize,
    pub max_attempts: u32,
    pub may_message_peers: bool,
    /// Maximum `retry_after` for clients; 0 where none may be given.
    pub max_retry_after: Micros,
    /// Idle connections are closed after this span.
    pub idle_close: Micros,
    /// A connection that takes longer to open counts as failed.
    pub connect_timeout: Micros,
    /// A final result other than delivery reaches the client by a notice; `Event::Withdrawn` reports that it
    /// arrived.
    pub ends_by_notice: bool,
    pub weight_meaning: WeightMeaning,
    /// The registry sends no updates: it answers only when asked.
    pub polls_registry: bool,
    pub max_poll_pause: Micros,
    pub drain_grace: Micros,
    /// Minimum share of its capacity that a destination has when it returns from an outage.
    pub cold_share: f64,
    /// The destination has its full capacity after this span.
    pub cold_time: Micros,
    /// A cold destination that receives more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this span fails.
    pub overload_window: Micros,
    /// No message of the same key is sent for this span after an attempt that may still run.
    pub order_cooldown: Micros,
}
