//! What a new configuration changes in a running relay.

use std::net::SocketAddr;

use pewterseam_settings::Deployment;

/// Why a new configuration is not taken: one plain line with what an operator can do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Rejected(pub String);

#[derive(Clone, Debug)]
pub struct Change {
    /// Where the list is and notices go from now on.
    pub discovery: Option<SocketAddr>,
    /// Classes and attempts are heeded at once; the rest of the settings at the next start.
    pub settings: Option<Box<Deployment>>,
    /// Keys whose new values are heeded at the next start only.
    pub at_next_start: Vec<&'static str>,
}
