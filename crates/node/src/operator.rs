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
