//! How members that do not vote learn what was decided: by epoch, from any member.

mod page;
mod pull;

pub use page::{After, Page};
pub use pull::Pull;
