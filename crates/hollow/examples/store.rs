//! Measures a store on real files: `cargo run --release -p pewterseam-hollow --example store -- 200000 1000`, for so
//! many messages with bodies of so many bytes. The log is in `target/hollow-store`.

use std::error::Error;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use pewterseam_hollow::memory::resident_bytes;
use pewterseam_message_log::{CurrentTime, Effect, Input, Store, StoreRecovery, StoreSettings};
use pewterseam_storage::{DataFolder, Log, LogOptions, RecoveredFrom};
use pewterseam_wire::identity::{DiskId, Life, NodeName, Owner};
use pewterseam_wire::placement::{Partition, Placement, PlacementEpoch, StoreEntry, StoreId};
use pewterseam_wire::record::{End, Fact, MessageName, Record, RouteKey};
use pewterseam_wire::store::{StoreRequest, StoreResponse};

const FOLDER: &str = "target/hollow-store";
const SECOND: u64 = 1_000_000;
const WALL: u64 = 1_700_000_000 * SECOND;
const DISK_BYTES: u64 = 16 << 30;
/// Requests that are synced together.
const BATCH: usize = 256;

struct Bench {
    store: Store,
    log: Log<DataFolder>,
    now: u64,
    token: u64,
    done: usize,
    /// Seconds in the store's machine, and in writes with their syncs.
    machine: f64,
    disk: f64,
    syncs: usize,
    /// Entries that wait for the next sync, and the last ticket among them.
    waiting: Vec<Bytes>,
    through: u64,
}

fn id() -> StoreId {
    StoreId { name: NodeName::new("store-00001"), disk: DiskId(7) }
}

fn settings() -> StoreSettings {
    StoreSettings::new(id(), 3_600 * SECOND, DISK_BYTES)
}

fn open(now: u64) -> Result<(Store, Log<DataFolder>), Box<dyn Error>> {
    let mut recovery = StoreRecovery::new(settings(), CurrentTime { steady: now, wall: WALL + now });
    let folder = DataFolder::open(Path::new(FOLDER))?;
    let log = Log::open(folder, LogOptions::default(), &mut |found| {
        if let RecoveredFrom::Segment { position, .. } = found.from {
            recovery.entry(position, found.payload);
        }
    })?;
    Ok((recovery.finish()?, log))
}

impl Bench {
    fn input(&mut self, input: Input) -> Result<(), Box<dyn Error>> {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            self.now += 1;
            let start = Instant::now();
            let now = CurrentTime { steady: self.now, wall: WALL + self.now };
            let effects = self.store.step(now, input);
            self.machine += start.elapsed().as_secs_f64();
            for effect in effects {
                match effect {
                    Effect::Persist { ticket, entries } => {
                        self.through = ticket;
                        self.waiting.extend(entries);
                    }
                    Effect::Respond { response, .. } => {
                        self.done += usize::from(matches!(response, StoreResponse::Done { .. }));
                    }
                    Effect::RemoveSegments { before } => self.log.remove_before(before)?,
                    _ => {}
                }
            }
        }
        Ok(())
    }

    /// Writes and syncs what waits.
    fn sync(&mut self) -> Result<(), Box<dyn Error>> {
        while !self.waiting.is_empty() {
            let payloads = std::mem::take(&mut self.waiting);
            let start = Instant::now();
            let positions = self.log.append(&payloads)?;
            self.disk += start.elapsed().as_secs_f64();
            self.syncs += 1;
            self.input(Input::Persisted { through: self.through, positions })?;
        }
        Ok(())
    }

    fn phase(
        &mut self, what: &str, count: usize, batch: usize, request: impl Fn(usize) -> StoreRequest,
    ) -> Result<(), Box<dyn Error>> {
        let (memory, bytes) = (resident_bytes(), self.log.bytes());
        (self.machine, self.disk, self.syncs, self.done) = (0.0, 0.0, 0, 0);
        for number in 0..count {
            self.token += 1;
            self.input(Input::Request { token: self.token, request: request(number) })?;
            if (number + 1) % batch == 0 {
                self.sync()?;
            }
        }
        self.sync()?;
        let each = |value: f64| value / count as f64;
        println!(
            "| {what} | {} | {:.2} | {:.2} | {} | {:.0} | {:.0} |",
            self.done,
            each(self.machine * 1e6),
            each(self.disk * 1e6),
            self.syncs,
            each((self.log.bytes() as f64) - bytes as f64),
            each(resident_bytes() as f64 - memory as f64)
        );
        Ok(())
    }
}

