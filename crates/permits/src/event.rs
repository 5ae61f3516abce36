//! Events of a home for the log.

use std::fmt;

use pewterseam_wire::Micros;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Source of a home's initial budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetBasis {
    /// There was no earlier home.
    NoPredecessor,
    /// The previous home sent its ledger.
    Ledger,
    /// The maximum that an earlier home may have granted, as no ledger was received.
    Assumption,
}

impl fmt::Display for BudgetBasis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BudgetBasis::NoPredecessor => "no home was before",
            BudgetBasis::Ledger => "the previous home sent its ledger",
            BudgetBasis::Assumption => "the maximum grants of an earlier home are assumed",
        })
    }
}

/// Permit counts of one service at its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitCounts {
    /// Permits that may count in the window that ends now.
    pub booked: u32,
    /// Maximum for `booked`.
    pub capacity: u32,
    /// Permits granted within the validity period and not returned unused.
    pub outstanding: u32,
}

impl fmt::Display for PermitCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PermitCounts { booked, capacity, outstanding } = self;
        write!(f, "{booked} of {capacity} permits booked, {outstanding} granted within their validity")
    }
}

/// A change in the home role of this relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeEvent {
    /// This relay became the home and must wait before it grants permits.
    Waits { span: Micros },
    /// This relay starts granting permits.
    Opens { basis: BudgetBasis, counts: PermitCounts },
    /// This relay stops granting permits.
    Ends { counts: PermitCounts },
}

impl fmt::Display for HomeEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HomeEvent::Waits { span } => {
                write!(
                    f,
                    "this relay is the home, and waits for {} ms at most",
                    span / MICROS_PER_MILLISECOND
                )
            }
            HomeEvent::Opens { basis, counts } => write!(f, "this relay grants permits; {basis}; {counts}"),
            HomeEvent::Ends { counts } => write!(f, "this relay grants no permits any more; {counts}"),
        }
    }
}
