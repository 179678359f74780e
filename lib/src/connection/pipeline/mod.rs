//! HTTP/1.1 connections whose pipelined requests are served concurrently.
//!
//! `hyper` serves the requests of a connection one after the other, so a pipelined request
//! would wait for the responses to all requests before it. Here, each request is served as
//! soon as it has been read, unless a response before it may break off, and the responses are
//! written in the order of the requests.
//! Heads and chunk sizes are parsed by `httparse`, as in `hyper`. See
//! `docs/design/answers.md`.

mod ahead;
mod body;
mod discard;
mod encode;
mod error;
mod framing;
mod head;
mod order;
mod pace;
mod pause;
mod reader;
mod requests;
mod stream;
mod writer;

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use http::Request;
use http::Response;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tower::Service;

pub use self::discard::DiscardLimit;
pub use self::discard::Discards;
use self::order::Order;
pub(crate) use self::order::Streaming;
pub(crate) use self::order::Turn;
use self::pause::Pauses;
use self::requests::Activity;
pub(crate) use self::requests::HEAD_COPIES;
pub(crate) use self::requests::REQUEST_BYTES;
use self::requests::RequestLoop;
use self::stream::ReadHalf;
pub use self::writer::CutReason;
use self::writer::WriteError;
use self::writer::WriterCx;
use super::body::BodyMemory;
use super::body::RelayBody;
use super::listener::OnMalformed;
use crate::process::resources::ClientConnection;
use crate::process::resources::Clients;

/// Most pipelined requests of one connection that are served concurrently.
const MAX_PIPELINED: usize = 32;
/// Longest time for which input is discarded after the last response. Closing a connection
/// with unread input resets it, and the caller could lose the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Size limits and timeouts for the requests of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time from the first to the last byte of a head.
    pub head_timeout: Duration,
    /// Idle timeout that callers are told; an idle connection stays open somewhat longer.
    pub idle_timeout: Duration,
}

impl ConnectionLimits {
    /// Limits until operators have set theirs; wide enough for all limits that they may set.
    pub const UNTIL_CONFIGURED: Self = Self {
        head_bytes: 64 * 1024,
        body_bytes: 64 * 1024 * 1024,
        head_timeout: Duration::from_secs(10),
        idle_timeout: Duration::from_secs(60),
    };
}

/// Called with the reason why a response broke off and the number of requests behind it
/// that get no response either. If none of it had been written, its caller gets a status instead.
pub type OnCut = Arc<dyn Fn(CutReason, usize) + Send + Sync>;

/// Context that all connections of a listener share.
#[derive(Clone)]
pub struct ConnectionCx {
    /// Returns the limits in force; called for each request.
    pub limits: Arc<dyn Fn() -> ConnectionLimits + Send + Sync>,
    /// Called when received bytes cannot be parsed as a request.
    pub on_malformed: OnMalformed,
    /// Called when a connection ends because a response to a caller broke off.
    pub on_cut: OnCut,
    /// Memory for responses that are read ahead because requests behind them wait.
    pub memory: BodyMemory,
    /// Bounds the input that connections discard.
    pub discards: Discards,
    /// What all connections hold.
    pub clients: Arc<Clients>,
    /// Longest time for which a part of a body may be on its way.
    pub stall_timeout: Duration,
    /// When cancelled, connections close once the requests already read are answered.
    pub stop: CancellationToken,
}

/// Prepares a listener for connections that are served here.
pub(super) fn prepare(listener: &TcpListener) -> std::io::Result<()> {
    stream::limit_buffers(listener)
}

/// Serves the requests of one connection until either side closes it, or it has to end because
/// clients hold too much.
///
/// The requests in progress are dropped if the connection ends.
pub(super) async fn serve<S>(
    stream: TcpStream,
    service: S,
    cx: ConnectionCx,
    client: ClientConnection,
) where
    S: Service<Request<RelayBody>, Response = Response<RelayBody>, Error = Infallible>,
    S: Clone + Send + Sync + 'static,
    S::Future: Send,
{
    // Without TCP_NODELAY the connection works, but with a higher latency.
    let _ = stream.set_nodelay(true);
    let (mut from_caller, mut to_caller) = stream::split(stream);
    let watched = from_caller.clone();
    let activity = Arc::new(Activity::new());
    let pauses = Pauses {
        stream: &watched,
        account: &client,
        activity: &activity,
        stall_timeout: cx.stall_timeout,
    };
    let (tx, mut rx) = mpsc::channel(MAX_PIPELINED);
    let closing = cx.stop.child_token();
    let last_announced = AtomicBool::new(false);
    let order = Arc::<Order>::default();
    let requests =
        RequestLoop::new(pauses, service, &cx, closing.clone(), &last_announced, &order, tx);
    let reading = async {
        requests.run().await;
        order.close();
    };
    let writer_cx = WriterCx {
        closing: &closing,
        last_announced: &last_announced,
        order: &order,
        on_cut: &cx.on_cut,
        memory: &cx.memory,
        account: &client,
        stall_timeout: cx.stall_timeout,
    };
    let written = tokio::select! {
        () = reading => return,
        holds_more = client.wait_cut() => {
            // Before the responses are dropped, upon which requests behind them could be passed on.
            order.close();
            if holds_more {
                watched.drop_unsent();
            }
            return;
        }
        written = writer::run(&mut to_caller, &mut rx, &writer_cx) => written,
    };
    if matches!(written, Err(WriteError::Stalled)) {
        client.cut_stalled();
        watched.drop_unsent();
    }
    if let Some(reason) = written.as_ref().err().and_then(WriteError::cut_reason) {
        (cx.on_cut)(reason, rx.len());
    }
    if written.is_ok() && to_caller.shutdown().await.is_ok() {
        linger(&mut from_caller, &cx.discards).await;
    }
}

/// Discards input until the caller closes its side of the connection, too.
async fn linger(from_caller: &mut ReadHalf, discards: &Discards) {
    // A caller that continues to send is disconnected.
    let _ = timeout(LINGER_TIMEOUT, discards.discard(from_caller)).await;
}
