//! Listeners, each with an accept loop and a graceful shutdown.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::server::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::Service;
use tower::ServiceBuilder;

use super::accepted::AcceptedConnection;
use super::accepted::AcceptedConnections;
use super::body;
use super::body::RelayBody;
use super::limited::Input;
use super::limited::LimitedStream;
use super::limited::ReadLimit;
use super::peer_stream::PeerStream;
use super::peers::MAX_STREAMS;
use super::peers::STREAM_WINDOW_BYTES;
use super::peers::connection_window;
use super::pipeline;
use super::pipeline::ConnectionCx;
use super::seal::Sealed;
use super::tcp;
use crate::process::resources::Clients;

/// Longest time that a client may take to send the head of an HTTP/1.1 request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, to avoid a busy loop when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Time for which a listener that is told to close still accepts connections.
const LAST_ACCEPT_TIME: Duration = Duration::from_millis(50);

/// The address of a listener cannot be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}; the address must be free and belong to this VM"))]
pub struct BindError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Protocol of the connections that a listener accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protocol {
    /// HTTP/1.1, for callers, upstreams and operators.
    Http1,
    /// HTTP/2 with prior knowledge, for peers.
    Http2,
}

/// What the connections of a listener are, and how many there may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerOptions {
    /// Protocol that they speak.
    pub protocol: Protocol,
    /// Most of them at a time. One more ends the oldest that has sent no request.
    pub max_connections: usize,
    /// Longest head of a request that is read, in bytes. A head that exceeds the limit of the
    /// settings is rejected later, with a response that states the reason.
    pub max_head_bytes: usize,
    /// What the unread bodies of the requests on a connection of HTTP/2 may hold, in bytes.
    pub window: usize,
}

/// Binds a TCP listener to `address`.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this VM.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, BindError> {
    TcpListener::bind(address).await.context(BindSnafu { address })
}

/// Called when bytes received on a connection cannot be parsed as a request.
pub type OnMalformed = Arc<dyn Fn() + Send + Sync>;

