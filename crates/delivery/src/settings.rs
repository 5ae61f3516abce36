//! What the machine is told at its start, and what the decisions are told.

use pewterseam::interface::{Class, Effect, Kind, Lateness, Listing, Settings};
use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

/// Messages are worth something to the decisions for so long after their aim; longer than any retention.
const WORTH_ENDS: Micros = 3_600_000_000;
/// Half of the worth is left once a message is late by its aim again; never less than this part.
const LATE_SHARE: f64 = 0.02;
/// An aim of 0 would make every message equally late.
const LEAST_AIM: Micros = 10_000;
/// The decisions never turn a message away for lack of room: how many they hold is bounded before.
const NO_LIMIT: usize = 1 << 30;
/// Troubles of a host less than this apart are one.
const TROUBLE_APART: Micros = 10_000_000;
/// Classes that are told apart; a class beyond is taken for the last one.
const MOST_CLASSES: usize = 1024;

/// What the machine is told at its start.
#[derive(Clone, Debug)]
pub struct DeliverySettings {
    pub me: NodeName,
    /// The life of this process.
    pub life: u64,
    /// Differs between processes.
    pub seed: u64,
    /// Calls that may be out at once.
    pub slots: usize,
    /// A connection that takes longer to open counts as failed.
    pub connect_timeout: Micros,
    /// How long a connection idles before its host closes it, as far as that is known beforehand.
    pub idle_close: Micros,
    /// `originWindowS` and `originOvershoot`.
    pub origin_window: Micros,
    pub origin_overshoot: f64,
    /// No process of the system ran before.
    pub bootstrap: bool,
    /// The longest time for which a relay that was cut off may hold the core's word.
    pub core_lease: Micros,
    /// The core agrees on the relays that may hand out permits ([`crate::Input::AgreedHomes`]).
    pub homes_are_agreed: bool,
}

/// A kind of message to the decisions: its aim and its priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClassKey {
    aim: Micros,
    priority: u8,
}

/// The settings of the decisions as they stand; classes are only added.
#[derive(Debug)]
pub(crate) struct BrainSettings {
    keys: Vec<ClassKey>,
    pub(crate) current: Settings,
    /// They have changed since the decisions were last told.
    pub(crate) changed: bool,
}

impl BrainSettings {
    pub(crate) fn new(settings: &DeliverySettings) -> Self {
        let current = Settings {
            me: 0,
            senders: 1,
            classes: Vec::new(),
            kinds: vec![Kind { routes_apart: false, bundle: 1 }],
            tenants: Vec::new(),
            over_share_worth: 1.0,
            lateness: Lateness::Halving,
            slots: settings.slots,
            most_held: NO_LIMIT,
            max_attempts: u32::MAX,
            may_tell: true,
            max_retry_after: 0,
            idle_close: settings.idle_close,
            connect_timeout: settings.connect_timeout,
            ends_by_notice: false,
            listing: Listing::Nominal,
            ask_registry: false,
            ask_within: 0,
            drain_grace: 0,
            // A host that is slow at first does not fall over: no ramp.
            cold_share: 1.0,
            cold_time: 1,
            overload_factor: 1.0,
            overload_window: TROUBLE_APART,
            order_rest: 0,
        };
        BrainSettings { keys: Vec::new(), current, changed: false }
    }

    /// The class of a message, and the deadline that has its worth fall from `due_at` on. Danger: a message of which the
    /// decisions have given up is given up again at once; it counts as new then.
    pub(crate) fn class(
        &mut self, aim: Micros, priority: u8, due_at: Micros, now: Micros,
    ) -> (usize, Micros) {
        let key = ClassKey { aim: aim.max(LEAST_AIM), priority };
        let found = self.keys.iter().position(|known| *known == key);
        let index = found.unwrap_or_else(|| self.add(key));
        let class = &self.current.classes[index];
        let due_at = if due_at + class.deadline > now + class.aim { due_at } else { now };
        (index, due_at + class.deadline)
    }

    fn add(&mut self, key: ClassKey) -> usize {
        if self.keys.len() >= MOST_CLASSES {
            return self.keys.len() - 1;
        }
        self.keys.push(key);
        self.current.classes.push(Class {
            effect: Effect::Free,
            value: 1.0 / (1.0 + f64::from(key.priority)),
            late_share: LATE_SHARE,
            aim: key.aim,
            deadline: key.aim + WORTH_ENDS,
            in_order: false,
        });
        self.changed = true;
        self.keys.len() - 1
    }

    /// This relay's rank among so many live ones.
    pub(crate) fn rank(&mut self, me: u16, senders: u16) {
        self.changed |= (self.current.me, self.current.senders) != (me, senders);
        (self.current.me, self.current.senders) = (me, senders);
    }
}
