//! Explores the claim machines in the small, as far as it is told. `cargo run --release -p
//! pewterseam-variants --example explore CRASHES LOSSES TICKS WITHDRAWS LATE DEPTH MILLIONS [deliver]`.

#[path = "../tests/model/mod.rs"]
mod model;

use pewterseam_variants::claims::Faults;
use pewterseam_variants::rules::Unsure;
use stateright::{Checker, Model};

fn main() {
    let told: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize, or: usize| told.get(at).and_then(|text| text.parse().ok()).unwrap_or(or);
    let bold = told.iter().any(|text| text == "deliver");
    let bounds = model::Bounds {
        unsure: if bold { Unsure::Deliver } else { Unsure::Wait },
        crashes: number(0, 1) as u8,
        losses: number(1, 1) as u8,
        ticks: number(2, 1) as u8,
        withdraws: number(3, 1) > 0,
        late_words: number(4, 0) > 0,
        faults: Faults::default(),
    };
    let started = std::time::Instant::now();
    let checker = bounds.checker().threads(4).target_max_depth(number(5, 30));
    let checker = checker.target_state_count(number(6, 2) * 1_000_000).spawn_dfs().join();
    println!(
        "{bounds:?}: {} states, {} steps deep, {:?}",
        checker.unique_state_count(),
        checker.max_depth(),
        started.elapsed()
    );
    for (property, path) in checker.discoveries() {
        println!("{property}:");
        path.into_actions().iter().for_each(|action| println!("    {action}"));
    }
}
