//! Whether a relay says that it is ready.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const QUESTION: &[u8] = b"GET /_health HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n";
/// As far as the status of the answer.
const STATUS: usize = "HTTP/1.1 200".len();

/// Asks on a connection of its own.
pub async fn is_ready(mut stream: TcpStream) -> io::Result<bool> {
    stream.write_all(QUESTION).await?;
    let mut answer = [0; STATUS];
    stream.read_exact(&mut answer).await?;
    Ok(answer.ends_with(b" 200"))
}
