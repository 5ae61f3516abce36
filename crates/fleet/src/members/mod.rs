//! Who is there: SWIM with suspicion and refutation by `foca`, with what tells a slow, stalled or deaf
//! member from a dead one around it.

mod doubt;
mod out;
mod profiles;
mod swim;
mod view;

pub use out::Out;
pub use profiles::Profiles;
pub use swim::Swim;
pub use view::{Change, View};
