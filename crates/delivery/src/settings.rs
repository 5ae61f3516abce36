//! Settings of the delivery state machine and of the brain.

use pewterseam::interface::{Class, Effect, Kind, Settings, ValueDecay, WeightMeaning};
use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

/// Time after their aim for which messages have value to the brain. Longer than any retention.
const VALUE_DURATION: Micros = 3_600_000_000;
/// Minimum fraction of the value of a late message. The value halves each time the message is late by its aim again.
const MIN_LATE_VALUE: f64 = 0.02;
/// Minimum aim, as all messages with an aim of 0 would be equally late.
const MIN_AIM: Micros = 10_000;
/// The brain never rejects a message for lack of space, because the number of offered messages is limited.
const NO_LIMIT: usize = 1 << 30;
/// Overload events of a host within this time count as one.
const OVERLOAD_WINDOW: Micros = 10_000_000;
/// Maximum number of classes. Further classes are treated as the last one.
const MAX_CLASSES: usize = 1024;

/// Settings of the delivery state machine.
#[derive(Clone, Debug)]
pub struct DeliverySettings {
    pub me: NodeName,
    /// The generation of this process.
    pub life: u64,
    /// Random seed, which differs between processes.
    pub seed: u64,
    /// Maximum number of calls in flight.
    pub slots: usize,
    /// Timeout for opening a connection.
    pub connect_timeout: Micros,
    /// Initial assumption of the time after which hosts close an idle connection.
    pub idle_close: Micros,
    /// `originWindowS` and `originOvershoot`.
    pub origin_window: Micros,
    pub origin_overshoot: f64,
    /// Whether no process of the system ran before.
    pub bootstrap: bool,
    /// The longest time for which a partitioned relay may still hold its lease from the core.
    pub core_lease: Micros,
    /// Whether the core agrees on the relays that may grant permits ([`crate::Input::AgreedHomes`]).
    pub homes_are_agreed: bool,
}

/// Key of a message class of the brain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClassKey {
    aim: Micros,
    priority: u8,
}

/// The current settings of the brain. Classes are only added.
#[derive(Debug)]
pub(crate) struct BrainSettings {
    keys: Vec<ClassKey>,
    pub(crate) current: Settings,
    /// Whether the settings changed since they were last passed to the brain.
    pub(crate) changed: bool,
}

impl BrainSettings {
    pub(crate) fn new(settings: &DeliverySettings) -> Self {
        let current = Settings {
            me: 0,
            senders: 1,
            classes: Vec::new(),
            kinds: vec![Kind { limit_per_host: false, max_bundle: 1 }],
            tenants: Vec::new(),
            over_quota_value: 1.0,
            value_decay: ValueDecay::Halving,
            slots: settings.slots,
            max_held: NO_LIMIT,
            max_attempts: u32::MAX,
            may_message_peers: true,
            max_retry_after: 0,
            idle_close: settings.idle_close,
            connect_timeout: settings.connect_timeout,
            ends_by_notice: false,
            weight_meaning: WeightMeaning::ExactRate,
            polls_registry: false,
            max_poll_pause: 0,
            drain_grace: 0,
            // A host that is slow after its start does not fail, so there is no ramp-up.
            cold_share: 1.0,
            cold_time: 1,
            overload_factor: 1.0,
            overload_window: OVERLOAD_WINDOW,
            order_cooldown: 0,
        };
        BrainSettings { keys: Vec::new(), current, changed: false }
    }

    /// The class of a message, and the deadline from which its value falls. A message that has lost its value counts as due
    /// now; otherwise the brain would give it up again at once.
    pub(crate) fn class(
        &mut self, aim: Micros, priority: u8, due_at: Micros, now: Micros,
    ) -> (usize, Micros) {
        let key = ClassKey { aim: aim.max(MIN_AIM), priority };
        let found = self.keys.iter().position(|known| *known == key);
        let index = found.unwrap_or_else(|| self.add(key));
        let class = &self.current.classes[index];
        let due_at = if due_at + class.deadline > now + class.target_latency { due_at } else { now };
        (index, due_at + class.deadline)
    }

    fn add(&mut self, key: ClassKey) -> usize {
        if self.keys.len() >= MAX_CLASSES {
            return self.keys.len() - 1;
        }
        self.keys.push(key);
        self.current.classes.push(Class {
            effect: Effect::Free,
            value: 1.0 / (1.0 + f64::from(key.priority)),
            late_share: MIN_LATE_VALUE,
            target_latency: key.aim,
            deadline: key.aim + VALUE_DURATION,
            in_order: false,
        });
        self.changed = true;
        self.keys.len() - 1
    }

    /// Sets this relay's rank and the number of live relays.
    pub(crate) fn set_rank(&mut self, me: u16, senders: u16) {
        self.changed |= (self.current.me, self.current.senders) != (me, senders);
        (self.current.me, self.current.senders) = (me, senders);
    }
}
