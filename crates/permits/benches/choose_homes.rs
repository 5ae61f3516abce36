//! Measures the cost of a relay list change for the permits of one relay: `cargo bench -p pewterseam-permits`.
//!
//! Prints, for each number of relays, the mean time to add or remove a relay, in microseconds.

use std::sync::Arc;
use std::time::Instant;

use pewterseam_permits::{Permits, Settings};
use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

const SECOND: Micros = 1_000_000;
const SERVICES: usize = 300;
const RELAYS: [usize; 2] = [240, 3_800];
const CHANGES: usize = 20;

fn permits(me: &NodeName) -> Permits {
    let mut permits = Permits::new(Settings {
        me: me.clone(),
        life: 1,
        window: 5 * SECOND,
        overshoot: 1.1,
        bootstrap: false,
        core_lease: 4 * SECOND,
        homes_are_agreed: false,
    });
    permits.set_core_lease(SECOND, 1_000 * SECOND);
    permits.set_services(SECOND, (0..SERVICES).map(|number| (Arc::from(format!("service-{number}")), 75.0)));
    permits
}

fn main() {
    for count in RELAYS {
        let names: Vec<NodeName> =
            (0..count).map(|number| NodeName::new(&format!("zone-{}-edge-{number}", number % 6))).collect();
        let mut permits = permits(&names[0]);
        permits.set_relays(SECOND, &names);
        let start = Instant::now();
        for _ in 0..CHANGES {
            permits.set_relays(SECOND, &names[..count - 1]);
            permits.set_relays(SECOND, &names);
        }
        let mean = start.elapsed() / (2 * CHANGES as u32);
        println!("{count} relays, {SERVICES} services: {} µs a change", mean.as_micros());
    }
}