/// Accepts connections until `stop` is cancelled, then waits for the requests in progress.
pub async fn serve<S>(
    listener: TcpListener,
    options: ListenerOptions,
    service: S,
    stop: CancellationToken,
    on_malformed: OnMalformed,
) where
    S: Service<Request<RelayBody>, Response = Response<RelayBody>, Error = Infallible>,
    S: Clone + Send + Sync + 'static,
    S::Future: Send,
{
    let graceful = GracefulShutdown::new();
    let open = AcceptedConnections::new(options.max_connections);
    let spawn = |stream, remote| {
        let (service, on_malformed) = (service.clone(), on_malformed.clone());
        spawn_connection(stream, options, service, &graceful, open.add(remote), on_malformed);
    };
    loop {
        let connected = tokio::select! {
            () = stop.cancelled() => break,
            connected = listener.accept() => connected,
        };
        match connected {
            Ok((stream, remote)) => spawn(stream, remote),
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
    accept_waiting(&listener, spawn).await;
    drop(listener);
    graceful.shutdown().await;
}

/// Accepts HTTP/1.1 connections like [`serve`], but serves the pipelined requests of a
/// connection concurrently.
pub async fn serve_pipelined<S>(listener: TcpListener, service: S, cx: ConnectionCx)
where
    S: Service<Request<RelayBody>, Response = Response<RelayBody>, Error = Infallible>,
    S: Clone + Send + Sync + 'static,
    S::Future: Send,
{
    if let Err(err) = pipeline::prepare(&listener) {
        spdlog::warn!("event=buffers-unlimited error={err}");
    }
    let connections = TaskTracker::new();
    let spawn = |stream, remote: SocketAddr| {
        let client = cx.clients.open(remote.ip());
        connections.spawn(pipeline::serve(stream, service.clone(), cx.clone(), client));
    };
    loop {
        let accepted = tokio::select! {
            () = cx.stop.cancelled() => break,
            accepted = accept(&listener, &cx.clients) => accepted,
        };
        match accepted {
            Ok((stream, remote)) => spawn(stream, remote),
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
    accept_waiting(&listener, spawn).await;
    drop(listener);
    connections.close();
    connections.wait().await;
}

/// Accepts a connection once those that were ended for earlier ones are closed.
async fn accept(listener: &TcpListener, clients: &Clients) -> io::Result<(TcpStream, SocketAddr)> {
    clients.wait_acceptable().await;
    listener.accept().await
}

/// Accepts the connections that wait for it. Their requests may have been sent already, and
/// closing the listener would reset them.
async fn accept_waiting(listener: &TcpListener, spawn: impl Fn(TcpStream, SocketAddr)) {
    let end = Instant::now() + LAST_ACCEPT_TIME;
    while let Ok(Ok((stream, remote))) = timeout_at(end, listener.accept()).await {
        spawn(stream, remote);
    }
}

fn spawn_connection<S>(
    stream: TcpStream,
    options: ListenerOptions,
    service: S,
    graceful: &GracefulShutdown,
    accepted: AcceptedConnection,
    on_malformed: OnMalformed,
) where
    S: Service<Request<RelayBody>, Response = Response<RelayBody>, Error = Infallible>,
    S: Clone + Send + Sync + 'static,
    S::Future: Send,
{
    let ListenerOptions { protocol, max_head_bytes, window, .. } = options;
    // The connection works without these options, but an unresponsive peer is detected late.
    let _ = match protocol {
        Protocol::Http1 => stream.set_nodelay(true),
        Protocol::Http2 => tcp::set_liveness_options(&stream),
    };
    match protocol {
        Protocol::Http1 => {
            let limit = ReadLimit::new(Input::Requests);
            let io = TokioIo::new(LimitedStream::new(stream, limit.clone()));
            let requests = limit.clone();
            let served = accepted.clone();
            let to_relay = move |req: Request<Incoming>| {
                served.record_request();
                requests.start_body(req.headers());
                req.map(|body| body::relay(requests.count(body)))
            };
            let service = ServiceBuilder::new().map_request(to_relay).service(service);
            let service = TowerToHyperService::new(service);
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(max_head_bytes)
                .serve_connection(io, service);
            let connection = graceful.watch(connection);
            tokio::spawn(async move {
                let Some(result) = until_cut(connection, &accepted).await else { return };
                match limit.is_exceeded() {
                    true => on_malformed(),
                    false => report_malformed(result, &on_malformed),
                }
            });
        }
        Protocol::Http2 => {
            let io = TokioIo::new(PeerStream::accepted(stream));
            let served = accepted.clone();
            let service = ServiceBuilder::new()
                .map_request(move |req: Request<Incoming>| {
                    served.record_request();
                    req.map(body::relay)
                })
                .service(service);
            let service = TowerToHyperService::new(Sealed::new(service));
            let connection = http2::Builder::new(TokioExecutor::new())
                .timer(TokioTimer::new())
                .max_concurrent_streams(MAX_STREAMS)
                .max_header_list_size(u32::try_from(max_head_bytes).unwrap_or(u32::MAX))
                .initial_stream_window_size(STREAM_WINDOW_BYTES)
                .initial_connection_window_size(connection_window(window))
                .serve_connection(io, service);
            let connection = graceful.watch(connection);
            tokio::spawn(async move {
                let Some(result) = until_cut(connection, &accepted).await else { return };
                report_malformed(result, &on_malformed);
            });
        }
    }
}

/// Serves a connection until it ends, or has to make room for another; `None` in that case.
async fn until_cut<T>(
    connection: impl Future<Output = T>,
    accepted: &AcceptedConnection,
) -> Option<T> {
    let ended = tokio::select! {
        result = connection => Some(result),
        () = accepted.cut.cancelled() => None,
    };
    // It no longer counts.
    accepted.cut.cancel();
    ended
}

/// Calls `on_malformed` if a connection failed because its bytes could not be parsed, or were
/// control frames without end. Any other error of a connection is returned to its requests.
fn report_malformed(result: hyper::Result<()>, on_malformed: &OnMalformed) {
    if result.is_err_and(|err| err.is_parse() || err.is_parse_too_large() || is_flood(&err)) {
        on_malformed();
    }
}

/// Whether reading failed because of the bytes read. `h2` keeps only the kind of an error.
fn is_flood(err: &hyper::Error) -> bool {
    let cause = std::error::Error::source(err).and_then(|cause| cause.downcast_ref());
    cause.is_some_and(|cause: &io::Error| cause.kind() == io::ErrorKind::InvalidData)
}
