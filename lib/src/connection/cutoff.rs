//! Connections whose reading can be stopped from within the task that reads.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Stops the reading from one [`CutoffStream`].
#[derive(Clone, Debug, Default)]
pub(super) struct Cutoff {
    is_stopped: Arc<AtomicBool>,
}

impl Cutoff {
    /// Makes all further reads fail.
    pub(super) fn stop_reading(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// A TCP connection that fails to read once its [`Cutoff`] says so.
#[derive(Debug)]
pub(super) struct CutoffStream {
    stream: TcpStream,
    cutoff: Cutoff,
}

impl CutoffStream {
    pub(super) fn new(stream: TcpStream, cutoff: Cutoff) -> Self {
        Self { stream, cutoff }
    }
}

impl AsyncRead for CutoffStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.cutoff.is_stopped.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CutoffStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
