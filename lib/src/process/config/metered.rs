//! Counts the bytes sent and received on control connections, whose traffic is budgeted.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use pin_project_lite::pin_project;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use super::ConfigCounters;

pin_project! {
    /// A byte stream that adds its traffic to [`ConfigCounters`].
    #[derive(Debug)]
    pub(crate) struct Metered<S> {
        #[pin]
        inner: S,
        counters: Arc<ConfigCounters>,
    }
}

impl<S> Metered<S> {
    /// Wraps `inner` and counts its traffic in `counters`.
    pub(crate) fn new(inner: S, counters: Arc<ConfigCounters>) -> Self {
        Self { inner, counters }
    }
}

impl<S: AsyncRead> AsyncRead for Metered<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.project();
        let before = buf.filled().len();
        let poll = this.inner.poll_read(cx, buf);
        this.counters.bytes_received.add((buf.filled().len() - before) as u64);
        poll
    }
}

impl<S: AsyncWrite> AsyncWrite for Metered<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.project();
        let poll = this.inner.poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &poll {
            this.counters.bytes_sent.add(*written as u64);
        }
        poll
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.project().inner.poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.project().inner.poll_shutdown(cx)
    }
}
