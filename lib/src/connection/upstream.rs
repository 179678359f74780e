//! Pool of connections to the local upstream.
//!
//! A connection is reused only after a response was read to its end; in all other cases it
//! is closed, so that no caller receives the rest of another caller's response. No request
//! is sent again on a connection that it was refused on. See `docs/design/answers.md`.

use std::fmt;
use std::hash::Hasher as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use siphasher::sip::SipHasher13;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::body::RelayBody;
use super::limited::CountedBody;
use super::limited::Input;
use super::limited::LimitedStream;
use super::limited::ReadLimit;
use super::tcp;
use super::tcp::ConnectError;
use crate::process::RequestName;

/// Why a request to the local upstream received no response.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// The connection could not be opened; no part of the request was sent.
    #[snafu(display("cannot connect to the upstream"))]
    Connect {
        /// Why the connection could not be opened.
        source: ConnectError,
    },
    /// The HTTP handshake failed; no part of the request was sent.
    #[snafu(display("cannot open an HTTP connection to the upstream"))]
    Handshake {
        /// Error reported by the connection.
        source: hyper::Error,
    },
    /// It was too late to send the request once a connection was open.
    #[snafu(display("it was too late to send the request"))]
    Withheld,
    /// The connection closed before the request was written.
    #[snafu(display("the connection to the upstream closed before the request was sent"))]
    NotSent,
    /// The connection failed after the request may have been written.
    #[snafu(display("the connection to the upstream failed before a response arrived"))]
    Failed {
        /// Error reported by the connection.
        source: hyper::Error,
    },
    /// The upstream sent interim responses without a final one.
    #[snafu(display("more than {MAX_INTERIM_RESPONSES} interim responses without a final one"))]
    TooManyInterim,
}

impl UpstreamError {
    /// Whether it is certain that no part of the request reached the upstream.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::Handshake { .. } | Self::Withheld | Self::NotSent => true,
            Self::Failed { .. } | Self::TooManyInterim => false,
        }
    }
}

/// Longest unwanted response that is read to its end so that its connection can be reused,
/// in bytes.
const MAX_DISCARDED_BYTES: u64 = 4096;
/// Most bytes of a request that wait in the socket while the upstream reads nothing.
const MAX_UNSENT_BYTES: u32 = 128 * 1024;
/// Longest head of a response that is accepted, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Number of interim responses to one request that are accepted.
const MAX_INTERIM_RESPONSES: u32 = 16;
/// Number of refused requests whose names a connection holds; after more it is closed.
const MAX_REFUSED_NAMES: usize = 32;
/// Time within which all connections to an upstream that has ended are closed.
const CONNECTIONS_CLOSE_TIME: Duration = Duration::from_millis(10);
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Fraction of the keep-alive timeout stated by the upstream for which an idle connection is
/// reused, so that the upstream does not close it while a request is in transit.
const KEEP_ALIVE_FRACTION: f64 = 0.8;

type Sender = http1::SendRequest<RelayBody>;

/// Which connection carries a request, and its place among the requests on that connection.
///
/// It prints as `key=value` pairs, so that the log tells whether two answers came on the same
/// connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionUse {
    /// Number of the connection since the start of the daemon.
    pub number: u32,
    /// Number of the request on the connection, from 1.
    pub count: u32,
}

impl fmt::Display for ConnectionUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "connection={} use={}", self.number, self.count)
    }
}

/// A connection, with the requests that must not be sent on it again.
///
/// A second copy of a refusal may still arrive. It names the refused request, so it would
/// be believed if that request were running on the same connection.
#[derive(Debug)]
struct Connection {
    sender: Sender,
    /// The last request that was sent on the connection.
    last_use: ConnectionUse,
    /// Hashes of their names, which callers choose as long as they like. One that is equal by
    /// chance only keeps another request off the connection.
    refused: Vec<u64>,
    /// Limits the reading from the connection.
    limit: ReadLimit,
}

fn hash_name(name: &RequestName) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_str().as_bytes());
    hasher.finish()
}

