//! Writes the responses of a connection in the order of its requests.

use std::pin::pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::FutureExt as _;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Body as _;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt as _;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::OnCut;
use super::ahead::AheadBody;
use super::encode;
use super::encode::ResponseFraming;
use super::error::ReadError;
use super::order::Order;
use super::requests::PendingResponse;
use super::requests::QueuedResponse;
use super::stream::SOCKET_BUFFER_BYTES;
use crate::connection::body;
use crate::connection::body::BodyMemory;
use crate::connection::body::RelayBody;
use crate::connection::body::RelayError;
use crate::process::resources::Account;
use crate::process::resources::Held;

/// Number of buffered bytes of a response from which on they are written to the connection
/// while more of the body is available.
const FLUSH_BYTES: usize = 16 * 1024;

/// Why a connection ends before or during a response.
#[derive(Debug, Snafu)]
pub(super) enum WriteError {
    /// The connection to the caller failed.
    #[snafu(display("the connection to the caller failed"))]
    Connection { source: std::io::Error },
    /// The caller took nothing for too long.
    #[snafu(display("the caller does not read the response"))]
    Stalled,
    /// The body of the response failed.
    #[snafu(display("the response body failed"))]
    Answer { source: RelayError },
    /// The body of the response is shorter or longer than its head states.
    #[snafu(display("the response body has {found} bytes instead of the stated {stated}"))]
    Length { found: u64, stated: u64 },
}

/// Why a response broke off although its caller still waited for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutReason {
    /// Its deadline passed while it was relayed.
    Deadline,
    /// Its sender failed.
    Sender,
    /// It was not as long as its head states.
    Length,
}

impl CutReason {
    /// Returns the reason as it is written to the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Sender => "sender",
            Self::Length => "length",
        }
    }

    /// Returns the status that a caller gets in place of a response that broke off before any of
    /// it was written. It promises nothing, since the request may have run.
    fn status(self) -> StatusCode {
        match self {
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Sender | Self::Length => StatusCode::BAD_GATEWAY,
        }
    }
}

impl WriteError {
    /// Returns why the response broke off; `None` if its caller closed the connection.
    pub(super) fn cut_reason(&self) -> Option<CutReason> {
        match self {
            Self::Connection { .. } | Self::Stalled => None,
            Self::Answer { source: RelayError::DeadlineExceeded } => Some(CutReason::Deadline),
            Self::Answer { .. } => Some(CutReason::Sender),
            Self::Length { .. } => Some(CutReason::Length),
        }
    }
}

/// What the writer of a connection shares with the reader of its requests and the listener.
#[derive(Clone, Copy)]
pub(super) struct WriterCx<'a> {
    /// Cancelled when no more requests are read because the connection is to be closed.
    pub(super) closing: &'a CancellationToken,
    /// Whether the current response has been announced as the last one.
    pub(super) last_announced: &'a AtomicBool,
    pub(super) order: &'a Order,
    pub(super) on_cut: &'a OnCut,
    /// Memory for responses that are read ahead.
    pub(super) memory: &'a BodyMemory,
    pub(super) account: &'a Account,
    /// Longest time that one write may take.
    pub(super) stall_timeout: Duration,
}

impl WriterCx<'_> {
    /// Writes bytes. While the caller does not take them, the buffer of the socket is full.
    async fn write<W: AsyncWrite + Unpin>(
        &self,
        io: &mut W,
        bytes: &[u8],
    ) -> Result<(), WriteError> {
        let mut writing = pin!(io.write_all(bytes));
        if let Some(written) = writing.as_mut().now_or_never() {
            return written.context(ConnectionSnafu);
        }
        let _unsent = self.account.charge(Held::Socket, SOCKET_BUFFER_BYTES);
        let written = timeout(self.stall_timeout, writing).await;
        written.map_err(|_| WriteError::Stalled)?.context(ConnectionSnafu)
    }
}

