//! How large a cluster is and how long its days are, by scenario.

use pewterseam_wire::Micros;
use pewterseam_wire::identity::Role;
use pewterseam_wire::random::Random;

use crate::machine::Machine;
use crate::plan::{MILLISECOND, Plan, SECOND, Scenario};

/// Relays with a disk, that form the core.
pub const CORE_RELAYS: usize = 3;
/// Relays without one.
pub const OTHER_RELAYS: usize = 2;
const STORES: usize = 4;
/// The same where stores come and go, and those that may come.
const SCALED_STORES: usize = 5;
const SPARES: usize = 2;
/// When clients begin.
pub const TRAFFIC_BEGINS: Micros = 4 * SECOND;
const LEAST_TRAFFIC_MS: usize = 3_000;
const MORE_TRAFFIC_MS: usize = 4_000;
/// The same where troubles are long.
const LEAST_LONG_TRAFFIC_MS: usize = 30_000;
const MORE_LONG_TRAFFIC_MS: usize = 60_000;
/// The same where faults overlap.
const LEAST_OVERLAP_TRAFFIC_MS: usize = 12_000;
const MORE_OVERLAP_TRAFFIC_MS: usize = 8_000;
/// The same where changes are many, of the configuration or of hosts.
const LEAST_CHANGING_MS: usize = 10_000;
const MORE_CHANGING_MS: usize = 10_000;
/// The same where the traffic outlasts the memory of ends.
const LEAST_LONG_DAY_MS: usize = 50_000;
const MORE_LONG_DAY_MS: usize = 15_000;
/// The same where all hosts of a service are out meanwhile.
const LEAST_OUTAGES_MS: usize = 14_000;
const MORE_OUTAGES_MS: usize = 10_000;
/// The same where stores come and go.
const USUAL_DELAY_MS: usize = 2_500;
const LONG_DELAY_MS: usize = 14_000;
const LEAST_SCALING_MS: usize = 12_000;
const MORE_SCALING_MS: usize = 12_000;
/// Fewer changes of hosts than so many.
const USUAL_CHANGES_OF_HOSTS: usize = 6;
const MANY_CHANGES_OF_HOSTS: usize = 30;
const CALM: Micros = 4 * SECOND;
/// The same where it is judged whether anything is left lying; of the usual runs one of so many.
const LONG_CALM: Micros = 16 * SECOND;
const LONG_CALM_EACH: u64 = 4;

/// The time from the end of the traffic, when everything is back, to the first reads.
pub fn calm(plan: Plan) -> Micros {
    let is_long = plan.scenario != Scenario::Usual || plan.seed.is_multiple_of(LONG_CALM_EACH);
    if is_long { LONG_CALM } else { CALM }
}

/// Operators that change the configuration.
pub fn count_of_operators(scenario: Scenario) -> usize {
    if scenario == Scenario::ManyChanges { 3 } else { 2 }
}

/// Fewer changes of hosts than so many are drawn.
pub fn most_changes_of_hosts(scenario: Scenario) -> usize {
    if scenario == Scenario::ChangingHosts { MANY_CHANGES_OF_HOSTS } else { USUAL_CHANGES_OF_HOSTS }
}

/// How long clients have messages wait at most. Where stores go, some wait until another loss is borne.
pub fn most_delay_ms(scenario: Scenario) -> usize {
    if scenario == Scenario::ScaleIn { LONG_DELAY_MS } else { USUAL_DELAY_MS }
}

/// How long the traffic lasts.
pub fn random_span(random: &mut Random, scenario: Scenario) -> Micros {
    let (least, more) = match scenario {
        Scenario::Usual => (LEAST_TRAFFIC_MS, MORE_TRAFFIC_MS),
        Scenario::LongTroubles => (LEAST_LONG_TRAFFIC_MS, MORE_LONG_TRAFFIC_MS),
        Scenario::ScaleIn => (LEAST_SCALING_MS, MORE_SCALING_MS),
        Scenario::ManyChanges => (LEAST_CHANGING_MS, MORE_CHANGING_MS),
        Scenario::ChangingRoutes => (LEAST_CHANGING_MS, MORE_CHANGING_MS),
        Scenario::LongDays => (LEAST_LONG_DAY_MS, MORE_LONG_DAY_MS),
        Scenario::OutagesAndChanges => (LEAST_OUTAGES_MS, MORE_OUTAGES_MS),
        Scenario::ChangingHosts => (LEAST_CHANGING_MS, MORE_CHANGING_MS),
        Scenario::GarblingHosts | Scenario::SecondAnswers => (LEAST_TRAFFIC_MS, MORE_TRAFFIC_MS),
        Scenario::OverlappingFaults => (LEAST_OVERLAP_TRAFFIC_MS, MORE_OVERLAP_TRAFFIC_MS),
    };
    (least + random.below(more)) as Micros * MILLISECOND
}

/// The machines, and those that may come.
pub fn machines(scenario: Scenario) -> Vec<Machine> {
    let relays = CORE_RELAYS + OTHER_RELAYS;
    let relay =
        |index: usize| Machine::new(index, &format!("relay-{index}"), Role::Relay, index < CORE_RELAYS);
    let store = |index: usize| Machine::new(relays + index, &format!("store-{index}"), Role::Store, true);
    let (stores, spares) = if scenario == Scenario::ScaleIn { (SCALED_STORES, SPARES) } else { (STORES, 0) };
    let mut machines: Vec<Machine> = (0..relays).map(relay).chain((0..stores + spares).map(store)).collect();
    machines[relays + stores..].iter_mut().for_each(|spare| spare.is_present = false);
    machines
}
