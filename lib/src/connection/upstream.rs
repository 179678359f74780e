//! Connections to the local upstream.
//!
//! A connection is used again only after an answer was read to its very end;
//! anything else closes it, so that no caller reads the remains of another
//! caller's answer. See `docs/design/answers.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::time::Instant;

use super::body::RelayBody;
use super::tcp;
use super::tcp::ConnectError;

/// Why a request to the local upstream got no answer.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// No connection could be made; not a byte was sent.
    #[snafu(display("cannot connect to the upstream"))]
    Connect {
        /// Why there is no connection.
        source: ConnectError,
    },
    /// The HTTP handshake failed; not a byte of the request was sent.
    #[snafu(display("cannot open an HTTP connection to the upstream"))]
    Handshake {
        /// What the connection reported.
        source: hyper::Error,
    },
    /// The connection closed before the request was written.
    #[snafu(display("the connection to the upstream closed before the request was sent"))]
    NotSent,
    /// The connection failed after the request may have been written.
    #[snafu(display("the upstream failed before it answered"))]
    Failed {
        /// What the connection reported.
        source: hyper::Error,
    },
}

impl UpstreamError {
    /// Whether not a byte of the request can have reached the upstream.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::Handshake { .. } | Self::NotSent => true,
            Self::Failed { .. } => false,
        }
    }
}

/// Longest answer that is read to its end to keep its connection, in bytes.
const DISCARDED_BYTES: u64 = 4096;
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Part of the time that the upstream states for which an idle connection is
/// used: a request must not meet the upstream's close on its way.
const KEPT_PART: f64 = 0.8;

type Sender = http1::SendRequest<RelayBody>;

/// Idle connections to one upstream, the most recently used last.
#[derive(Debug)]
pub struct UpstreamPool {
    address: SocketAddr,
    capacity: usize,
    idle: Mutex<Vec<Idle>>,
}

/// A connection without a request.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    /// Until when the upstream may be trusted not to close it.
    fresh_until: Option<Instant>,
}

impl Idle {
    fn is_usable(&self) -> bool {
        let is_fresh = self.fresh_until.is_none_or(|until| Instant::now() < until);
        is_fresh && self.sender.is_ready()
    }
}

/// A connection that carries one request.
#[derive(Debug)]
pub struct Lease {
    sender: Sender,
    pool: Arc<UpstreamPool>,
    /// For how long the upstream keeps the connection open without a request.
    keep_alive: Option<Duration>,
}

impl UpstreamPool {
    /// Creates a pool that keeps at most `capacity` idle connections.
    pub fn new(address: SocketAddr, capacity: usize) -> Arc<Self> {
        Arc::new(Self { address, capacity, idle: Mutex::new(Vec::new()) })
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock();
        while let Some(last) = idle.pop() {
            if last.is_usable() {
                return Some(last.sender);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Sender, UpstreamError> {
        let stream = tcp::connect(self.address).await.context(ConnectSnafu)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.context(HandshakeSnafu)?;
        tokio::spawn(connection);
        Ok(sender)
    }

    /// Sends a request and returns its answer with the lease of the connection.
    ///
    /// A request that provably was not written is sent again on a fresh
    /// connection, because an idle one may have been closed meanwhile.
    ///
    /// # Errors
    ///
    /// [`UpstreamError::is_unsent`] tells whether the request can have run.
    pub async fn send(
        self: &Arc<Self>,
        req: Request<RelayBody>,
    ) -> Result<(Response<Incoming>, Lease), UpstreamError> {
        let req = match self.take_idle() {
            Some(sender) => match self.send_on(sender, req).await {
                Ok(answer) => return Ok(answer),
                Err((UpstreamError::NotSent, Some(req))) => *req,
                Err((err, _)) => return Err(err),
            },
            None => req,
        };
        let sender = self.connect().await?;
        self.send_on(sender, req).await.map_err(|(err, _)| err)
    }

    async fn send_on(
        self: &Arc<Self>,
        mut sender: Sender,
        req: Request<RelayBody>,
    ) -> Result<(Response<Incoming>, Lease), (UpstreamError, Option<Box<Request<RelayBody>>>)> {
        match sender.try_send_request(req).await {
            Ok(rsp) => {
                let keep_alive = keep_alive(rsp.headers());
                Ok((rsp, Lease { sender, pool: Arc::clone(self), keep_alive }))
            }
            Err(mut err) => match err.take_message() {
                Some(req) => Err((UpstreamError::NotSent, Some(Box::new(req)))),
                None => Err((UpstreamError::Failed { source: err.into_error() }, None)),
            },
        }
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.lock().len()
    }
}

impl Lease {
    /// Gives the connection back once a short answer that nobody wants has been
    /// read to its end.
    pub fn discard_answer(self, rsp: Response<Incoming>) {
        let len = rsp.body().size_hint().exact();
        if len.is_none_or(|len| len > DISCARDED_BYTES) {
            return;
        }
        tokio::spawn(async move {
            if rsp.into_body().collect().await.is_ok() {
                self.release();
            }
        });
    }

    /// Gives the connection back after its answer was read to the end.
    pub fn release(mut self) {
        tokio::spawn(async move {
            // The connection is ready only when the request was written whole, too.
            if self.sender.ready().await.is_err() {
                return;
            }
            let fresh_until = self.keep_alive.map(|time| Instant::now() + time.mul_f64(KEPT_PART));
            let mut idle = self.pool.idle.lock();
            idle.retain(Idle::is_usable);
            if idle.len() < self.pool.capacity {
                idle.push(Idle { sender: self.sender, fresh_until });
            }
        });
    }
}

/// Reads for how long the other side keeps a connection without a request.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}
