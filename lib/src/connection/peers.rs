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
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;

use super::body::RelayBody;
use super::tcp;
use super::tcp::ConnectError;

/// Pause between pings on a connection that carries requests.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a ping before the connection is given up.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
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
    #[snafu(display("cannot connect to the peer"))]
    Connect {
        /// Why there is no connection.
        source: ConnectError,
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
            Self::Connect { .. } | Self::Handshake { .. } | Self::NotSent => true,
            Self::Failed { .. } => false,
        }
    }
}

type Sender = http2::SendRequest<RelayBody>;

/// Open connections to peers, by address.
#[derive(Debug)]
pub struct PeerPool {
    senders: Mutex<IndexMap<SocketAddr, Sender>>,
    ended_tx: UnboundedSender<SocketAddr>,
}

impl PeerPool {
    /// Returns a pool without connections, and where it tells of those that end.
    pub fn new() -> (Self, UnboundedReceiver<SocketAddr>) {
        let (ended_tx, ended) = unbounded_channel();
        (Self { senders: Mutex::default(), ended_tx }, ended)
    }

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
        let stream = tcp::connect(address).await.context(ConnectSnafu)?;
        let (sender, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .context(HandshakeSnafu)?;
        let ended_tx = self.ended_tx.clone();
        tokio::spawn(async move {
            // How it ended is seen by the requests that it carried.
            let _ = connection.await;
            // Nobody listens any more once the daemon has stopped.
            let _ = ended_tx.send(address);
        });
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
