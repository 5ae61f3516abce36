//! What the part's machine is made with.

use pewterseam_fleet::interface::MemberId;

use super::Micros;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    pub me: MemberId,
    /// Of this process, as its member tells it; grows with each start.
    pub incarnation: u32,
    /// The longest time that any message may take, from hand-in to its end: claims are kept for the window
    /// beyond it.
    pub longest: Micros,
    /// Messages of this relay that may be claimed or wait at once.
    pub most_messages: usize,
}
