//! The clients' door over streams in memory, with clients that play random scripts, by seed, on a clock that stands still
//! while anything has work to do. There are no sockets.
//!
//! `STREAM_SEED=n` plays one seed and shows what happened; `STREAM_SEEDS=n` plays so many.

mod answers;
mod client;
mod judge;
mod relay;
mod requests;
mod stream;

use judge::{Figures, Journal};

/// Scripts that are played where the environment says nothing.
const SEEDS: u64 = 40_000;

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

/// Plays one script to its end.
fn play(seed: u64) -> Journal {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime.expect("a runtime"), client::play(seed))
}

/// Guards against answers that belong to another request or come out of order, requests that are taken in part, twice or
/// out of another one's body, answers that never come, and connections or requests that are counted for ever.
#[test]
fn the_door_outlasts_clients_of_all_kinds() {
    let seeds = match number("STREAM_SEED") {
        Some(seed) => seed..=seed,
        None => 1..=number("STREAM_SEEDS").unwrap_or(SEEDS),
    };
    let (mut figures, mut breaches) = (Figures::default(), Vec::new());
    for seed in seeds {
        let journal = play(seed);
        figures.add(&journal);
        breaches.extend(journal.breaches().into_iter().map(|what| format!("seed {seed}: {what}")));
        if number("STREAM_SEED").is_some() {
            println!("{journal:#?}");
        }
    }
    println!("{figures:?}");
    assert!(breaches.is_empty(), "{} breaches\n{}", breaches.len(), breaches.join("\n"));
}
