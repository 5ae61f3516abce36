//! The line to discovery. A question that meets silence is put once more beside the first: a watch may have broken
//! without a word, while discovery is well.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::agent::{Agent, Silence};
use pewterseam_http1::{Request, Response};

/// Where the whole list is.
const WHOLE: &str = "/catalog/members";
/// Answered while discovery has more calls than it can take.
pub const TURNED_AWAY: u16 = 503;

/// The connection in use, and one for when that is silent.
pub struct Line {
    main: Agent,
    spare: Agent,
}

impl Line {
    pub fn new(address: watch::Receiver<SocketAddr>) -> Self {
        Line { main: Agent::new(address.clone()), spare: Agent::new(address) }
    }

    /// Gives its connections up.
    pub fn hang_up(&mut self) {
        self.main.hang_up();
        self.spare.hang_up();
    }

    /// The changes since a version, for which discovery may wait so long, or the whole list; within `patience`
    /// beyond that wait. With `again`, the whole list is asked for once more after so much silence, each time that
    /// is over. Danger: a watch is broken, or was put while discovery was down; what it misses counts as told long
    /// before the patience that an overloaded discovery needs is over.
    pub async fn ask(
        &mut self, since: Option<(u64, Duration)>, patience: Duration, again: Option<Duration>,
    ) -> Result<Response, Silence> {
        let Line { main, spare } = self;
        let (path, wait) = match since {
            Some((rev, wait)) => (format!("{WHOLE}?index={rev}&wait={}", wait.as_millis()), wait),
            None => (WHOLE.to_owned(), Duration::ZERO),
        };
        let heard = {
            let mut first = pin!(main.ask(Request::get(&path), wait + patience));
            let Some(again) = again else { return first.await };
            tokio::select! {
                biased;
                answer = &mut first => return answer,
                () = sleep(wait + again) => {}
            }
            tokio::select! {
                biased;
                answer = &mut first => return answer,
                answer = second(spare, again) => answer,
            }
        };
        // The first one's connection went with its question.
        std::mem::swap(main, spare);
        Ok(heard)
    }
}

/// Asks for the whole list until it is answered. One that is turned away will not be asked again for a while, and
/// that ends the first one's wait, too: it is not silent, but overloaded.
async fn second(spare: &mut Agent, again: Duration) -> Response {
    loop {
        let next = Instant::now() + again;
        match spare.ask(Request::get(WHOLE), again).await {
            Ok(response) => return response,
            // Danger: it had moved since this connection was last asked on, and the silence is noticed a span later.
            Err(Silence::Moved) => {}
            // Danger: refused at once, it would be asked without a pause.
            Err(Silence::NoAnswer) => sleep_until(next).await,
        }
    }
}
