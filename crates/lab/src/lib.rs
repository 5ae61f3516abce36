//! The rig that breaks a fleet. A [`plan::Plan`] says what a day is and which faults come when; an engine
//! plays it, on real processes or in simulated time, and writes down what the world around the relays saw as
//! a [`story::Story`]; the judge reads nothing but the story.

pub mod experiment;
pub mod hunt;
pub mod judge;
pub mod plan;
pub mod real;
pub mod sim;
pub mod story;
