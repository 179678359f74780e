//! Asks the operator listeners of daemons.

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

use crate::process::status::DrainReport;
use crate::process::status::ErrorReport;

/// How long one daemon may take to answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A daemon gave no usable answer.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No connection could be made.
    #[snafu(display(
        "cannot connect: {source}; is the daemon running, and is this the address of its operator listener?"
    ))]
    Connect {
        /// Why not.
        source: std::io::Error,
    },
    /// The connection failed before the whole answer.
    #[snafu(display(
        "the connection failed: {source}; is this the address of the operator listener?"
    ))]
    Exchange {
        /// What failed.
        source: hyper::Error,
    },
    /// The answer was cut short or is too long.
    #[snafu(display("the answer could not be read whole"))]
    Body,
    /// The daemon took too long.
    #[snafu(display("no answer within {PATIENCE:?}"))]
    TimedOut,
    /// The daemon answered with an error.
    #[snafu(display("refused with status {status}: {error}"))]
    Refused {
        /// HTTP status of the answer.
        status: StatusCode,
        /// What the daemon says.
        error: String,
    },
    /// The answer is no JSON of the expected shape.
    #[snafu(display("the answer is not one of a daemon: {source}"))]
    Unreadable {
        /// Where it departs from the shape.
        source: serde_json::Error,
    },
}

/// What one daemon answered, or why it did not.
#[derive(Clone, Debug, Serialize)]
pub struct Answer<T> {
    /// Address that was asked.
    pub address: SocketAddr,
    /// The answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report: Option<T>,
    /// Why there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

impl<T> Answer<T> {
    fn new(address: SocketAddr, result: Result<T, ClientError>) -> Self {
        match result {
            Ok(report) => Self { address, report: Some(report), error: None },
            Err(err) => Self { address, report: None, error: Some(err.to_string()) },
        }
    }
}

/// Asks one daemon.
///
/// # Errors
///
/// Fails if the daemon does not answer, refuses, or is no daemon.
pub async fn ask<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, ClientError> {
    exchange(address, Method::GET, path).await
}

/// Asks several daemons at the same time; the answers keep the order.
pub async fn ask_all<T: DeserializeOwned>(addresses: &[SocketAddr], path: &str) -> Vec<Answer<T>> {
    let asked =
        addresses.iter().map(async |&address| Answer::new(address, ask(address, path).await));
    join_all(asked).await
}

/// Tells several daemons to drain.
pub async fn drain(addresses: &[SocketAddr]) -> Vec<Answer<DrainReport>> {
    let told = addresses.iter().map(async |&address| {
        Answer::new(address, exchange(address, Method::POST, "/drain").await)
    });
    join_all(told).await
}

async fn exchange<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
) -> Result<T, ClientError> {
    let answered = tokio::time::timeout(PATIENCE, fetch(address, method, path)).await;
    let (status, bytes) = answered.map_err(|_| ClientError::TimedOut)??;
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
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.context(ExchangeSnafu)?;
    // The connection ends with the sender; its failure shows in the answer.
    tokio::spawn(connection);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .expect("the method, path and address make a sound request");
    let rsp = sender.send_request(req).await.context(ExchangeSnafu)?;
    let status = rsp.status();
    let body = Limited::new(rsp.into_body(), MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|_| ClientError::Body)?;
    Ok((status, body.to_bytes()))
}
