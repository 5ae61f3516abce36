//! What operators ask of a running relay, and what they are answered.

/// An operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    Status,
    Metrics,
    /// A host under maintenance, or back from it, by its name in the list.
    Enter(String),
    Exit(String),
    Standby,
    Active,
    /// Calls of a destination leave a zone's hosts, or don't, for so many seconds whatever is seen.
    Pin {
        destination: u32,
        zone: String,
        away: bool,
        seconds: u64,
    },
    Unpin {
        destination: u32,
        zone: String,
    },
}

/// Yes, or why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Yes,
    /// Not yet, or not here.
    NotNow,
    /// It names what there is not.
    Unknown,
    /// Something else goes on that excludes it.
    Conflict,
}
