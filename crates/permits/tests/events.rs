//! Log events of a home.

use std::sync::Arc;

use pewterseam_permits::{BudgetBasis, HomeEvent, Permits, Settings};
use pewterseam_wire::Micros;
use pewterseam_wire::identity::NodeName;

const SECOND: Micros = 1_000_000;
const CORE_LEASE: Micros = 4 * SECOND;
const RATE: f64 = 39.0;
const SERVICE: &str = "limited";

/// The only relay, which is therefore the home of the service.
fn single_relay(bootstrap: bool) -> Permits {
    let me = NodeName::new("relay");
    let mut permits = Permits::new(Settings {
        me: me.clone(),
        life: 1,
        window: 5 * SECOND,
        overshoot: 1.1,
        bootstrap,
        core_lease: CORE_LEASE,
        homes_are_agreed: true,
    });
    permits.set_agreed_homes(0, std::slice::from_ref(&me));
    permits.set_relays(0, std::slice::from_ref(&me));
    permits.set_core_lease(0, Micros::MAX);
    permits.set_services(0, [(Arc::from(SERVICE), RATE)]);
    permits
}

/// Steps every 10 ms with demand but without sending requests, and returns the events.
fn events_without_use(permits: &mut Permits, from: Micros, until: Micros) -> Vec<HomeEvent> {
    let mut events = Vec::new();
    for now in (from..until).step_by(10_000) {
        permits.set_demand(SERVICE, 200);
        permits.step(now);
        events.extend(permits.take_events(now).into_iter().map(|(_, event)| event));
    }
    events
}

/// Guards against logs without the source of a home's initial budget. It distinguishes a home that knows nothing of its
/// predecessor from a home that had none.
#[test]
fn a_home_reports_the_source_of_its_budget() {
    for (bootstrap, wanted) in [(true, BudgetBasis::NoPredecessor), (false, BudgetBasis::Assumption)] {
        let mut permits = single_relay(bootstrap);
        let events = events_without_use(&mut permits, 0, 2 * SECOND);
        assert!(matches!(events[0], HomeEvent::Waits { .. }), "{events:?}");
        let opens = events.iter().find_map(|event| match event {
            HomeEvent::Opens { basis, counts } => Some((*basis, counts.booked)),
            _ => None,
        });
        let (basis, booked) = opens.expect("an event that the home opens");
        assert_eq!(basis, wanted);
        let books_a_window = f64::from(booked) > RATE * 5.0;
        assert_eq!(books_a_window, basis == BudgetBasis::Assumption, "{booked} booked");
    }
}

/// Guards against an accumulation of permits that can be used at once while none are used. A following home books only
/// what a window allows beyond the rate.
#[test]
fn unused_permits_do_not_accumulate() {
    let mut permits = single_relay(true);
    let allowed = RATE * 5.0 * 0.1 + RATE;
    for now in (0..12 * SECOND).step_by(10_000) {
        events_without_use(&mut permits, now, now + 10_000);
        let available = permits.available(now, SERVICE);
        assert!(available as f64 <= allowed, "{available} available, {allowed} allowed, at {now}");
    }
    permits.hand_over(12 * SECOND);
    let (_, last) = permits.take_events(12 * SECOND).pop().expect("an event");
    let HomeEvent::Ends { counts } = last else { panic!("{last:?}") };
    assert!(f64::from(counts.outstanding) <= allowed, "{counts}, {allowed} allowed");
}
