//! One connection: reading frames and writing what waits.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use pewterseam_wire::frame;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time;

use crate::link::Link;
use crate::{Origin, TransportEvent, sockets};

/// A peer that does not take a connection within this time counts as gone.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause after a connection could not be taken, as when descriptors run out.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Room for what is read at once.
const READ_BYTES: usize = 8 * 1024;
/// A reading buffer that grew beyond this for a large frame is given back.
const MOST_KEPT_BYTES: usize = 64 * 1024;

/// Opens a connection.
pub(crate) async fn dial(to: SocketAddr) -> Option<TcpStream> {
    time::timeout(DIAL_TIMEOUT, TcpStream::connect(to)).await.ok()?.ok()
}

/// Reads and writes until either ends.
pub(crate) async fn run<M: DeserializeOwned>(
    stream: TcpStream, origin: Origin, link: Link, events: &mpsc::UnboundedSender<TransportEvent<M>>,
) {
    if sockets::tune(&stream).is_err() {
        return;
    }
    let (reader, writer) = stream.into_split();
    tokio::select! {
        () = read(reader, origin, events) => {}
        () = write(writer, &link) => {}
    }
}

async fn read<M: DeserializeOwned>(
    mut reader: OwnedReadHalf, origin: Origin, events: &mpsc::UnboundedSender<TransportEvent<M>>,
) {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(READ_BYTES);
        match reader.read_buf(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        loop {
            match frame::read_frame(&mut buffer) {
                Ok(Some(message)) => {
                    if events.send(TransportEvent::Received { from: origin, message }).is_err() {
                        return;
                    }
                }
                Ok(None) => break,
                Err(_) => return,
            }
        }
        if buffer.is_empty() && buffer.capacity() > MOST_KEPT_BYTES {
            buffer = BytesMut::new();
        }
    }
}

async fn write(mut writer: OwnedWriteHalf, link: &Link) {
    while let Some(mut bytes) = link.next().await {
        if writer.write_all_buf(&mut bytes).await.is_err() {
            return;
        }
    }
}
