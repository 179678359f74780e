//! Pool of connections to other daemons, with one HTTP/2 connection for each peer address.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use indexmap::IndexMap;
use parking_lot::Mutex;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;

use super::body::RelayBody;
use super::peer_stream::PeerStream;
use super::seal::Seal;
use super::seal::SealCheck;
use super::seal::check_response;
use super::seal::seal_request;
use super::tcp;
use super::tcp::ConnectError;
use crate::request::SEAL;

/// Pause between pings on a connection that carries requests.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the response to a ping before the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Flow-control window of a stream: most bytes of one unread body that are buffered.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 128 * 1024;
/// Most requests in progress on one peer connection.
pub(super) const MAX_STREAMS: u32 = 4096;

/// Why a request to a peer received no response.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The connection could not be opened; no part of the request was sent.
    #[snafu(display("cannot connect to the peer"))]
    Connect {
        /// Why the connection could not be opened.
        source: ConnectError,
    },
    /// The HTTP handshake failed; no part of the request was sent.
    #[snafu(display("cannot open an HTTP connection to the peer"))]
    Handshake {
        /// Error reported by the connection.
        source: hyper::Error,
    },
    /// The connection closed before the request was written.
    #[snafu(display("the connection to the peer closed before the request was sent"))]
    NotSent,
    /// The connection failed after the request may have been written.
    #[snafu(display("the connection to the peer failed before a response arrived"))]
    Failed {
        /// Error reported by the connection.
        source: hyper::Error,
    },
    /// The peer gave up this request alone; its connection works.
    #[snafu(display("the peer gave up the request before a response arrived"))]
    Reset {
        /// Error reported by the connection.
        source: hyper::Error,
    },
    /// The head of the response is not as the peer sent it.
    #[snafu(display("the head of the peer's response was corrupted on the way"))]
    Corrupted,
}

impl PeerError {
    /// Whether it is certain that no part of the request reached the peer.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::Handshake { .. } | Self::NotSent => true,
            Self::Failed { .. } | Self::Reset { .. } | Self::Corrupted => false,
        }
    }
}

/// Returns why a request failed that may have been written.
fn failure(source: hyper::Error) -> PeerError {
    let cause = std::error::Error::source(&source).and_then(|cause| cause.downcast_ref());
    match cause.is_some_and(|cause: &h2::Error| cause.is_reset() && cause.is_remote()) {
        true => PeerError::Reset { source },
        false => PeerError::Failed { source },
    }
}

/// Largest flow-control window that HTTP/2 allows, in bytes.
const MAX_WINDOW_BYTES: u32 = (1 << 31) - 1;

/// Returns the flow-control window of a connection on which so many bytes may be unread.
pub(super) fn connection_window(bytes: usize) -> u32 {
    u32::try_from(bytes).unwrap_or(MAX_WINDOW_BYTES).clamp(STREAM_WINDOW_BYTES, MAX_WINDOW_BYTES)
}

type Sender = http2::SendRequest<RelayBody>;

/// Open connections to peers, by address.
#[derive(Debug)]
pub struct PeerPool {
    connections: Mutex<IndexMap<SocketAddr, Sender>>,
    /// Number of requests sealed so far.
    sealed: AtomicU64,
    /// Flow-control window of a connection, in bytes.
    window: u32,
    closed_tx: UnboundedSender<SocketAddr>,
}

impl PeerPool {
    /// Creates an empty pool, and a channel that receives the peer address of every
    /// connection that closes.
    ///
    /// `window` is what the unread responses of one connection may hold, in bytes.
    pub fn new(window: usize) -> (Self, UnboundedReceiver<SocketAddr>) {
        let (closed_tx, closed_rx) = unbounded_channel();
        let (connections, sealed) = (Mutex::default(), AtomicU64::new(0));
        let window = connection_window(window);
        (Self { connections, sealed, window, closed_tx }, closed_rx)
    }

    fn open_connection(&self, address: SocketAddr) -> Option<Sender> {
        let mut connections = self.connections.lock();
        let sender = connections.get(&address)?;
        if sender.is_closed() {
            connections.swap_remove(&address);
            return None;
        }
        Some(sender.clone())
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, PeerError> {
        let stream = tcp::connect(address).await.context(ConnectSnafu)?;
        let (sender, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(self.window)
            .handshake(TokioIo::new(PeerStream::connected(stream)))
            .await
            .context(HandshakeSnafu)?;
        let closed_tx = self.closed_tx.clone();
        tokio::spawn(async move {
            // An error of the connection is also returned to the requests on it.
            let _ = connection.await;
            // The receiver no longer exists once the daemon has stopped.
            let _ = closed_tx.send(address);
        });
        Ok(self.insert_if_absent(address, sender))
    }

    /// Adds a connection to the pool, unless an earlier one to the same peer is open, and
    /// returns the connection in the pool. Two can be opened at the same time.
    fn insert_if_absent(&self, address: SocketAddr, sender: Sender) -> Sender {
        let mut connections = self.connections.lock();
        match connections.get(&address) {
            Some(earlier) if !earlier.is_closed() => earlier.clone(),
            _ => {
                connections.insert(address, sender.clone());
                sender
            }
        }
    }

    /// Sends a request to the peer at `address` and returns the response once its head has
    /// arrived.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives; [`PeerError::is_unsent`] states whether the peer may have
    /// received the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut req: Request<RelayBody>,
    ) -> Result<Response<Incoming>, PeerError> {
        let mut sender = match self.open_connection(address) {
            Some(sender) => sender,
            None => self.connect(address).await?,
        };
        if sender.ready().await.is_err() {
            self.remove(address);
            sender = self.connect(address).await?;
        }
        let seal = seal_request(&mut req, self.sealed.fetch_add(1, Ordering::Relaxed));
        match sender.try_send_request(req).await {
            Ok(rsp) => self.check_seal(address, rsp, seal),
            Err(mut err) => match err.take_message() {
                Some(_) => Err(PeerError::NotSent),
                None => Err(failure(err.into_error())),
            },
        }
    }

    /// Checks that a response is as its peer sent it; gives up the connection otherwise.
    ///
    /// A response without a seal is not believed either: it may have lost it on the way, and the
    /// peer sends none if it could not read the request.
    fn check_seal(
        &self,
        address: SocketAddr,
        mut rsp: Response<Incoming>,
        request: Seal,
    ) -> Result<Response<Incoming>, PeerError> {
        match check_response(&rsp, request) {
            SealCheck::Valid(_) => {
                rsp.headers_mut().remove(SEAL);
                Ok(rsp)
            }
            check @ (SealCheck::Missing | SealCheck::Broken) => {
                spdlog::warn!("event=head-corrupted of=response peer={address} check={check:?}");
                self.remove(address);
                CorruptedSnafu.fail()
            }
        }
    }

    /// Removes the connection to `address`, if there is one, from the pool. Requests in
    /// progress on the connection continue.
    pub fn remove(&self, address: SocketAddr) {
        self.connections.lock().swap_remove(&address);
    }

    /// Returns the addresses of the peers to which a connection is open.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.connections.lock().keys().copied().collect()
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.lock().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
