//! Measures a configuration by its size: `cargo run --release -p pewterseam-hollow --example configuration`.

use std::error::Error;
use std::time::Instant;

use pewterseam_config::{Checker, CompiledConfig, LiveConfig};
use pewterseam_hollow::memory::resident_bytes;
use pewterseam_hollow::site::{self, SiteSize};

const SIZES: [usize; 5] = [3, 500, 5_000, 50_000, 200_000];

fn milliseconds(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e3
}

fn main() -> Result<(), Box<dyn Error>> {
    let checker = Checker::new()?;
    println!(
        "| routes | text, bytes | check, ms | compile, ms | check a change, ms | apply it, ms | memory, KB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for routes in SIZES {
        let size = SiteSize { routes, services: routes, limited: 0, instances: 0 };
        let (text, change) = (site::configuration(1, size), site::change(2, size));
        let start = Instant::now();
        let checked = checker.check(&text, 0);
        let check = milliseconds(start);
        let live = checked.or_else(|_| LiveConfig::read(text.clone()));
        let live = live.map_err(|errors| format!("{errors:?}"))?;
        let memory = resident_bytes();
        let start = Instant::now();
        let compiled = CompiledConfig::compile(&text).map_err(|errors| format!("{errors:?}"))?;
        let compile = milliseconds(start);
        let memory = resident_bytes().saturating_sub(memory) / 1024;
        let _ = live.compiled().map_err(|errors| format!("{errors:?}"))?;
        let start = Instant::now();
        let is_valid = checker.check_patch(&live, &change, 1).is_ok();
        let check_change = milliseconds(start);
        let start = Instant::now();
        let patched = live.patched(&change).map_err(|errors| format!("{errors:?}"))?;
        let apply = milliseconds(start);
        println!(
            "| {routes} | {} | {check:.2} | {compile:.2} | {check_change:.3}{} | {apply:.3} | {memory} |",
            text.len(),
            if is_valid { "" } else { " (refused)" },
        );
        drop((patched, compiled));
    }
    Ok(())
}
