//! Where callers connect: one listener for each link, which refuses when the called one would, and lets no
//! connection come up while the link is cut.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinSet, spawn_local};

use super::connection::{Link, pair};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// The called one, within the rig: takes its end of a connection and serves it until it is over.
pub type Target = Rc<dyn Fn(TcpStream) -> Pin<Box<dyn Future<Output = ()>>>>;

/// The listener of one link.
pub struct Doors {
    link: Link,
    address: SocketAddr,
    listener: RefCell<Option<TcpListener>>,
    target: Target,
}

impl Doors {
    /// Listens on an address; port 0 has the system choose one.
    pub fn new(link: Link, address: SocketAddr, target: Target) -> io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        Ok(Doors { link, address, listener: RefCell::new(Some(listener)), target })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets callers in for good; `refuses` says whether the called one takes no connections now.
    pub async fn serve(self, mut refuses: watch::Receiver<bool>) {
        let mut connections = JoinSet::new();
        let mut changes = self.link.weather.changes();
        loop {
            if self.link.is_cut() {
                let plug = self.plug();
                tokio::select! {
                    () = self.link.clear() => {}
                    // Held connections go on being held, and ended ones are taken away.
                    () = gather(&mut connections) => {}
                }
                self.unplug(plug);
                continue;
            }
            if *refuses.borrow_and_update() {
                self.listener.take();
                tokio::select! {
                    changed = refuses.changed() => if changed.is_err() { return },
                    _ = changes.changed() => {}
                }
                continue;
            }
            let listener = match self.listener.take() {
                Some(listener) => listener,
                None => match listen(self.address) {
                    Ok(listener) => listener,
                    Err(_) => {
                        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                        continue;
                    }
                },
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted.ok(),
                _ = refuses.changed() => None,
                _ = changes.changed() => None,
                Some(_) = connections.join_next() => None,
            };
            self.listener.replace(Some(listener));
            if let Some((near, _)) = accepted {
                let (link, target) = (self.link.clone(), self.target.clone());
                connections.spawn_local(async move {
                    if link.stays_silent() {
                        return Link::stay_silent(near).await;
                    }
                    let Ok((far, end)) = pair().await else { return };
                    let served = spawn_local(target(end));
                    link.carry(near, far).await;
                    let _ = served.await;
                });
            }
        }
    }

    /// Has new connections hang: with a queue of one, and that one taken, the system answers no caller at
    /// all.
    fn plug(&self) -> Option<Socket> {
        let mut listener = self.listener.borrow_mut();
        if listener.is_none() {
            *listener = listen(self.address).ok();
        }
        SockRef::from(listener.as_ref()?).listen(0).ok()?;
        let plug = Socket::new(Domain::for_address(self.address), Type::STREAM, Some(Protocol::TCP)).ok()?;
        plug.set_nonblocking(true).ok()?;
        // Never waited for: a queue that a caller has filled meanwhile is as full.
        let _ = plug.connect(&self.address.into());
        Some(plug)
    }

    fn unplug(&self, plug: Option<Socket>) {
        if let Some(listener) = &*self.listener.borrow() {
            let _ = SockRef::from(listener).listen(BACKLOG);
        }
        drop(plug);
    }
}

/// Takes ended connections away; never done.
async fn gather(connections: &mut JoinSet<()>) {
    while connections.join_next().await.is_some() {}
    std::future::pending().await
}

/// Danger: the address has just been given up and its connections linger; it is taken again all the same.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
