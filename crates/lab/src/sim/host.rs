//! A host: what it does with a call, by what it can do now and what troubles it.

use std::collections::{HashMap, VecDeque};

use pewterseam::interface::Micros;

use crate::plan::{ClassPlan, DestinationPlan, EffectPlan, Trouble};
use crate::story::HostNumber;

use super::dice::Dice;

/// A host turns away what would wait longer than this for its turn.
const LONGEST_QUEUE: Micros = 1_500_000;
/// The span in which a limit counts calls.
const LIMIT_SPAN: Micros = 1_000_000;
/// Part of refusals that say how long to wait, and of the span to which waits are drawn.
const TELLS_WAIT: f64 = 0.5;
const WAITS_MS: [f64; 2] = [100.0, 900.0];
/// Part of calls that take effect at a host that answers none, or answers with an error.
const RUNS_UNSEEN: f64 = 0.5;

/// What a host answers with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Word {
    Served,
    Error,
    Refused { wait: Micros },
}

/// What a host does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Reaction {
    pub(super) ran: bool,
    /// After how long it answers, and what; never, where there is none.
    pub(super) answer: Option<(Micros, Word)>,
}

/// What the hosts of a destination share.
#[derive(Debug)]
pub(super) struct Destination {
    pub(super) plan: DestinationPlan,
    /// Faults on its limit, by their place.
    pub(super) limit_times: Vec<(usize, f64)>,
    /// Calls let in within the span.
    recent: VecDeque<Micros>,
    /// Until when repeats of a guarded message are dropped; by zone where zones remember for themselves.
    remembered: HashMap<(u64, u32, Option<usize>), Micros>,
}

impl Destination {
    pub(super) fn new(plan: DestinationPlan) -> Self {
        Destination { plan, limit_times: Vec::new(), recent: VecDeque::new(), remembered: HashMap::new() }
    }

    /// Calls a second that it takes now, where it has a limit.
    pub(super) fn limit(&self) -> Option<f64> {
        let times: f64 = self.limit_times.iter().map(|(_, times)| times).product();
        self.plan.limit_a_second.map(|limit| limit * times)
    }

    /// What its answers say of the limit.
    pub(super) fn report(&mut self, now: Micros) -> Option<String> {
        let limit = self.limit()?;
        self.forget(now);
        let left = (1.0 - self.recent.len() as f64 / limit.max(1.0)).clamp(0.0, 1.0);
        Some(format!("x0={left:.2},x1={limit:.2}"))
    }

    fn forget(&mut self, now: Micros) {
        while self.recent.pop_front_if(|at| *at + LIMIT_SPAN <= now).is_some() {}
    }

    /// Lets a call in, or says how long it would have to wait.
    fn admit(&mut self, now: Micros) -> Result<(), Micros> {
        let Some(limit) = self.limit() else { return Ok(()) };
        self.forget(now);
        if (self.recent.len() + 1) as f64 > limit.max(1.0) {
            return Err(self.recent.front().map_or(0, |first| first + LIMIT_SPAN - now));
        }
        self.recent.push_back(now);
        Ok(())
    }

    /// Whether a message takes effect now, or is a repeat that is dropped.
    fn takes_effect(&mut self, class: &ClassPlan, message: (u64, u32), zone: usize, now: Micros) -> bool {
        let (window, zone) = match class.effect {
            EffectPlan::Free | EffectPlan::Once => return true,
            EffectPlan::GuardedS(window) => (window, None),
            EffectPlan::GuardedInZoneS(window) => (window, Some(zone)),
        };
        let until = self.remembered.entry((message.0, message.1, zone)).or_insert(0);
        let repeats = now < *until;
        if !repeats {
            *until = now + (window * 1e6) as Micros;
        }
        !repeats
    }
}

