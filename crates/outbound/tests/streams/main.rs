//! Calls over streams in memory to hosts that play random scripts, by seed, on a clock that stands still while anything
//! has work to do. There are no sockets.
//!
//! A seed gives the same script; where two tasks are due at one moment, tokio may let either go first, so that a run may
//! differ a little. `STREAM_SEED=n` plays one seed and shows what happened; `STREAM_SEEDS=n` plays so many.

mod answers;
mod caller;
mod host;
mod judge;
mod script;
mod stream;

use caller::Caller;
use judge::{Figures, Journal};

/// Scripts that are played where the environment says nothing.
const SEEDS: u64 = 8_000;

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

/// Plays one script to its end.
fn play(seed: u64) -> Journal {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(async move { Caller::new(seed).play().await })
}

/// Guards against an answer that is there being given up, as another one came before it.
#[test]
fn own_answers_count_whatever_comes_before() {
    let unheeded: Vec<String> = (1..=number("STREAM_SEEDS").unwrap_or(SEEDS))
        .flat_map(|seed| {
            let unheeded = play(seed).unheeded_answers();
            unheeded.into_iter().map(move |what| format!("seed {seed}: {what}"))
        })
        .collect();
    assert!(unheeded.is_empty(), "{} answers\n{}", unheeded.len(), unheeded.join("\n"));
}

/// Guards against answers that are taken for another attempt's, connections that are used again after a doubt, attempts
/// that are written twice or beyond their right to send, and attempts without an end, or with two.
#[test]
fn calls_outlast_hosts_of_all_kinds() {
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
            journal.show();
        }
    }
    println!("{figures:?}");
    assert!(breaches.is_empty(), "{} breaches\n{}", breaches.len(), breaches.join("\n"));
    if number("STREAM_SEED").is_none() {
        figures.assert_all_kinds();
    }
}
