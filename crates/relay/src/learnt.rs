//! What a relay has learnt of hosts, in the folder that lasts. It is written when a relay stops and read at the
//! next start; what of it is still worth something is decided by the module.

use std::fs;
use std::io;
use std::path::Path;

use pewterseam::interface::{HostId, Learnt, LearntRoute, Micros};
use serde::{Deserialize, Serialize};

use crate::unread::Unread;

const FILE: &str = "learnt.json";
/// It is written under this name first.
const UNFINISHED: &str = "learnt.new";
/// Part of the folder's limit that it may take; the journal leaves a tenth.
const MOST: f64 = 0.05;

#[derive(Serialize, Deserialize)]
struct File {
    at: Micros,
    routes: Vec<Route>,
    out: Vec<(u64, Micros)>,
}

#[derive(Serialize, Deserialize)]
struct Route {
    destination: u32,
    apart: bool,
    hosts: Vec<u64>,
    rate: Option<f64>,
    answer_time: f64,
    deviation: f64,
    /// Of older files: none.
    #[serde(default)]
    wait_until: Micros,
}

impl Route {
    fn read(self) -> Option<LearntRoute> {
        let is_sound = |figure: f64, least: f64| figure.is_finite() && figure >= least;
        let sound = self.rate.is_none_or(|rate| is_sound(rate, f64::MIN_POSITIVE))
            && is_sound(self.answer_time, 0.0)
            && is_sound(self.deviation, 0.0);
        let Route { destination, apart, rate, answer_time, deviation, wait_until, .. } = self;
        let hosts = self.hosts.into_iter().map(HostId).collect();
        sound.then_some(LearntRoute { destination, apart, hosts, rate, answer_time, deviation, wait_until })
    }

    fn write(route: &LearntRoute) -> Self {
        let LearntRoute { destination, apart, rate, answer_time, deviation, wait_until, .. } = *route;
        let hosts = route.hosts.iter().map(|host| host.0).collect();
        Route { destination, apart, hosts, rate, answer_time, deviation, wait_until }
    }
}

/// Reads what an earlier process left; none where it left nothing.
pub fn read(folder: &Path) -> Result<Option<Learnt>, Unread> {
    let text = match fs::read(folder.join(FILE)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        text => text.map_err(|error| Unread::File { file: FILE, error })?,
    };
    let File { at, routes, out } =
        serde_json::from_slice(&text).map_err(|error| Unread::Form { file: FILE, error })?;
    let routes =
        routes.into_iter().map(Route::read).collect::<Option<_>>().ok_or(Unread::Figure { file: FILE })?;
    let out = out.into_iter().map(|(host, since)| (HostId(host), since)).collect();
    Ok(Some(Learnt { at, routes, out }))
}

/// Leaves it for the next process, in a folder that may hold `limit` bytes.
pub fn write(folder: &Path, learnt: &Learnt, limit: u64) -> io::Result<()> {
    let routes = learnt.routes.iter().map(Route::write).collect();
    let out = learnt.out.iter().map(|(host, since)| (host.0, *since)).collect();
    let text = serde_json::to_vec(&File { at: learnt.at, routes, out })?;
    if text.len() as f64 > limit as f64 * MOST {
        return Err(io::ErrorKind::StorageFull.into());
    }
    let unfinished = folder.join(UNFINISHED);
    fs::write(&unfinished, text).and_then(|()| fs::rename(&unfinished, folder.join(FILE)))
}