/// Writes responses up to the last one, after which the connection can be closed cleanly.
pub(super) async fn run<W: AsyncWrite + Unpin>(
    io: &mut W,
    rx: &mut mpsc::Receiver<QueuedResponse>,
    cx: &WriterCx<'_>,
) -> Result<(), WriteError> {
    while let Some(queued) = rx.recv().await {
        match queued {
            QueuedResponse::Continue => {
                cx.write(io, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            QueuedResponse::Rejection(err) => return write_rejection(io, cx, err).await,
            QueuedResponse::Pending(pending) => {
                let is_last = write_response(io, rx, cx, pending).await?;
                if is_last {
                    return Ok(());
                }
                cx.order.advance();
            }
        }
    }
    Ok(())
}

async fn write_rejection<W: AsyncWrite + Unpin>(
    io: &mut W,
    cx: &WriterCx<'_>,
    err: ReadError,
) -> Result<(), WriteError> {
    let mut rsp = Response::new(body::empty());
    *rsp.status_mut() = err.status();
    if let Some(seconds) = err.retry_after_seconds() {
        rsp.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    }
    write_empty(io, cx, rsp, true).await
}

/// Writes a response without a body.
async fn write_empty<W: AsyncWrite + Unpin>(
    io: &mut W,
    cx: &WriterCx<'_>,
    rsp: Response<RelayBody>,
    is_last: bool,
) -> Result<(), WriteError> {
    let (parts, _) = rsp.into_parts();
    let mut buf = BytesMut::new();
    encode::head(&mut buf, &parts, ResponseFraming::Length(0), is_last);
    cx.write(io, &buf).await
}

/// Writes one response; returns whether it is the last one on the connection.
async fn write_response<W: AsyncWrite + Unpin>(
    io: &mut W,
    rx: &mpsc::Receiver<QueuedResponse>,
    cx: &WriterCx<'_>,
    pending: PendingResponse,
) -> Result<bool, WriteError> {
    let WriterCx { closing, last_announced, order, on_cut, memory, .. } = *cx;
    let PendingResponse { task, is_head_method, supports_chunked, in_progress, _charge } = pending;
    // The panic itself is logged where it happens.
    let rsp = task.await.unwrap_or_else(|_| unserved_response());
    if rsp.headers().get(header::CONNECTION).is_some_and(|value| value == "close") {
        closing.cancel();
    }
    let framing = select_framing(&rsp, is_head_method, supports_chunked);
    if framing == ResponseFraming::Close {
        closing.cancel();
    }
    // The requests that were already read are still answered; the last of these responses
    // announces that the connection closes.
    let is_last = closing.is_cancelled() && rx.is_empty();
    last_announced.store(is_last, Ordering::Relaxed);
    let (parts, body) = rsp.into_parts();
    let mut body = AheadBody::new(body, memory);
    let mut buf = BytesMut::with_capacity(FLUSH_BYTES);
    encode::head(&mut buf, &parts, framing, is_last);
    let mut out = Output { io, cx, buf, has_begun: false };
    if let Err(err) = write_body(&mut out, framing, &mut body, order).await {
        let reason = err.cut_reason().filter(|_| !out.has_begun);
        let Some(reason) = reason else {
            // Before the body is dropped, upon which requests behind it could be passed on.
            order.close();
            return Err(err);
        };
        // The responses behind this one are still written.
        on_cut(reason, 0);
        let mut rsp = Response::new(body::empty());
        *rsp.status_mut() = reason.status();
        write_empty(out.io, cx, rsp, is_last).await?;
    }
    drop(in_progress);
    Ok(is_last)
}

/// Returns the response to a request whose task panicked, which tells nothing of what has run.
fn unserved_response() -> Response<RelayBody> {
    let mut rsp = Response::new(body::empty());
    *rsp.status_mut() = StatusCode::BAD_GATEWAY;
    rsp
}

fn select_framing(
    rsp: &Response<RelayBody>,
    is_head_method: bool,
    supports_chunked: bool,
) -> ResponseFraming {
    if is_head_method || encode::is_bodyless(rsp.status()) {
        return ResponseFraming::NoBody;
    }
    match rsp.body().size_hint().exact() {
        Some(len) => ResponseFraming::Length(len),
        None if supports_chunked => ResponseFraming::Chunked,
        None => ResponseFraming::Close,
    }
}

/// Buffered bytes of one response, and the connection that they are written to.
struct Output<'a, W> {
    io: &'a mut W,
    cx: &'a WriterCx<'a>,
    buf: BytesMut,
    /// Whether a part of the response may have been written.
    has_begun: bool,
}

impl<W: AsyncWrite + Unpin> Output<'_, W> {
    async fn flush(&mut self) -> Result<(), WriteError> {
        if self.buf.is_empty() {
            return Ok(());
        }
        self.has_begun = true;
        self.cx.write(self.io, &self.buf).await?;
        self.buf.clear();
        Ok(())
    }
}

/// Writes what is buffered. If requests wait behind the response, its body is read on meanwhile,
/// so that they need not wait for a caller that reads slowly.
async fn flush_ahead<W: AsyncWrite + Unpin>(
    out: &mut Output<'_, W>,
    body: &mut AheadBody<'_>,
    order: &Order,
) -> Result<(), WriteError> {
    match order.has_waiting() {
        true => body.read_while(out.flush()).await,
        false => out.flush().await,
    }
}

/// Writes the buffered head, then the body. A short response is written in one piece.
async fn write_body<W: AsyncWrite + Unpin>(
    out: &mut Output<'_, W>,
    framing: ResponseFraming,
    body: &mut AheadBody<'_>,
    order: &Order,
) -> Result<(), WriteError> {
    let mut written = 0;
    loop {
        let ready = body.next().now_or_never();
        let data = match ready {
            Some(data) => data,
            None => {
                flush_ahead(out, body, order).await?;
                body.next().await
            }
        };
        let Some(data) = data else { break };
        let data = data.context(AnswerSnafu)?;
        written += data.len() as u64;
        encode::data(&mut out.buf, framing, &data);
        if out.buf.len() >= FLUSH_BYTES {
            flush_ahead(out, body, order).await?;
        }
    }
    if let ResponseFraming::Length(stated) = framing
        && stated != written
    {
        return LengthSnafu { found: written, stated }.fail();
    }
    encode::end(&mut out.buf, framing);
    out.flush().await
}
