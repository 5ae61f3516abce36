//! Failover between zones and regions, decided in common. State machines without I/O: what the relay sees and
//! what others tell comes in with the time; what to tell, to propose and to place goes out.
//!
//! Arrows go one way: `interface` < `evidence`, `capacity`, `operator` < `decision` < `placement` < `machine`.

pub mod capacity;
pub mod counters;
pub mod decision;
pub mod evidence;
pub mod interface;
pub mod machine;
pub mod operator;
pub mod placement;

pub use machine::Machine;
