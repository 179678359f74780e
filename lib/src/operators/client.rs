//! Client of the daemons' operator listeners.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt as _;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::net::TcpStream;

use crate::connection::limited::Input;
use crate::connection::limited::LimitedStream;
use crate::connection::limited::ReadLimit;
use crate::process::status::DrainReport;
use crate::process::status::ErrorReport;

/// Time within which a daemon must respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A request to a daemon failed.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The connection could not be established.
    #[snafu(display(
        "cannot connect: {source}; is the daemon running, and is this the address of its operator listener?"
    ))]
    Connect {
        /// Error of the connection attempt.
        source: std::io::Error,
    },
    /// The connection failed before the head of the response had arrived.
    #[snafu(display(
        "the connection failed: {source}; is this the address of the operator listener?"
    ))]
    Exchange {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The response body is incomplete or exceeds the maximum length.
    #[snafu(display("the response is incomplete or too long"))]
    Body,
    /// The daemon did not respond in time.
    #[snafu(display("no response within {RESPONSE_TIMEOUT:?}"))]
    TimedOut,
    /// The daemon responded with an error status.
    #[snafu(display("refused with status {status}: {error}"))]
    Refused {
        /// HTTP status of the response.
        status: StatusCode,
        /// Error message of the daemon.
        error: String,
    },
    /// The response body is not the expected JSON document.
    #[snafu(display("the response is not a valid report: {source}"))]
    Unreadable {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

/// The report of one daemon, or the error of the request for it.
#[derive(Clone, Debug, Serialize)]
pub struct DaemonResult<T> {
    /// Address of the daemon's operator listener.
    pub address: SocketAddr,
    /// The report; `None` if the request failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report: Option<T>,
    /// Why the request failed; `None` if there is a report.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

impl<T> DaemonResult<T> {
    fn new(address: SocketAddr, result: Result<T, ClientError>) -> Self {
        match result {
            Ok(report) => Self { address, report: Some(report), error: None },
            Err(err) => Self { address, report: None, error: Some(err.to_string()) },
        }
    }
}

/// Requests the report at `path` from one daemon.
///
/// # Errors
///
/// Fails if the daemon does not respond in time, responds with an error, or the
/// response cannot be parsed.
pub async fn query<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, ClientError> {
    exchange(address, Method::GET, path).await
}

/// Requests the report at `path` from several daemons concurrently. The results are
/// in the order of `addresses`.
pub async fn query_all<T: DeserializeOwned>(
    addresses: &[SocketAddr],
    path: &str,
) -> Vec<DaemonResult<T>> {
    let requests = addresses
        .iter()
        .map(async |&address| DaemonResult::new(address, query(address, path).await));
    join_all(requests).await
}

/// Starts draining several daemons concurrently. The results are in the order of
/// `addresses`.
pub async fn drain(addresses: &[SocketAddr]) -> Vec<DaemonResult<DrainReport>> {
    let requests = addresses.iter().map(async |&address| {
        DaemonResult::new(address, exchange(address, Method::POST, "/drain").await)
    });
    join_all(requests).await
}

async fn exchange<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
) -> Result<T, ClientError> {
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, fetch(address, method, path)).await;
    let (status, bytes) = response.map_err(|_| ClientError::TimedOut)??;
    if status.is_success() {
        return serde_json::from_slice(&bytes).context(UnreadableSnafu);
    }
    let error = match serde_json::from_slice::<ErrorReport>(&bytes) {
        Ok(report) => report.error,
        Err(_) => "no reason given".to_owned(),
    };
    RefusedSnafu { status, error }.fail()
}

async fn fetch(
    address: SocketAddr,
    method: Method,
    path: &str,
) -> Result<(StatusCode, Bytes), ClientError> {
    let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
    let limit = ReadLimit::new(Input::Reports);
    let io = TokioIo::new(LimitedStream::new(stream, limit.clone()));
    let (mut sender, connection) = http1::handshake(io).await.context(ExchangeSnafu)?;
    // The task ends when `sender` is dropped. A connection error is returned by the
    // request as well.
    tokio::spawn(connection);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .expect("the method, path and address make a valid request");
    limit.expect_response();
    let rsp = sender.send_request(req).await.context(ExchangeSnafu)?;
    limit.start_body(rsp.headers());
    let status = rsp.status();
    let body = Limited::new(limit.count(rsp.into_body()), MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|_| ClientError::Body)?;
    Ok((status, body.to_bytes()))
}
