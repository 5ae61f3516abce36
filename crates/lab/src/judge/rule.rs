//! What a rule is: it is shown a story from its first word to its last, and says where it was broken.

use super::breach::Breach;
use super::world::World;
use crate::story::Told;

/// One rule, or an invariant beside the six. A new one is a type of its own that is handed to
/// [`Judge::with`](super::Judge::with).
pub trait Rule {
    /// One word, the same for each of its breaches.
    fn name(&self) -> &'static str;

    /// `told` is what happens now; `world` knows all that was told, this included.
    fn see(&mut self, told: &Told, world: &World<'_>, breaches: &mut Vec<Breach>);

    /// The story is over; what was owed by then and is not there is missing.
    fn end(&mut self, world: &World<'_>, breaches: &mut Vec<Breach>) {
        let _ = (world, breaches);
    }
}
