//! The list of hosts, in discovery's form.

use std::net::SocketAddr;

use serde::Deserialize;

/// The list or changes of it.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    pub rev: u64,
    /// It is whole: what is missing is gone.
    pub all: bool,
    pub targets: Vec<Target>,
}

/// One host of the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    #[serde(default)]
    pub az: String,
    pub model: String,
    pub pod_group: u32,
    pub state: State,
    #[serde(default)]
    pub capacity_hint: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum State {
    Ready,
    Terminating,
    Gone,
}
