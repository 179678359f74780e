//! TCP connections that detect an unresponsive remote host.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::ResultExt as _;
use snafu::Snafu;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for a connection to be accepted. A lost packet of the handshake is
/// retransmitted after one second, so a shorter timeout would fail after one lost packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time of a connection after which keepalive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Pause between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection fails.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time that sent bytes stay unacknowledged before the connection fails. With the
/// keepalive probes, a dead connection is detected within 3 s.
pub(super) const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// A connection could not be opened; nothing was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The operating system reported an error.
    #[snafu(display("cannot connect to {address}"))]
    Failed {
        /// Address of the remote host.
        address: SocketAddr,
        /// Error reported by the operating system.
        source: std::io::Error,
    },
    /// The remote host did not accept the connection in time.
    #[snafu(display("{address} did not accept the connection within {CONNECT_TIMEOUT:?}"))]
    TimedOut {
        /// Address of the remote host.
        address: SocketAddr,
    },
}

/// Opens a connection that fails once the remote host has been unresponsive for some seconds,
/// whether or not anything is sent.
///
/// # Errors
///
/// Fails if the connection is not accepted in time or a socket option cannot be set. Nothing
/// was sent in that case.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let Ok(connected) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return TimedOutSnafu { address }.fail();
    };
    let stream = connected.context(FailedSnafu { address })?;
    set_liveness_options(&stream).context(FailedSnafu { address })?;
    Ok(stream)
}

/// Opens a connection like [`connect`] on which at most about `max_unsent_bytes` wait in the socket
/// while the remote host takes none, so that its reading shows in the progress of the writer.
///
/// # Errors
///
/// The same as for [`connect`].
pub(super) async fn connect_with_unsent_limit(
    address: SocketAddr,
    max_unsent_bytes: u32,
) -> Result<TcpStream, ConnectError> {
    let stream = connect(address).await?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_notsent_lowat(max_unsent_bytes).context(FailedSnafu { address })?;
    Ok(stream)
}

/// Sets the options with which a connection fails once the remote host has been unresponsive
/// for some seconds, and disables Nagle's algorithm.
///
/// # Errors
///
/// Fails if the operating system rejects one of the options.
pub fn set_liveness_options(stream: &TcpStream) -> std::io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    set_user_timeout(stream, USER_TIMEOUT)?;
    stream.set_nodelay(true)
}

/// Sets how long sent bytes stay unacknowledged before a connection fails.
pub(super) fn set_user_timeout(stream: &TcpStream, timeout: Duration) -> std::io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}
