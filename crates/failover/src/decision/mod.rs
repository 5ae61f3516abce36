//! What is decided in common of a destination, and when.

mod budget;
mod pin;
mod plan;
mod planner;
mod states;

pub use budget::Moves;
pub use pin::Pin;
pub use plan::{Demand, Move, Plan, Row, State};
pub use planner::{Planned, World, plan, sides, usual};
pub use states::{Scene, Sides, States, Unit, Wanted};
