//! Connections that the rig's own clients open.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::connection::{Link, pair};

/// Opens a connection to a relay over its link. It is refused where the relay refuses, and hangs while the
/// link is cut.
pub async fn dial(link: &Link, address: SocketAddr) -> io::Result<TcpStream> {
    link.clear().await;
    let silent = link.stays_silent();
    let called = if silent { None } else { Some(TcpStream::connect(address).await?) };
    let (near, far) = pair().await?;
    let link = link.clone();
    spawn_local(async move {
        match called {
            Some(called) => link.carry(far, called).await,
            None => Link::stay_silent(far).await,
        }
    });
    Ok(near)
}
