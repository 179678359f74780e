//! HTTP/1.1 connections whose pipelined requests are served side by side.
//!
//! `hyper` serves the requests of one connection one after the other, so a
//! request that was sent behind others would wait for their answers. Here each
//! is served as soon as it has been read; the answers leave in the order of the
//! requests. Heads and chunk sizes are parsed by `httparse`, as in `hyper`. See
//! `docs/design/answers.md`.

mod body;
mod encode;
mod error;
mod framing;
mod head;
mod reader;
mod requests;
mod writer;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tower::Service;

use self::requests::Requests;
use super::body::RelayBody;
use super::listener::OnMalformed;

/// Requests of one connection that are served side by side at most.
const PIPELINED_MAX: usize = 32;
/// Time for which a closed connection is read on: closing it with unread bytes
/// would reset it, and the last answer could be lost.
const LINGER: Duration = Duration::from_secs(1);

/// What the requests of a connection may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Time without a request after which the connection is closed.
    pub idle_timeout: Duration,
}

impl ConnectionLimits {
    /// Limits until operators have told theirs: wide enough for any of them.
    pub const UNTOLD: Self = Self {
        head_bytes: 64 * 1024,
        body_bytes: 64 * 1024 * 1024,
        head_timeout: Duration::from_secs(10),
        idle_timeout: Duration::from_secs(60),
    };
}

/// What all connections of a listener share.
#[derive(Clone)]
pub struct ConnectionCx {
    /// The limits in force, asked anew for each request.
    pub limits: Arc<dyn Fn() -> ConnectionLimits + Send + Sync>,
    /// Called when bytes cannot be read as requests.
    pub on_malformed: OnMalformed,
    /// Ends the connection after the requests that were read.
    pub stop: CancellationToken,
}

/// Serves the requests of one connection until either side ends it.
///
/// The requests in progress are dropped if the caller closes the connection.
pub(super) async fn serve<S>(stream: TcpStream, service: S, cx: ConnectionCx)
where
    S: Service<Request<RelayBody>, Response = Response<RelayBody>, Error = Infallible>,
    S: Clone + Send + Sync + 'static,
    S::Future: Send,
{
    // A lost Nagle setting costs latency, not correctness.
    let _ = stream.set_nodelay(true);
    let (mut from_caller, mut to_caller) = stream.into_split();
    let (tx, mut rx) = mpsc::channel(PIPELINED_MAX);
    let closing = cx.stop.child_token();
    let requests = Requests::new(&mut from_caller, service, &cx, closing.clone(), tx);
    let is_done = tokio::select! {
        () = requests.run() => false,
        written = writer::run(&mut to_caller, &mut rx, &closing) => written.is_ok(),
    };
    if is_done && to_caller.shutdown().await.is_ok() {
        linger(&mut from_caller).await;
    }
}

/// Reads on until the caller has closed its side, too.
async fn linger(from_caller: &mut OwnedReadHalf) {
    let mut buf = [0; 4096];
    let reading = async { while let Ok(1..) = from_caller.read(&mut buf).await {} };
    // A caller that goes on sending is cut off.
    let _ = timeout(LINGER, reading).await;
}
