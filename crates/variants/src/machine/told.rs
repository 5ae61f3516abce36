//! What relays tell one another in datagrams, which come late or never.

use serde::{Deserialize, Serialize};

use crate::learning::{Counted, Observed};
use crate::rules::Key;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Tell {
    /// These keys are free or done, for those who wait.
    Look(Vec<Key>),
    Observed(Vec<Observed>),
    Counted(Counted),
}
