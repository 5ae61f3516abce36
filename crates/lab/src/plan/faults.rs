//! What breaks, when and for how long. A kind of fault that nobody has listed yet is one more variant.

use serde::{Deserialize, Serialize};

use super::parties::{Pick, Who};

/// One fault of a day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub start_s: f64,
    #[serde(default)]
    pub length_s: f64,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// The links from some to others.
    Link(Link),
    /// Relays as processes.
    Process(Process),
    /// Hosts and their answers.
    Server(Server),
    /// Discovery keeps silent; a `turned_away` one answers 503.
    Discovery { turned_away: bool },
    /// Hosts are replaced by new ones, one after the other over the fault's length: drained, told, gone.
    Replace(Pick),
    /// The load is so many times what it was.
    Load { times: f64 },
    /// The limit of the destinations of these hosts is so many times what it was.
    Limit { who: Pick, times: f64 },
}

/// What a link does, both to datagrams and to streams. What is left out is as it always is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    pub from: Who,
    pub to: Who,
    /// The other way too.
    #[serde(default)]
    pub both_ways: bool,
    /// Nothing comes through, and nothing is said of it; what was under way arrives after the fault, if its sender still waits.
    #[serde(default)]
    pub cut: bool,
    /// Part of the datagrams that are lost; streams are delayed by a repeat instead.
    #[serde(default)]
    pub drop_part: f64,
    #[serde(default)]
    pub delay_ms: f64,
    /// Added to the delay, evenly from 0.
    #[serde(default)]
    pub jitter_ms: f64,
    /// Part of the datagrams that come twice, and that come out of order.
    #[serde(default)]
    pub duplicate_part: f64,
    #[serde(default)]
    pub reorder_part: f64,
    /// Part of new connections that open and then stay silent both ways.
    #[serde(default)]
    pub half_open_part: f64,
    /// Part of answers after which the stream is reset instead of the answer's last byte.
    #[serde(default)]
    pub reset_part: f64,
    /// Bytes are held back until their sender has given up, and delivered then.
    #[serde(default)]
    pub late_part: f64,
    pub crawl_bytes_a_second: Option<f64>,
}

/// What is done to relays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Process {
    /// Relays, or all in a zone.
    pub who: Pick,
    pub how: How,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// Stands still for the fault's length (SIGSTOP, SIGCONT).
    Stall,
    /// Ends at once (SIGKILL), and starts again with its folder after the fault's length.
    Crash,
    /// The same, and its folder is empty.
    CrashAndForget,
    /// The same, and its folder is as it was at the day's start.
    CrashAndRestore,
    /// Is asked to end (SIGTERM), is killed after 3.7 s, and starts again after the fault's length.
    Restart,
    /// Starts only when the fault ends.
    StartLate,
    /// The disk takes nothing.
    DiskFull,
}

/// What is done to hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    pub who: Pick,
    pub how: Trouble,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Trouble {
    /// Takes calls and answers none; comes back cold.
    Silent,
    /// Refuses connections; comes back cold.
    Refusing,
    /// Answers that part of calls with an error.
    Failing(f64),
    /// Takes so many times as long.
    Slow(f64),
    /// Answers this part of calls only after the caller has gone.
    AnswersLost(f64),
    /// Is silent and well in turns of so many seconds.
    Flapping(f64),
}
