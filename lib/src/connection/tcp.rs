//! TCP connections that notice when the other side has gone silent.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::ResultExt as _;
use snafu::Snafu;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for a connection to be accepted. The first lost packet of a
/// handshake is sent again after a second, so less would give up on a loss.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Silence after which the other side is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Pause between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection is given up.
const PROBES: u32 = 2;
/// Longest time that sent bytes stay unacknowledged before the connection is
/// given up; with the probes, a dead connection is noticed within 3 s.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2500);

/// A connection that could not be made; not a byte was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The system reported a failure.
    #[snafu(display("cannot connect to {address}"))]
    Failed {
        /// The other side.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
    /// Nobody answered.
    #[snafu(display("{address} accepted no connection within {CONNECT_TIMEOUT:?}"))]
    TimedOut {
        /// The other side.
        address: SocketAddr,
    },
}

/// Opens a connection that fails once the other side has been silent for some
/// seconds, whether or not anything is sent.
///
/// # Errors
///
/// Not a byte was sent then.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let Ok(connected) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return TimedOutSnafu { address }.fail();
    };
    let stream = connected.context(FailedSnafu { address })?;
    watch_silence(&stream).context(FailedSnafu { address })?;
    Ok(stream)
}

/// Lets a connection fail once the other side has been silent for some seconds.
///
/// # Errors
///
/// Fails if the system refuses one of the options.
pub fn watch_silence(stream: &TcpStream) -> std::io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    stream.set_nodelay(true)
}
