//! The operator's API and the readiness check, over HTTP by `warp`.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use warp::http::{Response, StatusCode};
use warp::{Filter, Rejection, Reply};

use crate::error::SystemError;
use crate::relay::readiness::Readiness;
use crate::status::RelayStatus;

/// The largest configuration that is read.
const MOST_CONFIG_BYTES: u64 = 32 * 1024 * 1024;
/// A call that is not decided by then gets no clear answer.
const PATIENCE: Duration = Duration::from_millis(950);

/// What the operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    PutConfig {
        if_match: Option<u64>,
        text: Bytes,
    },
    PatchConfig {
        if_match: Option<u64>,
        text: Bytes,
    },
    ReadConfig,
    Retire {
        node: String,
    },
    RetireState {
        node: String,
    },
    /// What this relay knows, for people; never passed on.
    ReadStatus,
}

/// What the operator is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorAnswer {
    /// Done; the version that the order made.
    Done {
        version: u64,
    },
    Config(Bytes),
    Status(Box<RelayStatus>),
    RetireInProgress,
    RetireCompleted,
    /// The configuration is invalid, and why.
    Invalid(String),
    /// Another version is current.
    VersionConflict {
        current: u64,
    },
    UnknownNode,
    /// Too few machines would be left.
    TooFewLeft,
    /// Whether the order was taken is not known, or nobody can tell now.
    Unclear,
}

/// A call of the operator, with the channel for its answer.
#[derive(Debug)]
pub struct OperatorCall {
    pub request: OperatorRequest,
    pub reply: oneshot::Sender<OperatorAnswer>,
}

type Calls = mpsc::UnboundedSender<OperatorCall>;
type HttpAnswer = Response<Bytes>;

/// Serves the operator until the process ends.
pub async fn serve(address: SocketAddr, calls: Calls) -> Result<(), SystemError> {
    let listener = bind(address).await?;
    let calls = warp::any().map(move || calls.clone());
    let if_match = warp::header::optional::<String>("if-match");
    let body = warp::body::content_length_limit(MOST_CONFIG_BYTES).and(warp::body::bytes());
    let config = warp::path!("-" / "config");
    let put = config.and(warp::put()).and(if_match).and(body).map(|if_match: Option<String>, text| {
        OperatorRequest::PutConfig { if_match: version_of(if_match.as_deref()), text }
    });
    let patch = config.and(warp::patch()).and(if_match).and(body).map(|if_match: Option<String>, text| {
        OperatorRequest::PatchConfig { if_match: version_of(if_match.as_deref()), text }
    });
    let read = config.and(warp::get()).map(|| OperatorRequest::ReadConfig);
    let retire = warp::path!("-" / "retire" / String);
    let order = retire.and(warp::post()).map(|node| OperatorRequest::Retire { node });
    let state = retire.and(warp::get()).map(|node| OperatorRequest::RetireState { node });
    let status = warp::path!("-" / "status").and(warp::get()).map(|| OperatorRequest::ReadStatus);
    let requests = put.or(patch).unify().or(read).unify().or(order).unify().or(state).unify();
    let requests = requests.or(status).unify();
    let routes = requests.and(calls).then(answer).recover(rejected);
    warp::serve(routes).incoming(listener).run().await;
    Ok(())
}

/// The number in `If-Match`, bare or quoted.
fn version_of(text: Option<&str>) -> Option<u64> {
    text?.trim().trim_start_matches("W/").trim_matches('"').parse().ok()
}

async fn answer(request: OperatorRequest, calls: Calls) -> HttpAnswer {
    let (reply, answer) = oneshot::channel();
    if calls.send(OperatorCall { request, reply }).is_err() {
        return response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let answer = tokio::time::timeout(PATIENCE, answer).await;
    to_http(answer.ok().and_then(Result::ok).unwrap_or(OperatorAnswer::Unclear))
}

fn to_http(answer: OperatorAnswer) -> HttpAnswer {
    match answer {
        OperatorAnswer::Done { version } => {
            response(StatusCode::OK, Bytes::from(format!("{{\"version\":{version}}}")))
        }
        OperatorAnswer::Config(text) => response(StatusCode::OK, text),
        OperatorAnswer::Status(status) => match serde_json::to_vec(&status) {
            Ok(text) => response(StatusCode::OK, Bytes::from(text)),
            Err(_) => response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        },
        OperatorAnswer::RetireInProgress => state("in_progress"),
        OperatorAnswer::RetireCompleted => state("completed"),
        OperatorAnswer::Invalid(reasons) => response(StatusCode::BAD_REQUEST, Bytes::from(reasons)),
        OperatorAnswer::VersionConflict { current } => {
            response(StatusCode::PRECONDITION_FAILED, Bytes::from(format!("{{\"version\":{current}}}")))
        }
        OperatorAnswer::UnknownNode => response(StatusCode::NOT_FOUND, Bytes::new()),
        OperatorAnswer::TooFewLeft => response(StatusCode::CONFLICT, Bytes::new()),
        OperatorAnswer::Unclear => response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    }
}

fn state(state: &str) -> HttpAnswer {
    response(StatusCode::OK, Bytes::from(format!("{{\"state\":\"{state}\"}}")))
}

fn response(status: StatusCode, body: Bytes) -> HttpAnswer {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let json = warp::http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(warp::http::header::CONTENT_TYPE, json);
    response
}

async fn rejected(rejection: Rejection) -> Result<impl Reply, Infallible> {
    let status = if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        StatusCode::PAYLOAD_TOO_LARGE
    } else if rejection.is_not_found() {
        StatusCode::NOT_FOUND
    } else {
        StatusCode::BAD_REQUEST
    };
    Ok(response(status, Bytes::new()))
}

/// Answers the platform's readiness check until the process ends.
pub async fn serve_readiness(address: SocketAddr, readiness: Readiness) -> Result<(), SystemError> {
    let listener = bind(address).await?;
    let check = warp::path!("-" / "ready")
        .and(warp::get())
        .map(move || if readiness.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
    warp::serve(check).incoming(listener).run().await;
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, SystemError> {
    TcpListener::bind(address).await.map_err(|error| SystemError::Bind { address, error })
}
