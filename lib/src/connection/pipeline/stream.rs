//! The two directions of a connection, and a look at its state from beside them.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use futures_util::FutureExt as _;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::Interest;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Size of the receive buffer and of the send buffer of a caller's connection, in bytes.
pub(super) const SOCKET_BUFFER_BYTES: usize = 64 * 1024;

/// Lets the connections that a listener accepts have buffers of a fixed size.
///
/// The kernel would let them grow to megabytes for a caller that sends more than is read.
pub(super) fn limit_buffers(listener: &TcpListener) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)
}

/// Reads from a connection that is shared with its writer.
#[derive(Clone, Debug)]
pub(super) struct ReadHalf(Arc<TcpStream>);

/// Writes to a connection that is shared with its reader.
#[derive(Debug)]
pub(super) struct WriteHalf(Arc<TcpStream>);

/// Splits a connection into its two directions.
pub(super) fn split(stream: TcpStream) -> (ReadHalf, WriteHalf) {
    let stream = Arc::new(stream);
    (ReadHalf(Arc::clone(&stream)), WriteHalf(stream))
}

impl ReadHalf {
    /// Whether the caller has closed the connection, also if there are bytes to read before its end.
    pub(super) fn is_closed(&self) -> bool {
        match self.0.ready(Interest::READABLE).now_or_never() {
            Some(Ok(ready)) => ready.is_read_closed(),
            Some(Err(_)) => true,
            None => false,
        }
    }

    /// Whether the caller has sent at least `len` bytes that were not read.
    pub(super) fn has_unread(&self, len: usize) -> bool {
        let mut buf = vec![0; len];
        let peeked = self.0.peek(&mut buf).now_or_never();
        peeked.is_some_and(|peeked| peeked.is_ok_and(|peeked| peeked == len))
    }

    /// Lets the end of the connection drop what its buffers hold, by a reset.
    pub(super) fn drop_unsent(&self) {
        // Without the option the kernel goes on sending for a while.
        let _ = SockRef::from(&*self.0).set_linger(Some(Duration::ZERO));
    }
}

impl AsyncRead for ReadHalf {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(len) => {
                    buf.advance(len);
                    return Poll::Ready(Ok(()));
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }
}

impl AsyncWrite for WriteHalf {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
