//! Connections between daemons on which control frames of HTTP/2 are bounded.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

use super::control_frames::ControlError;
use super::control_frames::ControlLimit;
use super::control_frames::FrameReader;
use super::control_frames::NextRead;
use super::control_frames::PREFACE_BYTES;

/// A TCP connection to a peer. Its reads are delayed, and fail in the end, if the peer sends
/// more control frames than [`ControlLimit`] accepts.
#[derive(Debug)]
pub(super) struct PeerStream {
    stream: TcpStream,
    opened: Instant,
    frames: FrameReader,
    limit: ControlLimit,
    /// Delays the next read.
    delay: Option<Pin<Box<Sleep>>>,
}

impl PeerStream {
    /// Wraps a connection that a peer has opened.
    pub(super) fn accepted(stream: TcpStream) -> Self {
        Self::new(stream, PREFACE_BYTES)
    }

    /// Wraps a connection that this daemon has opened.
    pub(super) fn connected(stream: TcpStream) -> Self {
        Self::new(stream, 0)
    }

    fn new(stream: TcpStream, preface_len: usize) -> Self {
        Self {
            stream,
            opened: Instant::now(),
            frames: FrameReader::new(preface_len),
            limit: ControlLimit::new(),
            delay: None,
        }
    }

    fn record_read(&mut self, bytes: &[u8]) -> io::Result<()> {
        let counts = self.frames.read(bytes);
        match self.limit.record_read(counts, self.opened.elapsed()) {
            Ok(NextRead::Now) => Ok(()),
            Ok(NextRead::After(delay)) => {
                self.report_delay(delay);
                self.delay = Some(Box::pin(sleep(delay)));
                Ok(())
            }
            Err(err) => {
                self.report_end(err);
                Err(io::Error::new(io::ErrorKind::InvalidData, err))
            }
        }
    }

    fn remote(&self) -> String {
        self.stream.peer_addr().map_or_else(|_| "closed".to_owned(), |remote| remote.to_string())
    }

    fn report_delay(&self, delay: Duration) {
        let (remote, ms) = (self.remote(), delay.as_millis());
        spdlog::warn!("event=control-frames-delayed remote={remote} delay={ms}");
    }

    fn report_end(&self, err: ControlError) {
        let (remote, ControlError { control, heads, written }) = (self.remote(), err);
        spdlog::warn!(
            "event=control-frames-without-end remote={remote} control={control} heads={heads} \
             written={written}"
        );
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if let Some(delay) = &mut this.delay {
            ready!(delay.as_mut().poll(cx));
            this.delay = None;
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        Poll::Ready(this.record_read(&buf.filled()[filled..]))
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.limit.record_written(len);
        Poll::Ready(Ok(len))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.limit.record_written(len);
        Poll::Ready(Ok(len))
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
