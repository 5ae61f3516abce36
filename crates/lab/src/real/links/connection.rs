//! One connection through the rig: both its ways, and how it ends.

use std::cell::RefCell;
use std::io;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use super::pump::{Ended, Pump};
use super::state::{Struck, Weather};
use crate::real::draws::{Draws, happens};
use crate::real::places::Party;

/// Who calls whom over which links.
#[derive(Clone)]
pub struct Link {
    pub weather: Rc<Weather>,
    pub caller: Party,
    pub called: Party,
    pub draws: Rc<RefCell<Draws>>,
}

impl Link {
    pub fn is_cut(&self) -> bool {
        self.weather.is_cut(self.caller, self.called)
    }

    /// Waits until connections can come up.
    pub async fn clear(&self) {
        let mut changes = self.weather.changes();
        while self.is_cut() {
            let _ = changes.changed().await;
        }
    }

    /// Whether a new connection opens and then stays silent.
    pub fn stays_silent(&self) -> bool {
        let there = self.weather.state(self.caller, self.called).half_open_part;
        let back = self.weather.state(self.called, self.caller).half_open_part;
        let silent = happens(&mut self.draws.borrow_mut(), there.max(back));
        if silent {
            self.weather.strike(Struck::HalfOpen);
        }
        silent
    }

    /// Holds a connection open on which nothing ever comes, until its caller closes it.
    pub async fn stay_silent(near: TcpStream) {
        let mut buffer = [0; 4096];
        loop {
            match near.readable().await.and_then(|()| near.try_read(&mut buffer)) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Carries a connection until it is over on both sides.
    pub async fn carry(&self, near: TcpStream, far: TcpStream) {
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (there, back) = ((self.caller, self.called), (self.called, self.caller));
        // The opening took a round trip, which nobody has waited for yet.
        let round = self.weather.state(there.0, there.1).delay + self.weather.state(back.0, back.1).delay;
        let draws = RefCell::new(Draws::from_rng(&mut *self.draws.borrow_mut()));
        let opening = Duration::from_micros(round as u64);
        let there = Pump::new(&self.weather, there, &draws, opening, false);
        let back = Pump::new(&self.weather, back, &draws, Duration::ZERO, true);
        let (mut there, mut back) =
            (std::pin::pin!(there.run(&near, &far)), std::pin::pin!(back.run(&far, &near)));
        let (mut is_there, mut is_back) = (true, true);
        let (ended, from_caller) = loop {
            let (ended, from_caller) = tokio::select! {
                ended = &mut there, if is_there => (ended, true),
                ended = &mut back, if is_back => (ended, false),
                else => return,
            };
            if ended != Ended::Closed {
                break (ended, from_caller);
            }
            if from_caller { is_there = false } else { is_back = false }
        };
        // Whoever still is there hears of it, once the link lets it.
        let hears = match ended {
            Ended::SenderGone => !from_caller,
            _ => from_caller,
        };
        if ended != Ended::CutOff {
            let (from, to) = if hears { (self.called, self.caller) } else { (self.caller, self.called) };
            self.weather.clear(from, to).await;
        }
        reset(&near);
        reset(&far);
    }
}

/// Has a connection end by a reset when it is dropped.
pub fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Two ends of one connection within the rig.
pub async fn pair() -> io::Result<(TcpStream, TcpStream)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let near = TcpStream::connect(listener.local_addr()?).await?;
    loop {
        let (far, from) = listener.accept().await?;
        if from == near.local_addr()? {
            return Ok((near, far));
        }
    }
}