impl Connection {
    fn has_refused(&self, name: Option<&RequestName>) -> bool {
        name.is_some_and(|name| self.refused.contains(&hash_name(name)))
    }
}

/// Idle connections to one upstream, the most recently used last.
#[derive(Debug)]
pub struct UpstreamPool {
    address: SocketAddr,
    capacity: usize,
    /// Number of connections opened so far.
    opened: AtomicU32,
    idle: Mutex<Vec<IdleConnection>>,
}

/// A connection without a request in progress.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    /// When the connection is no longer reused because the upstream may close it; `None` if
    /// the upstream stated no timeout.
    reuse_until: Option<Instant>,
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        let is_unexpired = self.reuse_until.is_none_or(|until| Instant::now() < until);
        is_unexpired && self.connection.sender.is_ready()
    }
}

/// A connection that is in use for one request.
#[derive(Debug)]
pub struct Lease {
    connection: Connection,
    pool: Arc<UpstreamPool>,
    /// How long the upstream keeps an idle connection open, if its response stated that.
    keep_alive: Option<Duration>,
}

impl UpstreamPool {
    /// Creates a pool that keeps at most `capacity` idle connections.
    pub fn new(address: SocketAddr, capacity: usize) -> Arc<Self> {
        let (opened, idle) = (AtomicU32::new(0), Mutex::new(Vec::new()));
        Arc::new(Self { address, capacity, opened, idle })
    }

