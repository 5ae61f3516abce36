//! The figures by which a day is judged. Those of the protocol's page stand for all days; the others are what
//! the relays' settings name, and a day's relays are given the same.

use pewterseam::interface::Micros;

/// "300 ms after its time is up": how late an end may still be told.
const LATE_END: Micros = 300_000;
/// "until 1.5 s after the relay is ready again, no notice is overdue".
const AFTER_READY: Micros = 1_500_000;
/// "Calls arriving within 100 ms of that are let through": of the moment a wait was written.
const WAIT_LET_THROUGH: Micros = 100_000;
/// "every time limit is 50 ms longer".
const LONGER: Micros = 50_000;
/// Settings: what a draining host may still be sent for, from the word of its drain.
const DRAIN_GRACE: Micros = 1_000_000;
/// Settings: a cold host that is sent more than this multiple of what it can do, for that long, falls over.
const OVERLOAD_FACTOR: f64 = 2.5;
const OVERLOAD_WINDOW: Micros = 3_000_000;
/// A fleet has told itself of an outage after so long: three of its rounds of 2 s.
const FLEET_KNOWS: Micros = 6_000_000;

/// How exactly an engine sees when a caller left a call.
const LEAVING_ON_SOCKETS: Micros = 50_000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    pub late_end: Micros,
    pub after_ready: Micros,
    pub wait_let_through: Micros,
    pub longer: Micros,
    pub drain_grace: Micros,
    pub overload_factor: f64,
    pub overload_window: Micros,
    pub fleet_knows: Micros,
    /// A call's beginning is told as its relay wrote it; else as it came to the host, which links make later.
    pub began_at_relay: bool,
    /// Two calls of a message may seem to overlap for so long, as the end of the first is seen late.
    pub overlap: Micros,
}

impl Figures {
    /// For stories of simulated time, in which all is told at its very moment.
    pub fn exact() -> Self {
        Figures {
            late_end: LATE_END,
            after_ready: AFTER_READY,
            wait_let_through: WAIT_LET_THROUGH,
            longer: LONGER,
            drain_grace: DRAIN_GRACE,
            overload_factor: OVERLOAD_FACTOR,
            overload_window: OVERLOAD_WINDOW,
            fleet_knows: FLEET_KNOWS,
            began_at_relay: true,
            overlap: 0,
        }
    }

    /// For stories of real processes, whose parties are seen by threads that take turns.
    pub fn on_sockets() -> Self {
        Figures { began_at_relay: false, overlap: LEAVING_ON_SOCKETS, ..Figures::exact() }
    }
}
