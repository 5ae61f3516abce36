//! Configurations of the operator: checked here, read from a relay, and put to one.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use pewterseam_config::{Checker, CompiledConfig, ConfigError};
use tokio::time::{Instant, sleep};

use crate::client::{self, Call, Reply};
use crate::error::ConsoleError;

/// Where a relay takes configurations.
const PATH: &str = "/-/config";
/// An order without a clear answer is given again for so long.
const RESEND_FOR: Duration = Duration::from_secs(5);
/// The pause between two tries.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// Checks a configuration in a file and tells in a line what it holds, or all that is wrong with it.
pub fn check(path: &Path) -> Result<String, ConsoleError> {
    let (_, config) = read(path, 0)?;
    let (routes, services) = (config.routes().count(), config.services().count());
    Ok(format!("version {}: {routes} routes, {services} services\n", config.version))
}

/// A configuration in a file that may follow the version in place.
fn read(path: &Path, current: u64) -> Result<(Bytes, CompiledConfig), ConsoleError> {
    let text = Bytes::from(fs::read(path).map_err(|error| ConsoleError::read(path, error))?);
    let compiled = compile(&text, current)?;
    let invalid = |errors| ConsoleError::Configuration { path: path.to_owned(), errors };
    Ok((text, compiled.map_err(invalid)?))
}

fn compile(text: &Bytes, current: u64) -> Result<Result<CompiledConfig, Vec<ConfigError>>, ConsoleError> {
    let checker = Checker::new().map_err(ConsoleError::Schema)?;
    Ok(checker.check(text, current).and_then(|_| CompiledConfig::compile(text)))
}

/// The configuration in place, as it was put. Empty before the first.
pub async fn get(address: SocketAddr) -> Result<Bytes, ConsoleError> {
    let reply = until_clear(address, &Call::get(PATH)).await?;
    match reply.status {
        200 => Ok(reply.body),
        404 => Ok(Bytes::new()),
        status => Err(ConsoleError::Unclear { address, status }),
    }
}

/// Puts the configuration in a file on top of a version, or of the one in place. Returns its version.
pub async fn put(address: SocketAddr, path: &Path, on_top: Option<u64>) -> Result<u64, ConsoleError> {
    let (text, config) = read(path, on_top.unwrap_or(0))?;
    let on_top = match on_top {
        Some(version) => version,
        None => version_of(&get(address).await?)?,
    };
    put_text(address, text, on_top).await?;
    Ok(config.version)
}

/// Puts a configuration's text on top of a version. It is given again until the answer is clear: a relay that has taken
/// it acknowledges it once more.
pub async fn put_text(address: SocketAddr, text: Bytes, on_top: u64) -> Result<(), ConsoleError> {
    let headers = vec![("If-Match", on_top.to_string()), ("Content-Type", "application/json".to_owned())];
    let reply = until_clear(address, &Call { method: "PUT", path: PATH, headers, body: text }).await?;
    match reply.status {
        200 => Ok(()),
        412 => Err(ConsoleError::Conflict { current: version_of(&reply.body).unwrap_or(0) }),
        status => {
            Err(ConsoleError::Refused { status, reasons: String::from_utf8_lossy(&reply.body).into_owned() })
        }
    }
}

/// The `version` of a configuration or of an answer; 0 where there is none yet.
fn version_of(text: &[u8]) -> Result<u64, ConsoleError> {
    if text.is_empty() {
        return Ok(0);
    }
    let value: serde_json::Value = serde_json::from_slice(text).map_err(ConsoleError::Answer)?;
    Ok(value["version"].as_u64().unwrap_or(0))
}

/// Makes a call until its answer is neither missing nor of the kind that says nothing.
async fn until_clear(address: SocketAddr, call: &Call<'_>) -> Result<Reply, ConsoleError> {
    let give_up = Instant::now() + RESEND_FOR;
    loop {
        let reply = client::call(address, call.clone()).await;
        let is_over = Instant::now() >= give_up;
        match reply {
            Some(reply) if reply.status < 500 && reply.status != 429 => return Ok(reply),
            Some(Reply { status, .. }) if is_over => return Err(ConsoleError::Unclear { address, status }),
            None if is_over => return Err(ConsoleError::NoAnswer { address }),
            _ => sleep(RESEND_PAUSE).await,
        }
    }
}
