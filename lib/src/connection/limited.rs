//! Connections on which `hyper` reads no more framing than a sound sender needs.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http::HeaderMap;
use http::header;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use parking_lot::Mutex;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::framing_limit::FramingLimit;
use super::window_watch::WindowWatch;

/// Number of limited reads after which the task that reads yields.
const MAX_READS_BEFORE_YIELD: u32 = 4;

/// What a connection carries to this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Input {
    /// Requests.
    Requests,
    /// Responses of the local upstream.
    Responses,
    /// Responses of the platform or of another daemon's operator listener.
    Reports,
}

impl Input {
    fn as_str(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Responses => "responses",
            Self::Reports => "reports",
        }
    }
}

#[derive(Debug)]
struct State {
    framing: FramingLimit,
    /// Number of bodies whose heads were received.
    bodies: u64,
    /// Whether all further reads fail.
    is_stopped: bool,
    /// Whether the sender exceeded the limit.
    is_exceeded: bool,
}

/// Limits the reading from one [`LimitedStream`], from within the tasks that use what is read.
#[derive(Clone, Debug)]
pub struct ReadLimit {
    state: Arc<Mutex<State>>,
    input: Input,
}

impl ReadLimit {
    /// Creates the limit of a new connection.
    pub fn new(input: Input) -> Self {
        let framing = FramingLimit::new();
        let state = State { framing, bodies: 0, is_stopped: false, is_exceeded: false };
        Self { state: Arc::new(Mutex::new(state)), input }
    }

    /// Makes all further reads fail.
    pub(super) fn stop_reading(&self) {
        self.state.lock().is_stopped = true;
    }

    /// Whether the connection failed because of too much framing.
    pub(super) fn is_exceeded(&self) -> bool {
        self.state.lock().is_exceeded
    }

    /// Notes that a request is about to be sent, so that a response is read next.
    pub fn expect_response(&self) {
        self.state.lock().framing.expect_response();
    }

    /// Notes that a head with these headers was received.
    pub fn start_body(&self, headers: &HeaderMap) {
        let is_chunked = headers.contains_key(header::TRANSFER_ENCODING);
        let mut state = self.state.lock();
        state.bodies += 1;
        state.framing.start_body(is_chunked);
    }

    /// Returns the body whose head was received last, and counts what its reader receives.
    pub fn count(&self, body: Incoming) -> CountedBody {
        let number = self.state.lock().bodies;
        let body = CountedBody { body, limit: self.clone(), number };
        // The reader of an empty body may never poll it.
        if body.is_end_stream() {
            body.update(FramingLimit::end_body);
        }
        body
    }

    fn record_read(&self, len: usize, stream: &TcpStream) -> io::Result<()> {
        let mut state = self.state.lock();
        let Err(err) = state.framing.record_read(len) else { return Ok(()) };
        state.is_stopped = true;
        state.is_exceeded = true;
        drop(state);
        let remote = stream.peer_addr();
        let remote = remote.map_or_else(|_| "closed".to_owned(), |remote| remote.to_string());
        spdlog::warn!(
            "event=framing-too-long of={} remote={remote} read={} delivered={}",
            self.input.as_str(),
            err.read,
            err.delivered
        );
        Err(io::Error::new(io::ErrorKind::InvalidData, err))
    }
}

/// A TCP connection that fails to read once its [`ReadLimit`] says so.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    limit: ReadLimit,
    /// Number of limited reads since the task that reads has yielded.
    reads_since_yield: u32,
    window_watch: Option<WindowWatch>,
}

impl LimitedStream {
    /// Limits the reading from `stream`.
    pub fn new(stream: TcpStream, limit: ReadLimit) -> Self {
        Self { stream, limit, reads_since_yield: 0, window_watch: None }
    }

    /// Keeps the connection open while its remote host answers, although its reader pauses.
    pub(super) fn with_window_watch(self) -> Self {
        Self { window_watch: Some(WindowWatch::new()), ..self }
    }

    fn watch_window(&mut self, cx: &mut Context<'_>) {
        if let Some(watch) = &mut self.window_watch {
            watch.poll(cx, &self.stream);
        }
    }

    fn record_write(&mut self, cx: &mut Context<'_>) {
        if let Some(watch) = &mut self.window_watch {
            watch.record_write();
        }
        self.watch_window(cx);
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.watch_window(cx);
        let max_len = {
            let state = this.limit.state.lock();
            if state.is_stopped {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            state.framing.max_read_len()
        };
        let Some(max_len) = max_len else { return Pin::new(&mut this.stream).poll_read(cx, buf) };
        // The task that handles a head has to run before the body is limited.
        if this.reads_since_yield >= MAX_READS_BEFORE_YIELD {
            this.reads_since_yield = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        this.reads_since_yield += 1;
        let len = {
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(max_len.min(buf.remaining())));
            let Poll::Ready(result) = Pin::new(&mut this.stream).poll_read(cx, &mut part) else {
                this.reads_since_yield = 0;
                return Poll::Pending;
            };
            result?;
            part.filled().len()
        };
        buf.advance(len);
        Poll::Ready(this.limit.record_read(len, &this.stream))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(cx);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(cx);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.watch_window(cx);
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A body that is read from a [`LimitedStream`].
#[derive(Debug)]
pub struct CountedBody {
    body: Incoming,
    limit: ReadLimit,
    /// Tells this body from later ones on its connection, which may begin while it is held.
    number: u64,
}

impl CountedBody {
    fn update(&self, update: impl FnOnce(&mut FramingLimit)) {
        let mut state = self.limit.state.lock();
        if state.bodies == self.number {
            update(&mut state.framing);
        }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(frame)) => {
                let len = frame.data_ref().map_or(0, Bytes::len);
                let has_ended = self.body.is_end_stream();
                self.update(|framing| match has_ended {
                    true => framing.end_body(),
                    false => framing.record_delivered(len),
                });
            }
            Some(Err(_)) | None => self.update(FramingLimit::end_body),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        self.update(FramingLimit::end_body);
    }
}
