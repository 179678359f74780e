//! Sends counters to a statsd server.

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

/// Every name at statsd begins with this.
const PREFIX: &str = "endivescale";

/// Counters that cannot be sent to statsd.
#[derive(Debug, Snafu)]
pub enum StatsdError {
    /// No socket could be opened.
    #[snafu(display("cannot open a UDP socket towards statsd at {address}"))]
    Socket {
        /// Address of the statsd server.
        address: SocketAddr,
        /// Why the socket cannot be opened.
        source: std::io::Error,
    },
    /// The client refused the address.
    #[snafu(display("cannot send to statsd at {address}"))]
    Client {
        /// Address of the statsd server.
        address: SocketAddr,
        /// Why the client cannot be used.
        source: cadence::MetricError,
    },
}

pub(super) struct Statsd {
    client: StatsdClient,
    /// What was last sent of each counter.
    sent: Box<[AtomicU64]>,
}

impl Statsd {
    pub(super) fn new(address: SocketAddr) -> Result<Self, StatsdError> {
        let socket = socket_towards(address).context(SocketSnafu { address })?;
        let sink = BufferedUdpMetricSink::from(address, socket).context(ClientSnafu { address })?;
        let client = StatsdClient::from_sink(PREFIX, sink);
        let sent = Counter::all().map(|_| AtomicU64::new(0)).collect();
        Ok(Self { client, sent })
    }

    /// Queues the difference to what was last sent of a counter.
    pub(super) fn send(&self, counter: Counter, value: u64) {
        let last = self.sent[counter.index()].swap(value, Ordering::Relaxed);
        let difference = i64::try_from(value.saturating_sub(last)).unwrap_or(i64::MAX);
        if difference > 0 {
            // A lost packet is the normal loss of UDP and no reason to stop.
            let _ = self.client.count(&counter.to_string(), difference);
        }
    }

    pub(super) fn flush(&self) {
        // As above: a packet that cannot be sent is a lost packet.
        let _ = self.client.flush();
    }
}

impl fmt::Debug for Statsd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Statsd").finish_non_exhaustive()
    }
}

fn socket_towards(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?,
        SocketAddr::V6(_) => UdpSocket::bind((Ipv6Addr::UNSPECIFIED, 0))?,
    };
    socket.set_nonblocking(true)?;
    Ok(socket)
}
