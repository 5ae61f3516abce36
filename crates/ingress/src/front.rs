//! Connections of clients and their requests.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_io_timeout::TimeoutStream;

use crate::answers::{self, HttpAnswer};
use crate::message;
use crate::requests::{
    BodyAnswer, Configured, FrontRequest, RequestRoute, RouteChoice, Router, StatusAnswer,
};
use crate::stop::{Phase, Stopper};

const BACKLOG: i32 = 1024;
/// Room for a request's head; also how much of a body is read at once.
const BUFFER_BYTES: usize = 16 * 1024;
/// How long a client may take for the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a client may take for a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a client may read nothing of what is written to it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// So much of the body of a request that is not taken is read before its answer, so that the answer is not cut: a connection
/// that is closed on what nobody has read is reset.
const UNWANTED_BODY_BYTES: usize = 256 * 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

const STATUS_PREFIX: &str = "/-/message/";
const BODY_PREFIX: &str = "/-/message-body/";
/// Paths of the system itself; no route takes them.
const OWN_PREFIX: &str = "/-/";

/// What the door is told at its start.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    pub address: SocketAddr,
    /// Connections held at one time; further ones wait to be accepted.
    pub max_connections: usize,
}

/// Why the door could not open.
#[derive(Debug)]
pub enum FrontError {
    Bind { address: SocketAddr, error: io::Error },
}

impl fmt::Display for FrontError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FrontError::Bind { address, error } = self;
        write!(
            f,
            "cannot listen for clients at {address}: {error}; check that no other process uses the port"
        )
    }
}

impl std::error::Error for FrontError {}

/// The door for clients.
#[derive(Clone)]
pub struct Front {
    requests: mpsc::UnboundedSender<FrontRequest>,
    router: Router,
    configured: Configured,
    stopper: Stopper,
    /// Connections that are open.
    open: Rc<Cell<usize>>,
    /// Requests that were read whole and are not answered.
    under_way: Rc<Cell<usize>>,
}

impl Front {
    pub fn new(
        requests: mpsc::UnboundedSender<FrontRequest>, router: Router, configured: Configured,
        stopper: Stopper,
    ) -> Self {
        Front { requests, router, configured, stopper, open: Rc::default(), under_way: Rc::default() }
    }