fn message_name(number: usize) -> (MessageName, Partition) {
    let id = format!("request-{number:012}");
    let partition = Partition::of(&id);
    (MessageName::new(&id, partition), partition)
}

fn record(number: usize, body: &Bytes) -> Record {
    let (name, partition) = message_name(number);
    Record {
        name,
        partition,
        ordering_key: None,
        predecessors: Vec::new(),
        owner: Owner { name: NodeName::new(&format!("relay-{:05}", number % 100)), life: Life(1) },
        accepted_at: WALL,
        delay_ms: 0,
        retention_ms: 90_000,
        config_version: 1,
        route: Arc::from("route-17"),
        host: Arc::from("host17.example"),
        method: Arc::from("POST"),
        target: Arc::from("/p17/order"),
        headers: vec![(Arc::from("content-type"), Arc::from("application/json"))],
        body: body.clone(),
        route_key: Some(RouteKey { hostname: Arc::from("host17.example"), path_prefix: Arc::from("/p17/") }),
    }
}

fn settle(numbers: std::ops::Range<usize>) -> StoreRequest {
    let end = End::Completed { signature: Arc::from("0123456789abcdef0123456789abcdef") };
    let fact = |number| Fact::Ended { name: message_name(number).0, end: end.clone() };
    StoreRequest::Settle { facts: numbers.map(fact).collect() }
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse::<usize>());
    let count = arguments.next().transpose()?.unwrap_or(100_000);
    let body = Bytes::from(vec![b'x'; arguments.next().transpose()?.unwrap_or(1_000)]);
    if Path::new(FOLDER).exists() {
        std::fs::remove_dir_all(FOLDER)?;
    }
    std::fs::create_dir_all(FOLDER)?;
    let (store, log) = open(SECOND)?;
    let mut bench = Bench {
        store,
        log,
        now: SECOND,
        token: 0,
        done: 0,
        machine: 0.0,
        disk: 0.0,
        syncs: 0,
        waiting: Vec::new(),
        through: 0,
    };
    let entry = StoreEntry { id: id(), zone: Arc::from("zone-1") };
    let placement =
        Placement { epoch: PlacementEpoch(1), tolerated: 0, sets: vec![vec![entry]], ..Placement::default() };
    bench.input(Input::Placement(Arc::new(placement)))?;
    bench.sync()?;
    println!("| work | done | machine, us each | disk, us each | syncs | log bytes each | memory each |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let append = |number| StoreRequest::Append {
        epoch: PlacementEpoch(1),
        record: record(number, &body),
        renews_lease: true,
    };
    let singles = count.min(1_000);
    bench.phase("append, one a sync", singles, 1, append)?;
    bench.phase(&format!("append, {BATCH} a sync"), count - singles, BATCH, |number| {
        append(number + singles)
    })?;
    bench.phase(
        &format!("settle, {BATCH} ends a request (figures for a request)"),
        count / BATCH,
        1,
        |number| settle(number * BATCH..(number + 1) * BATCH),
    )?;
    let now = bench.now;
    drop(bench);
    let (start, memory) = (Instant::now(), resident_bytes());
    let (store, log) = open(now)?;
    println!(
        "opened a log of {} MB again in {:.2} s, memory +{:.0} MB",
        log.bytes() >> 20,
        start.elapsed().as_secs_f64(),
        (resident_bytes() as f64 - memory as f64) / f64::from(1 << 20)
    );
    drop((store, log));
    std::fs::remove_dir_all(FOLDER)?;
    Ok(())
}
