//! Sends counter increments to a statsd server over UDP.

use std::fmt;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use cadence::BufferedUdpMetricSink;
use cadence::Counted as _;
use cadence::StatsdClient;
use snafu::ResultExt as _;
use snafu::Snafu;

use super::Counter;

/// Prefix of all metric names at statsd.
const PREFIX: &str = "endivescale";

/// The statsd client cannot be set up.
#[derive(Debug, Snafu)]
pub enum StatsdError {
    /// The UDP socket cannot be opened.
    #[snafu(display("cannot open a UDP socket for the statsd server at {address}"))]
    Socket {
        /// Address of the statsd server.
        address: SocketAddr,
        /// Why the socket cannot be opened.
        source: std::io::Error,
    },
    /// The client library rejected the address or the socket.
    #[snafu(display("cannot create a client for the statsd server at {address}"))]
    Client {
        /// Address of the statsd server.
        address: SocketAddr,
        /// Why the client cannot be created.
        source: cadence::MetricError,
    },
}

/// A statsd client that sends counters as increments.
pub(super) struct Statsd {
    client: StatsdClient,
    /// Value of each counter when it was last sent.
    last_sent: Box<[AtomicU64]>,
}

impl Statsd {
    pub(super) fn new(address: SocketAddr) -> Result<Self, StatsdError> {
        let socket = bind_socket_for(address).context(SocketSnafu { address })?;
        let sink = BufferedUdpMetricSink::from(address, socket).context(ClientSnafu { address })?;
        let client = StatsdClient::from_sink(PREFIX, sink);
        let last_sent = Counter::all().map(|_| AtomicU64::new(0)).collect();
        Ok(Self { client, last_sent })
    }

    /// Buffers the increment of a counter since it was last sent.
    pub(super) fn send(&self, counter: Counter, value: u64) {
        let previous = self.last_sent[counter.index()].swap(value, Ordering::Relaxed);
        let increment = i64::try_from(value.saturating_sub(previous)).unwrap_or(i64::MAX);
        if increment > 0 {
            // UDP packets can get lost at any time, so that a failure to send one
            // is not reported either.
            let _ = self.client.count(&counter.to_string(), increment);
        }
    }

    /// Sends the buffered increments.
    pub(super) fn flush(&self) {
        // A packet that cannot be sent is treated as lost, as in `send`.
        let _ = self.client.flush();
    }
}

impl fmt::Debug for Statsd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Statsd").finish_non_exhaustive()
    }
}

fn bind_socket_for(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?,
        SocketAddr::V6(_) => UdpSocket::bind((Ipv6Addr::UNSPECIFIED, 0))?,
    };
    socket.set_nonblocking(true)?;
    Ok(socket)
}