#[derive(Debug)]
pub(super) struct Host {
    pub(super) number: HostNumber,
    /// Place of its destination in the plan, and its zone.
    pub(super) destination: usize,
    pub(super) zone: usize,
    /// Calls a second that it can do when warm.
    full: f64,
    /// Faults in force, by their place.
    pub(super) troubles: Vec<(usize, Trouble)>,
    /// It has left for good.
    pub(super) gone: bool,
    /// It came back from an outage then; counted, so that an earlier return's warming is told apart.
    pub(super) cold_since: Option<Micros>,
    pub(super) returns: u64,
    pub(super) was_out: bool,
    /// What it has begun keeps it busy until then.
    busy_until: Micros,
}

impl Host {
    pub(super) fn new(number: HostNumber, destination: usize, zone: usize, plan: &DestinationPlan) -> Self {
        Host {
            number,
            destination,
            zone,
            full: plan.answers_a_second / f64::from(plan.hosts.max(1)),
            troubles: Vec::new(),
            gone: false,
            cold_since: None,
            returns: 0,
            was_out: false,
            busy_until: 0,
        }
    }

    /// It takes calls and answers none.
    pub(super) fn is_silent(&self) -> bool {
        self.troubles.iter().any(|(_, trouble)| matches!(trouble, Trouble::Silent))
    }

    /// It takes no connection.
    pub(super) fn is_refusing(&self) -> bool {
        self.gone || self.troubles.iter().any(|(_, trouble)| matches!(trouble, Trouble::Refusing))
    }

    pub(super) fn is_out(&self) -> bool {
        self.is_silent() || self.is_refusing()
    }

    /// Calls a second that it can do now.
    pub(super) fn capacity(&self, plan: &DestinationPlan, now: Micros) -> f64 {
        if self.is_out() {
            return 0.0;
        }
        let Some(since) = self.cold_since else { return self.full };
        let part = ((now - since) as f64 / 1e6 / plan.cold_s.max(1e-6)).min(1.0);
        self.full * (plan.cold_share + (1.0 - plan.cold_share) * part)
    }

    /// Whether it is warm again.
    pub(super) fn is_warm(&self, plan: &DestinationPlan, now: Micros) -> bool {
        self.cold_since.is_none_or(|since| now >= since + (plan.cold_s * 1e6) as Micros)
    }

    /// Takes a call whose last byte has come.
    pub(super) fn take(
        &mut self, destination: &mut Destination, class: &ClassPlan, message: (u64, u32), now: Micros,
        dice: &mut Dice,
    ) -> Reaction {
        let zone = self.zone;
        if self.is_silent() {
            let ran = dice.chance(RUNS_UNSEEN) && destination.takes_effect(class, message, zone, now);
            return Reaction { ran, answer: None };
        }
        let troubles = || self.troubles.iter().map(|(_, trouble)| trouble);
        let part = |of: fn(&Trouble) -> Option<f64>| troubles().filter_map(of).fold(0.0, f64::max);
        let failing = part(|trouble| if let Trouble::Failing(part) = trouble { Some(*part) } else { None });
        let lost = part(|trouble| if let Trouble::AnswersLost(part) = trouble { Some(*part) } else { None });
        let slow =
            part(|trouble| if let Trouble::Slow(times) = trouble { Some(*times) } else { None }).max(1.0);
        if let Err(wait) = destination.admit(now) {
            let wait = if dice.chance(TELLS_WAIT) { wait + dice.between_ms(WAITS_MS) } else { 0 };
            return Reaction { ran: false, answer: Some((0, Word::Refused { wait })) };
        }
        let rate = self.capacity(&destination.plan, now);
        let done = self.busy_until.max(now) + (1e6 / rate.max(1e-3)) as Micros;
        if done - now > LONGEST_QUEUE {
            return Reaction { ran: false, answer: Some((0, Word::Refused { wait: 0 })) };
        }
        self.busy_until = done;
        let takes = dice.between_ms(destination.plan.answer_ms) as f64 * slow;
        let after = (takes as Micros).max(done - now);
        if dice.chance(failing) {
            let ran = dice.chance(RUNS_UNSEEN) && destination.takes_effect(class, message, zone, now);
            return Reaction { ran, answer: Some((after, Word::Error)) };
        }
        let ran = destination.takes_effect(class, message, zone, now);
        let answers = !dice.chance(lost);
        Reaction { ran, answer: answers.then_some((after, Word::Served)) }
    }
}
