//! Plays one day from its start to its last message's end.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use pewterseam::interface::Micros;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{sleep, sleep_until, timeout};

use super::clients::{Clients, Front, Relays};
use super::clock::micros;
use super::draws::{Stream, draws};
use super::error::Unplayable;
use super::faults::{Faults, at_the_start};
use super::fleet::World;
use super::places::Party;
use super::processes::Relay;
use super::summary::Summary;
use super::timeline::Timeline;
use crate::plan::Plan;
use crate::story::{RelayNumber, Story};

/// For the relays to become ready at a day's start.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// After the last deadline or fault, for what is still owed.
const SLACK: Micros = 3_000_000;
/// A day ends early once nothing has been owed for so long.
const QUIET: Micros = 1_000_000;
/// How often the day's end, and hosts that warm up, are looked at.
const LOOK: Duration = Duration::from_millis(200);

/// How a day is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The relay's program.
    pub relay: PathBuf,
    /// Where logs are kept; in the day's own folder, which goes with it, if there is none.
    pub out: Option<PathBuf>,
}

/// What came of a day.
#[derive(Debug)]
pub struct Played {
    pub story: Story,
    pub summary: Summary,
    /// Relays that ended without being asked or killed, and how.
    pub crashes: Vec<(RelayNumber, String)>,
}

/// Plays a day; every process that it started has ended when it returns, whatever became of it.
pub fn play(plan: &Plan, options: &Options) -> Result<Played, Unplayable> {
    let failed = |error| Unplayable::Sockets { what: "the day's own runtime", error };
    // Danger: thirty relays want some thousand descriptors, and many systems give a program 1,024 unasked.
    let allowed = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: allowed.maximum, ..allowed });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed)?;
    // Danger: relays without an end. They are killed as their owners, the tasks of this set, are dropped.
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, async {
        let (mut interrupt, mut terminate) = (
            signal(SignalKind::interrupt()).map_err(failed)?,
            signal(SignalKind::terminate()).map_err(failed)?,
        );
        tokio::select! {
            played = day(plan, options) => played,
            _ = interrupt.recv() => Err(Unplayable::Interrupted),
            _ = terminate.recv() => Err(Unplayable::Interrupted),
        }
    })
}

