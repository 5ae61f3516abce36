//! Parts that go from the relay that took them to a gateway, owned by exactly one at each moment.
//!
//! The taker records that it passes a part on, and from then on it does not own it any more, before anything
//! is sent. The gateway records that it took it on, and owns it from then on, before it answers. What the
//! taker doesn't know it asks again, under the same number of the pass. It takes a part back only if nothing
//! was ever sent, or if the gateway has recorded that it will not take this pass on any more. A time-out, a
//! dead member or a refusal is no such word: the part may have been taken, or the first request may still
//! come.
//!
//! A gateway's word counts only for the folder that the part was handed to: one that lost its folder does not
//! know what it took. Then the part stays out, and fails once its time is over.

mod gateway;
mod io;
mod machine;
mod record;
mod taker;

pub use io::{Answer, Ask, CallNumber, Effect, Folder, Hand, Input, Pass};
pub use machine::Passing;
pub use record::Record;

use pewterseam::interface::Micros;

/// Between two requests for one part, until there is an answer. Above a slow answer, far below a deadline.
pub(crate) const ASK_AGAIN: Micros = 300_000;
/// To a member that is not seen to live: it may be only we who don't see it.
pub(crate) const ASK_DEAD_AGAIN: Micros = 2_000_000;
/// A part that no answer came for in this time is asked back.
pub(crate) const PATIENCE: Micros = 1_000_000;
/// After its deadline a part waits so long for the word of its end, which may be on its way.
pub(crate) const GRACE: Micros = 2_000_000;
/// What is over is kept so long after its deadline, for requests that come late.
pub(crate) const KEEP: Micros = 60_000_000;
/// Parts that are passed on and not over, and parts taken on or turned away, at one relay; each takes about
/// 200 bytes.
pub(crate) const MOST_PARTS: usize = 100_000;
