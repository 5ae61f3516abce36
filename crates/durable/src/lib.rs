//! What a relay keeps beyond its process, without a file: messages, records of what happened to them, their bytes, and
//! what a sequence of records tells. Who writes the bytes where is the driver's matter.

pub mod fault;
pub mod frame;
pub mod message;
pub mod record;
pub mod replay;
