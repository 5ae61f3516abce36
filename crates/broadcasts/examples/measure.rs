//! Prints the tables of docs/broadcasts.md: `cargo run --release -p pewterseam-broadcasts --example measure`.

#[path = "../tests/world/mod.rs"]
mod world;

use world::{Day, ROUND, SECOND, World};

fn main() {
    let day = Day {
        subscribers: 2_000,
        broadcasts: 20,
        slow: 5,
        silent: 1,
        regroups: true,
        killed_in: None,
        overlapping: false,
        seed: 1,
    };
    let clean = Day { slow: 0, silent: 0, regroups: false, ..day };
    println!(
        "A broadcast to {} subscribers every {} s at one of 12 relays.\n",
        day.subscribers,
        ROUND / SECOND
    );
    println!(
        "| day | p50 ms | p99 ms | p99 from the 5th, ms | broadcasts to 9/10 found | to all \
         | wrongly moved | ends | doubled |"
    );
    println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let days = [
        ("none slow, not regrouped", clean),
        ("none slow, regrouping on", Day { regroups: true, ..clean }),
        ("5% slow, 1% silent, not regrouped", Day { regroups: false, ..day }),
        ("5% slow, 1% silent, regrouped", day),
        ("the same, another seed", Day { seed: 2, ..day }),
        ("the same, a gateway killed in the 10th", Day { killed_in: Some(9), ..day }),
        ("killed, stalled, cut off, split", Day { killed_in: Some(9), overlapping: true, ..day }),
    ];
    for (name, day) in days {
        let of = World::run(day);
        let ms = |value: u64| value as f64 / 1e3;
        let rounds = |rounds: Option<u32>| rounds.map_or("never".to_owned(), |rounds| rounds.to_string());
        println!(
            "| {name} | {:.0} | {:.0} | {:.0} | {} | {} | {} | {} of {} | {} |",
            ms(of.healthy.value_at_quantile(0.5)),
            ms(of.healthy.value_at_quantile(0.99)),
            ms(of.later.value_at_quantile(0.99)),
            rounds(of.most_found),
            rounds(of.all_found),
            of.wrongly_moved,
            of.delivered + of.failed,
            day.subscribers * day.broadcasts,
            of.doubled,
        );
        eprintln!(
            "{name}: {} broadcasts over, {} delivered, {} failed ({} healthy), {} parts passed on, {} came back, \
              {} \
            bytes at homes a subscriber, {} bytes of reports a second and relay",
            of.over,
            of.delivered,
            of.failed,
            of.healthy_failed,
            of.passed_on,
            of.came_back,
            of.home_bytes / day.subscribers as usize,
            of.told_bytes,
        );
    }
}
