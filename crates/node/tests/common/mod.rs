//! What tests of the node share.

mod settings;

pub use settings::settings;
