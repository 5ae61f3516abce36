//! Where a day's worth went.
//!
//! A played day is reported as one figure: a weighted mean of its parts less its prices. [`Account`] splits what is missing
//! to 1 into points of parts and prices, and the points of the whole day into messages that were late, refused, failed or
//! never run, by class and by window. [`Bound`] tells how much of it no policy could have had.

mod account;
mod bound;
mod error;
mod report;
mod site;
mod tables;

pub use account::{Account, ClassLoss, Point};
pub use bound::Bound;
pub use error::AccountError;
pub use report::{Counts, Report};
pub use site::{Class, Day, Fault, Site};
pub use tables::show;
