//! One file for each command.

pub mod compare;
pub mod hunt;
pub mod judge;
pub mod run;
pub mod sim;
