//! What the hosts of zones can bear, and how what the others leave passes to those who need it.

mod pass;
mod supply;
mod worth;

pub use pass::{Need, Share, pass_on};
pub use supply::{Supply, limit, room};
pub use worth::Worths;
