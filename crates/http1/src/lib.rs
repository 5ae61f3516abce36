//! HTTP/1.1 as codecs for `Framed`: requests come in and responses go out on one side, the other way round on
//! the other. Names of header fields go out as they are written here, and values may be any bytes, which is why the
//! fields are kept in a type of our own and not in the `http` crate's map.

mod client;
mod fault;
mod head;
mod headers;
mod message;
mod reader;
mod server;

pub use client::Client;
pub use fault::Fault;
pub use headers::Headers;
pub use message::{Request, Response};
pub use server::Server;

/// Most bytes of a request line or status line with its headers.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most headers of a message.
const MOST_HEADERS: usize = 64;
/// Most bytes of a body that a client may hand in.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Where members of a fleet call each other, with bodies that may be longer than those of clients.
pub const MEMBER_CALL: &str = "/fleet/call";
/// Most bytes of the list of hosts, which is the longest that comes in.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
