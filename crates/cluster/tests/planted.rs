//! The judge finds faults that are planted in the drivers.

use pewterseam_cluster::{Plan, Planted, Rule, Scenario, run};

/// Plays seeds until the planted fault breaks the rule that it should break; the seed that shows it.
fn find(planted: Planted, rule: Rule, most_seeds: u64) -> u64 {
    find_in(Scenario::Usual, planted, rule, most_seeds)
}

/// The same on days of a kind.
fn find_in(scenario: Scenario, planted: Planted, rule: Rule, most_seeds: u64) -> u64 {
    let breaks = |plan: Plan| run(plan).breaches.iter().any(|breach| breach.rule == rule);
    let shows = |seed: &u64| {
        let plan = Plan::of_scenario(*seed, scenario);
        breaks(plan.with_planted(planted)) && !breaks(plan)
    };
    let found = (1..=most_seeds).find(shows);
    let seed = found.unwrap_or_else(|| panic!("{planted:?} breaks no {rule:?} in {most_seeds} clusters"));
    println!("{planted:?} breaks {rule:?} at seed {seed}");
    seed
}

/// Guards that relays which go by the names of routes are found, where changes give these to other routes.
#[test]
fn routes_by_name_are_found() {
    find_in(Scenario::ChangingRoutes, Planted::RoutesByName, Rule::Config, 100);
}

/// Guards that a 202 before the second sync is found.
#[test]
fn early_acknowledgements_are_found() {
    find(Planted::EarlyAcknowledgement, Rule::Lost, 400);
}

/// Guards that a question about predecessors that misses a store is found.
#[test]
fn one_store_too_few_is_found() {
    find(Planted::OneStoreTooFew, Rule::Order, 400);
}

/// Guards that the use of permits beyond their time is found.
#[test]
fn late_permits_are_found() {
    find(Planted::LatePermits, Rule::Ceiling, 400);
}

/// Guards that heirs that run without claims are found.
#[test]
fn heirs_without_claims_are_found() {
    find(Planted::NoClaims, Rule::Twice, 400);
}

/// Guards that a relay that goes on after its leases have lapsed is found.
#[test]
fn sends_without_a_lease_are_found() {
    find(Planted::NoConfirmation, Rule::Twice, 1_000);
}

/// Guards that relays which answer reads with what is in force at themselves are found.
#[test]
fn stale_reads_are_found() {
    find_in(Scenario::ManyChanges, Planted::StaleReads, Rule::Config, 20);
    find_in(Scenario::LongTroubles, Planted::StaleReads, Rule::Config, 50);
}

/// Guards that a change which is refused when it is sent again is found.
#[test]
fn forgotten_changes_are_found() {
    find(Planted::ForgottenChanges, Rule::Config, 100);
}

/// Guards that stores which say too early that they hold all are found, where stores come and go.
#[test]
fn early_copies_are_found() {
    find_in(Scenario::ScaleIn, Planted::EarlyCopies, Rule::Lost, 300);
}

/// Guards that relays which go on with the routes of their first configuration are found.
#[test]
fn kept_routes_are_found() {
    find_in(Scenario::ChangingRoutes, Planted::KeptRoutes, Rule::Config, 100);
}

/// Guards that relays which use a configuration four seconds late are found.
#[test]
fn late_configurations_are_found() {
    find_in(Scenario::ChangingRoutes, Planted::LateConfigurations, Rule::Config, 100);
}

/// Guards that relays which go back to the configuration before are found.
#[test]
fn returning_configurations_are_found() {
    find_in(Scenario::ChangingRoutes, Planted::ReturningConfigurations, Rule::Downgrade, 100);
}

/// Guards that relays which send to hosts that drain are found.
#[test]
fn kept_hosts_are_found() {
    find_in(Scenario::ChangingHosts, Planted::KeptHosts, Rule::Drain, 100);
}

/// Guards that messages which go to hosts without their ordering keys are found.
#[test]
fn lost_keys_are_found() {
    find(Planted::LostKeys, Rule::Unasked, 20);
}

/// Guards that messages which fail for ever and run for ever are found.
#[test]
fn forgotten_failures_are_found() {
    find(Planted::ForgottenFailures, Rule::Budget, 100);
}

/// Guards that a state which is read from one store is found.
#[test]
fn hasty_reads_are_found() {
    find(Planted::HastyReads, Rule::Lost, 100);
}

/// Guards that messages which nobody runs are found.
#[test]
fn forgotten_messages_are_found() {
    find_in(Scenario::ScaleIn, Planted::ForgottenMessages, Rule::Lost, 100);
}

/// Guards that a request which is written twice is found.
#[test]
fn doubled_writes_are_found() {
    find(Planted::DoubledWrites, Rule::SentTwice, 20);
}