async fn day(plan: &Plan, options: &Options) -> Result<Played, Unplayable> {
    if plan.fleet.relays > super::MOST_RELAYS {
        return Err(Unplayable::TooMany(plan.fleet.relays));
    }
    if !options.relay.is_file() {
        return Err(Unplayable::NoRelay(options.relay.clone()));
    }
    let folder = tempfile::tempdir();
    let folder = folder.map_err(|error| Unplayable::Folder { path: std::env::temp_dir(), error })?;
    let logs = options.out.clone().unwrap_or(folder.path().join("logs"));
    std::fs::create_dir_all(&logs).map_err(|error| Unplayable::Folder { path: logs.clone(), error })?;

    let world = World::of(plan)?;
    let timeline = Timeline::of(plan, &world.places)?;
    let mut links = JoinSet::new();
    let fleet = world.open(&mut links, &options.relay, folder.path(), &logs).await?;
    let mut keepers = JoinSet::new();
    let mut wanted = Vec::new();
    for relay in &fleet.relays {
        let (want, is_wanted) = watch::channel(at_the_start(&timeline, relay.number));
        wanted.push(want);
        keepers.spawn_local(relay.clone().run(is_wanted));
    }
    let early: Vec<_> = (fleet.relays.iter().zip(&wanted))
        .filter_map(|(relay, wanted)| wanted.borrow().up.then_some(relay))
        .collect();
    tokio::select! {
        ready = all_ready(&early) => ready?,
        failure = first_failure(&mut keepers) => return Err(failure),
    }
    let reached = fleet
        .relays
        .iter()
        .map(|relay| (world.link(Party::Clients, Party::Relay(relay.number)), relay.listen));
    let relays = Rc::new(Relays::new(reached));
    let front = Rc::new(Front::new(relays.clone()));
    links.spawn_local(front.clone().run());
    let in_use = async {
        while front.used() < early.len() {
            sleep(LOOK).await;
        }
    };
    tokio::select! {
        // Whoever has ended meanwhile is missed by the front, and told as a crash at the day's end.
        _ = timeout(READY_WITHIN, in_use) => {}
        failure = first_failure(&mut keepers) => return Err(failure),
    }

    let drawing = |stream| draws(plan.seed, stream, 0);
    let clients = Rc::new(Clients::new(
        world.traffic.clone(),
        world.book.clone(),
        front,
        relays,
        &plan.load,
        drawing(Stream::Clients),
    ));
    let faults = Faults {
        book: world.book.clone(),
        places: world.places.clone(),
        weather: world.weather.clone(),
        hosts: world.hosts.clone(),
        destinations: world.destinations.clone(),
        registry: world.registry.clone(),
        clients: clients.clone(),
        relays: wanted,
        strikes: timeline.strikes.clone(),
        active: Default::default(),
    };
    world.book.clock.begin();
    world.hosts.iter().for_each(|host| host.tell_capacity());
    links.spawn_local(clients.clone().run(drawing(Stream::Load), micros(plan.length_s)));
    tokio::select! {
        () = run(plan, &world, &timeline, &faults, &clients) => {}
        failure = first_failure(&mut keepers) => return Err(failure),
    }
    drop(keepers);
    let crashes = fleet.crashes.take();
    let hosts = (0..).zip(world.places.hosts.iter().cloned()).collect();
    let story = Story { hosts, told: world.book.close() };
    let zones = world.places.relays().map(|relay| world.places.zone_of_relay(relay)).collect();
    let summary = Summary::of(plan, &story, zones, &world.book.lost(), world.weather.struck());
    Ok(Played { story, summary, crashes })
}

async fn all_ready(relays: &[&Rc<Relay>]) -> Result<(), Unplayable> {
    for relay in relays {
        let mut ready = relay.ready.subscribe();
        if timeout(READY_WITHIN, ready.wait_for(|ready| *ready)).await.is_err() {
            let (relay, log) = (relay.number, relay.log.clone());
            return Err(Unplayable::NotReady { relay, within_s: READY_WITHIN.as_secs(), log });
        }
        relay.folder.remember()?;
    }
    Ok(())
}

/// What kept a relay from being run; never done as long as nothing does.
async fn first_failure(keepers: &mut JoinSet<Result<(), Unplayable>>) -> Unplayable {
    while let Some(ended) = keepers.join_next().await {
        if let Ok(Err(failure)) = ended {
            return failure;
        }
    }
    std::future::pending().await
}

/// Goes through the timeline, then waits for the last message's end.
async fn run(plan: &Plan, world: &World, timeline: &Timeline, faults: &Faults, clients: &Clients) {
    let clock = &world.book.clock;
    let looks = async {
        loop {
            sleep(LOOK).await;
            world.hosts.iter().filter(|host| host.is_cold()).for_each(|host| host.tell_capacity());
        }
    };
    let steps = async {
        for (at, place, step) in &timeline.steps {
            sleep_until(clock.instant(*at)).await;
            faults.step(*place, *step);
        }
        sleep_until(clock.instant(micros(plan.length_s))).await;
        let longest = plan.load.classes.iter().map(|class| micros(class.deadline_s)).max().unwrap_or(0);
        let last = (micros(plan.length_s) + longest).max(timeline.end()) + SLACK;
        let mut quiet_since = clock.now();
        while clock.now() < last && clock.now() < quiet_since + QUIET {
            if world.book.owed() > 0 || clients.at_work() > 0 {
                quiet_since = clock.now();
            }
            sleep(LOOK).await;
        }
    };
    tokio::select! {
        () = looks => {}
        () = steps => {}
    }
}
