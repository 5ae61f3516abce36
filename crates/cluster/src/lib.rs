//! Whole clusters of the system's state machines in one process, on a simulated network, disk and clock, by seed.
//!
//! [`run`] plays one cluster from its first start to the end of its traffic and returns a [`Report`]: what broke a rule,
//! and figures. The same [`Plan`] gives the same run. `docs/cluster.md` says what is covered.

mod agenda;
mod calls;
mod clients;
mod configuration;
mod connections;
mod disk;
mod event;
mod faults;
mod garbled;
mod hash_seeds;
pub mod history;
mod hosts;
mod in_force;
mod judge;
mod long_days;
mod long_troubles;
mod machine;
mod message;
mod network;
mod node;
mod operators;
mod outages;
mod overlap;
mod plan;
mod planted;
mod probes;
mod process;
mod reads;
mod relay;
mod report;
mod scale_in;
mod sends;
mod size;
mod stopping;
mod store;
mod world;

pub use plan::{Plan, Planted, Scenario};
pub use report::{Breach, Report, Rule};

/// Plays a cluster on a thread of its own, so that its hash maps begin from the same keys each time.
pub fn run(plan: Plan) -> Report {
    let played = std::thread::spawn(move || {
        hash_seeds::set(plan.seed);
        world::World::new(plan).play()
    });
    played.join().unwrap_or_else(|panic| Report::of_panic(plan.seed, panic.as_ref()))
}
