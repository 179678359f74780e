//! Connections to other daemons: one HTTP/2 connection for each peer address.

use std::net::SocketAddr;
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
use tokio::net::TcpStream;

use super::body::RelayBody;

/// Longest wait for a peer to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between pings on a connection that carries requests.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait for the answer to a ping before the connection is given up.
const PING_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes that one unread answer may hold in the daemon.
const STREAM_WINDOW_BYTES: u32 = 128 * 1024;
/// Bytes that all unread answers of one peer may hold in the daemon.
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;
/// Requests in progress that one peer connection carries.
pub(super) const MAX_STREAMS: u32 = 4096;

/// Why a request to a peer got no answer.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// No connection could be made; not a byte was sent.
    #[snafu(display("cannot connect to the peer at {address}"))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The peer did not accept a connection in time; not a byte was sent.
    #[snafu(display("the peer at {address} accepted no connection within {CONNECT_TIMEOUT:?}"))]
    ConnectTimeout {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// The HTTP handshake failed; not a byte of the request was sent.
    #[snafu(display("cannot open an HTTP connection to the peer"))]
    Handshake {
        /// What the connection reported.
        source: hyper::Error,
    },
    /// The connection closed before the request was written.
    #[snafu(display("the connection to the peer closed before the request was sent"))]
    NotSent,
    /// The connection failed after the request may have been written.
    #[snafu(display("the peer failed before it answered"))]
    Failed {
        /// What the connection reported.
        source: hyper::Error,
    },
}

impl PeerError {
    /// Whether not a byte of the request can have reached the peer.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Connect { .. }
            | Self::ConnectTimeout { .. }
            | Self::Handshake { .. }
            | Self::NotSent => true,
            Self::Failed { .. } => false,
        }
    }
}

type Sender = http2::SendRequest<RelayBody>;

/// Open connections to peers, by address.
#[derive(Debug, Default)]
pub struct PeerPool {
    senders: Mutex<IndexMap<SocketAddr, Sender>>,
}

impl PeerPool {
    fn open(&self, address: SocketAddr) -> Option<Sender> {
        let mut senders = self.senders.lock();
        let sender = senders.get(&address)?;
        if sender.is_closed() {
            senders.swap_remove(&address);
            return None;
        }
        Some(sender.clone())
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, PeerError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let Ok(connected) = connecting.await else {
            return ConnectTimeoutSnafu { address }.fail();
        };
        let stream = connected.context(ConnectSnafu { address })?;
        // A lost Nagle setting costs latency, not correctness.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .context(HandshakeSnafu)?;
        tokio::spawn(connection);
        Ok(self.keep(address, sender))
    }

    /// Keeps the first of two connections that were opened at the same time.
    fn keep(&self, address: SocketAddr, sender: Sender) -> Sender {
        let mut senders = self.senders.lock();
        match senders.get(&address) {
            Some(earlier) if !earlier.is_closed() => earlier.clone(),
            _ => {
                senders.insert(address, sender.clone());
                sender
            }
        }
    }

    /// Sends a request to the peer at `address` and returns the answer's head.
    ///
    /// # Errors
    ///
    /// [`PeerError::is_unsent`] tells whether the request can have arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<RelayBody>,
    ) -> Result<Response<Incoming>, PeerError> {
        let mut sender = match self.open(address) {
            Some(sender) => sender,
            None => self.connect(address).await?,
        };
        if sender.ready().await.is_err() {
            self.forget(address);
            sender = self.connect(address).await?;
        }
        match sender.try_send_request(req).await {
            Ok(rsp) => Ok(rsp),
            Err(mut err) => match err.take_message() {
                Some(_) => Err(PeerError::NotSent),
                None => Err(PeerError::Failed { source: err.into_error() }),
            },
        }
    }

    /// Closes the connection to `address`, if there is one, to new requests.
    pub fn forget(&self, address: SocketAddr) {
        self.senders.lock().swap_remove(&address);
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.senders.lock().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