    /// Takes the most recently used connection that has not refused the request `name`.
    fn take_idle(&self, name: Option<&RequestName>) -> Option<Connection> {
        let mut idle = self.idle.lock();
        for index in (0..idle.len()).rev() {
            if !idle[index].is_usable() {
                idle.remove(index);
            } else if !idle[index].connection.has_refused(name) {
                return Some(idle.remove(index).connection);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Connection, UpstreamError> {
        let stream = tcp::connect_with_unsent_limit(self.address, MAX_UNSENT_BYTES).await;
        let stream = stream.context(ConnectSnafu)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let limit = ReadLimit::new(Input::Responses);
        let stream = LimitedStream::new(stream, limit.clone()).with_window_watch();
        let (sender, connection) =
            builder.handshake(TokioIo::new(stream)).await.context(HandshakeSnafu)?;
        tokio::spawn(connection);
        let number = self.opened.fetch_add(1, Ordering::Relaxed) + 1;
        let last_use = ConnectionUse { number, count: 0 };
        Ok(Connection { sender, last_use, refused: Vec::new(), limit })
    }

    /// Sends the request `name` and returns the response with the lease of its connection.
    ///
    /// A request that was certainly not written is sent again on a new connection, because
    /// the upstream may have closed an idle one in the meantime. `may_send` is asked once a
    /// connection is open, and `on_send` is told each connection before the request is sent on
    /// it.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives; [`UpstreamError::is_unsent`] states whether the upstream
    /// may have run the request.
    pub async fn send(
        self: &Arc<Self>,
        req: Request<RelayBody>,
        name: Option<&RequestName>,
        may_send: impl Fn() -> bool,
        on_send: impl Fn(ConnectionUse),
    ) -> Result<(Response<Incoming>, Lease), UpstreamError> {
        let req = match self.take_idle(name) {
            Some(connection) => match self.send_on(connection, req, &on_send).await {
                Ok(response) => return Ok(response),
                Err((UpstreamError::NotSent, Some(req))) => *req,
                Err((err, _)) => return Err(err),
            },
            None => req,
        };
        let connection = self.connect().await?;
        if !may_send() {
            return WithheldSnafu.fail();
        }
        self.send_on(connection, req, &on_send).await.map_err(|(err, _)| err)
    }

    async fn send_on(
        self: &Arc<Self>,
        mut connection: Connection,
        mut req: Request<RelayBody>,
        on_send: &impl Fn(ConnectionUse),
    ) -> Result<(Response<Incoming>, Lease), (UpstreamError, Option<Box<Request<RelayBody>>>)> {
        connection.last_use.count += 1;
        on_send(connection.last_use);
        let flooded = limit_interim_responses(&mut req, connection.limit.clone());
        connection.limit.expect_response();
        let sent = tokio::select! {
            biased;
            sent = connection.sender.try_send_request(req) => sent,
            () = flooded.notified() => return Err((UpstreamError::TooManyInterim, None)),
        };
        match sent {
            Ok(rsp) => {
                connection.limit.start_body(rsp.headers());
                let keep_alive = keep_alive_timeout(rsp.headers());
                Ok((rsp, Lease { connection, pool: Arc::clone(self), keep_alive }))
            }
            Err(mut err) => match err.take_message() {
                Some(req) => Err((UpstreamError::NotSent, Some(Box::new(req)))),
                None => Err((UpstreamError::Failed { source: err.into_error() }, None)),
            },
        }
    }

    /// Returns whether the upstream has ended, after a connection to it failed.
    ///
    /// If other connections are still open, only that one was reset. Otherwise a new one
    /// shows whether anything listens.
    pub(crate) async fn has_ended(&self) -> bool {
        tokio::time::sleep(CONNECTIONS_CLOSE_TIME).await;
        if self.idle.lock().iter().any(IdleConnection::is_usable) {
            return false;
        }
        match tcp::connect(self.address).await {
            Ok(_) | Err(ConnectError::TimedOut { .. }) => false,
            Err(ConnectError::Failed { source, .. }) => {
                source.kind() == std::io::ErrorKind::ConnectionRefused
            }
        }
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.lock().len()
    }
}

impl Lease {
    /// Returns which connection carries the request.
    pub fn connection(&self) -> ConnectionUse {
        self.connection.last_use
    }

    /// Returns the body of the response, read under the limit of its connection.
    pub(crate) fn count(&self, body: Incoming) -> CountedBody {
        self.connection.limit.count(body)
    }

    /// Reads a short refusal of the request `name` to its end and returns the connection to
    /// the pool. If the refusal is long or its length is unknown, or the connection has
    /// refused many requests, the connection is closed instead.
    pub fn discard_refusal(mut self, rsp: Response<Incoming>, name: Option<&RequestName>) {
        let len = rsp.body().size_hint().exact();
        let is_long = len.is_none_or(|len| len > MAX_DISCARDED_BYTES);
        let refused = &mut self.connection.refused;
        if is_long || refused.len() >= MAX_REFUSED_NAMES {
            return;
        }
        refused.extend(name.map(hash_name));
        tokio::spawn(async move {
            if rsp.into_body().collect().await.is_ok() {
                self.release();
            }
        });
    }

    /// Returns the connection to the pool. The response must have been read to its end.
    pub fn release(mut self) {
        tokio::spawn(async move {
            // The connection becomes ready only once the whole request was written, too.
            if self.connection.sender.ready().await.is_err() {
                return;
            }
            // A timeout that is too long for the clock never ends.
            let reuse_until = self.keep_alive.and_then(|timeout| {
                Instant::now().checked_add(timeout.mul_f64(KEEP_ALIVE_FRACTION))
            });
            let mut idle = self.pool.idle.lock();
            idle.retain(IdleConnection::is_usable);
            if idle.len() < self.pool.capacity {
                idle.push(IdleConnection { connection: self.connection, reuse_until });
            }
        });
    }
}

/// Counts the interim responses to a request. When there are too many, reading stops and the
/// returned event occurs.
///
/// The event alone would come late: the task of the connection reads on until it yields, which
/// can be megabytes later.
fn limit_interim_responses(req: &mut Request<RelayBody>, limit: ReadLimit) -> Arc<Notify> {
    let flooded = Arc::new(Notify::new());
    let (count, event) = (AtomicU32::new(0), Arc::clone(&flooded));
    on_informational(req, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
            limit.stop_reading();
            event.notify_one();
        }
    });
    flooded
}

/// Returns the timeout stated in the `keep-alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}
