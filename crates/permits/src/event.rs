//! What a home tells of itself, for the log.

use std::fmt;

use pewterseam_wire::Micros;

const MICROS_A_MILLISECOND: Micros = 1_000;

/// What a home's first budget rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetBasis {
    /// No home was before it.
    NoPredecessor,
    /// The ledger of the home before it.
    Ledger,
    /// All that an earlier home may have granted, as nobody has told.
    Assumption,
}

impl fmt::Display for BudgetBasis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BudgetBasis::NoPredecessor => "no home was before",
            BudgetBasis::Ledger => "the home before has told of its permits",
            BudgetBasis::Assumption => "what an earlier home may have granted is assumed",
        })
    }
}

/// How many permits of a service a home has in view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitCounts {
    /// May count in the window that ends now.
    pub booked: u32,
    /// The most that may.
    pub capacity: u32,
    /// Granted within the time for which a permit is good, and not known to be unused.
    pub out: u32,
}

impl fmt::Display for PermitCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PermitCounts { booked, capacity, out } = self;
        write!(f, "{booked} of {capacity} permits booked, {out} granted within their validity")
    }
}

/// What became of a place as home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeEvent {
    /// This relay is the home, and grants nothing for a while.
    Waits { span: Micros },
    /// It grants from now on.
    Opens { basis: BudgetBasis, counts: PermitCounts },
    /// It grants nothing any more.
    Ends { counts: PermitCounts },
}

impl fmt::Display for HomeEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HomeEvent::Waits { span } => {
                write!(f, "this relay is the home, and waits for {} ms at most", span / MICROS_A_MILLISECOND)
            }
            HomeEvent::Opens { basis, counts } => write!(f, "this relay grants permits; {basis}; {counts}"),
            HomeEvent::Ends { counts } => write!(f, "this relay grants no permits any more; {counts}"),
        }
    }
}
