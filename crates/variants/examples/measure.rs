//! Prints what docs/variants.md tells: many messages in four forms each at twelve relays, with and without
//! faults. `cargo run --release -p pewterseam-variants --example measure [MESSAGES]`.

#[path = "../tests/net/mod.rs"]
mod net;

use net::{Fault, MILLI, Net, SECOND};

/// Messages a second, each in four forms.
const RATE: u64 = 500;

fn main() {
    let count = std::env::args().nth(1).and_then(|count| count.parse().ok()).unwrap_or(100_000);
    println!(
        "| day | merged where unsure means wait, deliver | delivered twice (wait, deliver) | never | \
              handed back | added p50, p99 ms | answer p50, p99 ms | unmerged | bytes a message |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for faults in [false, true] {
        day(count, faults);
    }
}

fn day(count: u64, faults: bool) {
    let mut net = Net::new(12, 1, net::load::file(1, 500_000));
    net.run(4 * SECOND);
    let long = count * SECOND / RATE;
    if faults {
        net.loss = 0.02;
        let times = [
            (5, Fault::Stall(5, 4 * SECOND)),
            (15, Fault::Crash(3)),
            (16, Fault::Start(3)),
            (35, Fault::Crash(7)),
            (50, Fault::Stall(2, 3 * SECOND)),
            (60, Fault::Cut(vec![0, 1, 8])),
            (70, Fault::Heal),
        ];
        times.into_iter().for_each(|(at, fault)| net.fault(4 * SECOND + long * at / 100, fault));
    }
    net.load(4 * SECOND, 0, count, RATE, 2 * SECOND);
    let started = std::time::Instant::now();
    let mut claims = 0;
    for step in 0..20 {
        net.run(4 * SECOND + (long + 60 * SECOND) * (step + 1) / 20);
        let held: usize =
            net.nodes.iter().filter_map(|of| of.machine.as_ref()).map(|of| of.table().len()).sum();
        claims = claims.max(held);
    }
    let report = &net.report;
    let milli =
        |histogram: &hdrhistogram::Histogram<u64>, at| histogram.value_at_quantile(at) as f64 / MILLI as f64;
    println!(
        "| {} | {:.4}, {:.4} | {}, {} | {} | {} | {:.1}, {:.1} | {:.1}, {:.1} | {:?} | {} |",
        if faults { "with faults" } else { "without" },
        report.merged(true),
        report.merged(false),
        report.twice(true),
        report.twice(false),
        report.never(true) + report.never(false),
        report.handed_back(true) + report.handed_back(false),
        milli(&report.added, 0.5),
        milli(&report.added, 0.99),
        milli(&report.answer, 0.5),
        milli(&report.answer, 0.99),
        report.unmerged,
        report.call_bytes / count,
    );
    eprintln!(
        "{} events in {:?}; {claims} claims at most; wrong answers {}",
        net.events,
        started.elapsed(),
        report.wrong
    );
    let machines = net.nodes.iter().filter_map(|of| of.machine.as_ref());
    let complete = machines.filter(|of| of.status().handed_over).count();
    eprintln!("{complete} relays know all that earlier owners knew; unmerged {:?}", report.unmerged);
}