    /// Requests that are not answered yet.
    pub fn under_way(&self) -> usize {
        self.under_way.get()
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Serves clients until the door is closed.
    pub async fn serve(self, settings: FrontSettings) -> Result<(), FrontError> {
        let address = settings.address;
        let listener = bind(address).map_err(|error| FrontError::Bind { address, error })?;
        loop {
            tokio::select! {
                () = self.stopper.closed() => return Ok(()),
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.take(stream),
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                },
            }
            while self.open.get() >= settings.max_connections {
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    fn take(&self, stream: TcpStream) {
        let front = self.clone();
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let _counted = Counted::begin(&front.open);
            front.serve_connection(stream).await;
        });
    }

    /// Serves the requests of one connection, whatever bytes come over.
    pub async fn serve_connection<S: AsyncRead + AsyncWrite + Unpin>(&self, stream: S) {
        let service = service_fn(|request| async { Ok::<_, Infallible>(self.respond(request).await) });
        let mut stream = TimeoutStream::new(stream);
        stream.set_write_timeout(Some(WRITE_TIMEOUT));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(BUFFER_BYTES)
            .half_close(true)
            .serve_connection(TokioIo::new(Box::pin(stream)), service);
        tokio::pin!(connection);
        tokio::select! {
            _ = &mut connection => return,
            () = self.stopper.closed() => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    async fn respond(&self, request: Request<Incoming>) -> HttpAnswer {
        let counted = Counted::begin(&self.under_way);
        let mut answer = self.answer(request).await;
        drop(counted);
        if self.stopper.phase() != Phase::Open {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn answer(&self, request: Request<Incoming>) -> HttpAnswer {
        let path = request.uri().path();
        if path.starts_with(OWN_PREFIX) {
            let answer = self.answer_own(&request).await;
            return pass_over(request, answer).await;
        }
        let Some(host) = host_of(&request) else {
            return pass_over(request, answers::plain(StatusCode::BAD_REQUEST)).await;
        };
        match self.route(&request, &host).await {
            RouteChoice::NotConfigured => pass_over(request, answers::not_taken(0)).await,
            RouteChoice::NoRoute => pass_over(request, answers::plain(StatusCode::NOT_FOUND)).await,
            RouteChoice::Route(route) => {
                let (parts, body) = request.into_parts();
                let body = Limited::new(body, route.most_body_bytes);
                match tokio::time::timeout(BODY_TIMEOUT, body.collect()).await {
                    Err(_) => answers::plain(StatusCode::REQUEST_TIMEOUT),
                    Ok(Err(error)) if error.is::<LengthLimitError>() => {
                        answers::plain(StatusCode::PAYLOAD_TOO_LARGE)
                    }
                    Ok(Err(_)) => answers::plain(StatusCode::BAD_REQUEST),
                    Ok(Ok(body)) => self.hand_in(&parts, route, &host, body.to_bytes()).await,
                }
            }
        }
    }

    /// The route of a request. A process that has just started has its configuration in a moment: the request is held for
    /// that, as a client that is turned away at once has used up its retries by then.
    async fn route(&self, request: &Request<Incoming>, host: &str) -> RouteChoice {
        let path = request.uri().path();
        let choice = (self.router)(host, path);
        if choice != RouteChoice::NotConfigured {
            return choice;
        }
        let mut configured = self.configured.clone();
        let held = message::may_be_held(request.headers());
        // Danger: none. A route that is not found in time is answered as not configured.
        let _ = tokio::time::timeout(held, configured.wait_for(|known| *known)).await;
        (self.router)(host, path)
    }

    async fn hand_in(
        &self, parts: &Parts, route: RequestRoute, host: &str, body: bytes::Bytes,
    ) -> HttpAnswer {
        let Ok(new) = message::read(parts, route, host, body) else {
            return answers::plain(StatusCode::BAD_REQUEST);
        };
        let (reply, answer) = oneshot::channel();
        if self.requests.send(FrontRequest::Message { new, reply }).is_err() {
            return answers::not_taken(0);
        }
        match answer.await {
            Ok(answer) => answers::of_message(answer),
            Err(_) => answers::plain(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    async fn answer_own(&self, request: &Request<Incoming>) -> HttpAnswer {
        let path = request.uri().path();
        if request.method() != Method::GET {
            return answers::plain(StatusCode::NOT_FOUND);
        }
        if let Some(name) = path.strip_prefix(STATUS_PREFIX) {
            let (reply, answer) = oneshot::channel();
            let _ = self.requests.send(FrontRequest::Status { name: name.into(), reply });
            let answer = answer.await.unwrap_or(StatusAnswer::Unavailable);
            return answers::of_status(name, &answer);
        }
        if let Some(name) = path.strip_prefix(BODY_PREFIX) {
            let (reply, answer) = oneshot::channel();
            let _ = self.requests.send(FrontRequest::Body { name: name.into(), reply });
            let answer = answer.await.unwrap_or(BodyAnswer::Unavailable);
            return answers::of_body(name, answer);
        }
        answers::plain(StatusCode::NOT_FOUND)
    }
}

/// Reads the body of a request that is not taken, and gives its answer. A body that is too long, late or broken off is left.
async fn pass_over(request: Request<Incoming>, answer: HttpAnswer) -> HttpAnswer {
    let body = Limited::new(request.into_body(), UNWANTED_BODY_BYTES);
    // Danger: none. The answer is the same, whatever became of the body.
    let _ = tokio::time::timeout(BODY_TIMEOUT, body.collect()).await;
    answer
}

/// Counts one for as long as it lives.
///
/// Danger: a connection that breaks takes the request that it serves with it, wherever that waits.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn begin(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Counted(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The host that a request names, in its target or its head.
fn host_of(request: &Request<Incoming>) -> Option<String> {
    if let Some(host) = request.uri().authority() {
        return Some(host.as_str().to_owned());
    }
    request.headers().get(HOST)?.to_str().ok().map(str::to_owned)
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
