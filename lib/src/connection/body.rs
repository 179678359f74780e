//! Bodies that are relayed frame by frame, so that a slow reader keeps one buffer in memory
//! instead of the whole body.

use std::collections::VecDeque;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use snafu::Snafu;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

/// Why a relayed body is incomplete.
///
/// The reader receives the error as a closed connection or a reset stream, never as the end
/// of the body, so that a truncated body cannot be mistaken for a complete one.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// The sender of the body failed.
    #[snafu(display("the sender of the body failed before its end"))]
    Cut {
        /// Error reported by the connection.
        source: hyper::Error,
    },
    /// The rest of the body was not received: its connection closed, or the rest was rejected.
    #[snafu(display("the rest of the body was not received"))]
    Ended,
    /// The deadline of the request passed before the body was complete.
    #[snafu(display("the deadline passed before the body was complete"))]
    DeadlineExceeded,
    /// The body is longer than the reader accepts.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// Longest body accepted, in bytes.
        limit: usize,
    },
    /// The bodies held in memory leave no room for the rest of this one.
    #[snafu(display("no memory is left for the rest of the body"))]
    NoRoom,
}

/// Body of a request or response that the daemon relays or creates itself.
pub type RelayBody = UnsyncBoxBody<Bytes, RelayError>;

/// Returns a body of length zero.
pub fn empty() -> RelayBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body whose bytes are already in memory.
pub fn full(bytes: impl Into<Bytes>) -> RelayBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A message from a [`PartSender`] to the reader of its body.
enum Part {
    Data(Bytes),
    End,
}

/// Sends a body in parts while it is read by another task.
///
/// Unless [`Self::finish`] is called the body fails for its reader, so that it cannot look
/// complete because its sender was dropped.
pub struct PartSender {
    tx: mpsc::Sender<Part>,
}

impl PartSender {
    /// Sends a part; returns whether the body still has a reader.
    pub async fn send(&self, data: Bytes) -> bool {
        self.tx.send(Part::Data(data)).await.is_ok()
    }

    /// Marks the body as complete.
    pub async fn finish(self) {
        // Without a reader there is nobody to tell.
        let _ = self.tx.send(Part::End).await;
    }
}

/// A body that a [`PartSender`] sends.
struct PartsBody {
    first: Option<Bytes>,
    rx: mpsc::Receiver<Part>,
    has_ended: bool,
}

/// Returns a body that begins with `first`, and the sender of its further parts, of which at
/// most `capacity` are queued.
pub fn in_parts(capacity: usize, first: Bytes) -> (PartSender, RelayBody) {
    let (tx, rx) = mpsc::channel(capacity);
    let body = PartsBody { first: Some(first), rx, has_ended: false };
    (PartSender { tx }, body.boxed_unsync())
}

impl Body for PartsBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if self.has_ended {
            return Poll::Ready(None);
        }
        match ready!(self.rx.poll_recv(cx)) {
            Some(Part::Data(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Part::End) => {
                self.has_ended = true;
                Poll::Ready(None)
            }
            None => {
                self.has_ended = true;
                Poll::Ready(Some(Err(RelayError::Ended)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.has_ended
    }
}

/// How a guarded body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// Every frame was read.
    Whole,
    /// The sender failed or the deadline passed.
    Failed,
    /// The reader dropped the body before its end.
    Dropped,
}

/// Callback for the end of a body, whether the body is complete or not.
pub trait OnEnd: Send + Unpin + 'static {
    /// Called exactly once for each body.
    fn on_end(&mut self, end: BodyEnd);
}

/// Most bytes that a body may still deliver after its deadline: what the buffers of a
/// connection may have received before it.
const LATE_BYTES_MAX: u64 = 128 * 1024;

/// A body that fails at a deadline and reports its end to an [`OnEnd`] callback.
///
/// The deadline bounds the wait for the sender. What has arrived is delivered also later, as
/// far as [`LATE_BYTES_MAX`], because the reader may have been busy. A body that is too long to be
/// delivered whole fails at once: one of which the reader has passed nothing on can be replaced.
pub(crate) struct GuardedBody<B, G: OnEnd> {
    inner: B,
    deadline: Pin<Box<tokio::time::Sleep>>,
    late_bytes: u64,
    guard: Option<G>,
}

impl<B: Body, G: OnEnd> GuardedBody<B, G> {
    /// Wraps `inner` in a body that fails at `deadline` unless it has ended by then.
    pub(crate) fn new(inner: B, deadline: tokio::time::Instant, guard: G) -> Self {
        let deadline = Box::pin(tokio::time::sleep_until(deadline));
        let mut body = Self { inner, deadline, late_bytes: 0, guard: Some(guard) };
        // The reader of an empty body may never poll it.
        if body.inner.is_end_stream() {
            body.report_end(BodyEnd::Whole);
        }
        body
    }

    /// Returns the fewest bytes that would have been delivered after the deadline at the end of the
    /// body, if those from now on are late.
    fn late_bytes_min(&self) -> u64 {
        self.late_bytes + self.inner.size_hint().lower()
    }
}

impl<B, G: OnEnd> GuardedBody<B, G> {
    fn report_end(&mut self, end: BodyEnd) {
        if let Some(mut guard) = self.guard.take() {
            guard.on_end(end);
        }
    }
}

impl<B, G> Body for GuardedBody<B, G>
where
    B: Body<Data = Bytes, Error = RelayError> + Unpin,
    G: OnEnd,
{
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let this = &mut *self;
        let is_late = this.deadline.as_mut().poll(cx).is_ready();
        let polled = Pin::new(&mut this.inner).poll_frame(cx);
        if let (true, Poll::Ready(Some(Ok(frame)))) = (is_late, &polled) {
            this.late_bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
        }
        if is_late && (polled.is_pending() || this.late_bytes_min() > LATE_BYTES_MAX) {
            this.report_end(BodyEnd::Failed);
            return Poll::Ready(Some(Err(RelayError::DeadlineExceeded)));
        }
        let frame = ready!(polled);
        match &frame {
            None => this.report_end(BodyEnd::Whole),
            Some(Err(_)) => this.report_end(BodyEnd::Failed),
            // If this is known to be the last frame, the reader may not poll again.
            Some(Ok(_)) if this.inner.is_end_stream() => this.report_end(BodyEnd::Whole),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<B, G: OnEnd> Drop for GuardedBody<B, G> {
    fn drop(&mut self) {
        self.report_end(BodyEnd::Dropped);
    }
}

/// Reads a body into memory; fails if it is longer than `limit` bytes.
pub(crate) async fn collect(mut body: RelayBody, limit: usize) -> Result<Bytes, RelayError> {
    let mut buf = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if buf.len() + data.len() > limit {
            return TooLongSnafu { limit }.fail();
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// The start of a body, as far as it was read.
pub(crate) enum BodyStart {
    /// The body has ended.
    Whole(Bytes),
    /// The body, which repeats what was read of it.
    Begun(RelayBody),
}

/// Reads a body until it ends or has delivered `len` bytes.
pub(crate) async fn read_start(mut body: RelayBody, len: usize) -> Result<BodyStart, RelayError> {
    let mut buf = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        buf.extend_from_slice(&data);
        if buf.len() >= len {
            let body = BegunBody { start: Some(buf.freeze()), rest: body };
            return Ok(BodyStart::Begun(body.boxed_unsync()));
        }
    }
    Ok(BodyStart::Whole(buf.freeze()))
}

/// A body whose start was read before.
struct BegunBody {
    start: Option<Bytes>,
    rest: RelayBody,
}

impl Body for BegunBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        match self.start.take() {
            Some(start) => Poll::Ready(Some(Ok(Frame::data(start)))),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let read = self.start.as_ref().map_or(0, |start| start.len() as u64);
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + read);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + read);
        }
        hint
    }
}

/// A body whose start is held in memory in parts of [`RESERVATION_STEP_BYTES`], each of which is
/// freed once it was read.
struct HeldBody {
    start: VecDeque<Bytes>,
    start_len: u64,
    /// What is not held.
    rest: RelayBody,
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let Some(part) = self.start.pop_front() else {
            return Pin::new(&mut self.rest).poll_frame(cx);
        };
        self.start_len -= part.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + self.start_len);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + self.start_len);
        }
        hint
    }
}

/// Marks a response whose body is whole in memory, so that no deadline bounds the wait for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WholeInMemory;

/// A body that was read into memory as far as it fits.
pub enum Held {
    /// The body has ended.
    Whole(RelayBody),
    /// The body, which repeats what was read of it.
    Begun(RelayBody),
}

/// Step in which memory for a body is reserved, in bytes. The first step of each body is not
/// counted.
const RESERVATION_STEP_BYTES: usize = 64 * 1024;

/// Limit on the memory that all buffered bodies together may hold. Clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    steps: Arc<Semaphore>,
}

/// The start of a body that is being held.
#[derive(Default)]
pub(crate) struct HeldStart {
    parts: VecDeque<Bytes>,
    /// The part that is being filled.
    last: Option<(BytesMut, OwnedSemaphorePermit)>,
    len: u64,
}

impl HeldStart {
    /// Returns how many bytes are held.
    pub(crate) fn len(&self) -> u64 {
        self.len
    }

    /// Removes a part from the front.
    pub(crate) fn pop(&mut self) -> Option<Bytes> {
        if self.parts.is_empty() {
            self.finish_part();
        }
        let part = self.parts.pop_front()?;
        self.len -= part.len() as u64;
        Some(part)
    }

    /// Appends `data`; returns false if there was no room for all of it.
    pub(crate) fn push(&mut self, mut data: Bytes, memory: &BodyMemory) -> bool {
        self.len += data.len() as u64;
        while !data.is_empty() {
            let (mut part, reserved) = match self.last.take() {
                Some(last) => last,
                None => match Arc::clone(&memory.steps).try_acquire_owned() {
                    Ok(step) => (BytesMut::with_capacity(RESERVATION_STEP_BYTES), step),
                    Err(_) => {
                        self.parts.push_back(data);
                        return false;
                    }
                },
            };
            let room = RESERVATION_STEP_BYTES - part.len();
            part.extend_from_slice(&data.split_to(room.min(data.len())));
            self.last = Some((part, reserved));
            if data.len() >= room || self.is_last_full() {
                self.finish_part();
            }
        }
        true
    }

    fn is_last_full(&self) -> bool {
        self.last.as_ref().is_some_and(|(part, _)| part.len() == RESERVATION_STEP_BYTES)
    }

    fn finish_part(&mut self) {
        if let Some((part, _reserved)) = self.last.take() {
            let part = ReservedBytes { bytes: part.freeze(), _reserved };
            self.parts.push_back(Bytes::from_owner(part));
        }
    }

    fn into_body(mut self, rest: RelayBody) -> RelayBody {
        self.finish_part();
        HeldBody { start: self.parts, start_len: self.len, rest }.boxed_unsync()
    }
}

/// Bytes of a body with the memory that is reserved for them.
struct ReservedBytes {
    bytes: Bytes,
    _reserved: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemory {
    /// Creates a limit of `len` bytes beside the first step of each body.
    pub fn new(len: usize) -> Self {
        Self { steps: Arc::new(Semaphore::new(len / RESERVATION_STEP_BYTES)) }
    }

    /// Whether another part of a body can be held.
    pub(crate) fn has_room(&self) -> bool {
        self.steps.available_permits() > 0
    }

    /// Reads a body into memory, which stays reserved until the returned bytes are dropped.
    /// Fails if the body is longer than `limit` bytes or if no memory is left for it.
    pub(crate) async fn collect(
        &self,
        mut body: RelayBody,
        limit: usize,
    ) -> Result<Bytes, RelayError> {
        let mut buf = bytes::BytesMut::new();
        let mut reserved: Option<OwnedSemaphorePermit> = None;
        let mut room = RESERVATION_STEP_BYTES;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            let len = buf.len() + data.len();
            if len > limit {
                return TooLongSnafu { limit }.fail();
            }
            while len > room {
                let Ok(step) = Arc::clone(&self.steps).try_acquire_owned() else {
                    return NoRoomSnafu.fail();
                };
                room += RESERVATION_STEP_BYTES;
                match &mut reserved {
                    Some(reserved) => reserved.merge(step),
                    None => reserved = Some(step),
                }
            }
            buf.extend_from_slice(&data);
        }
        let bytes = buf.freeze();
        Ok(match reserved {
            Some(_reserved) => Bytes::from_owner(ReservedBytes { bytes, _reserved }),
            None => bytes,
        })
    }
}

impl BodyMemory {
    /// Reads a body into memory. If it is longer than `limit` bytes or there is no room for it,
    /// what was read is kept in front of the rest.
    ///
    /// Each part of the memory stays reserved until its bytes were read and dropped.
    pub async fn hold(&self, mut rest: RelayBody, limit: usize) -> Result<Held, RelayError> {
        let mut start = HeldStart::default();
        while start.len + rest.size_hint().lower() <= limit as u64 {
            let Some(frame) = rest.frame().await else {
                return Ok(Held::Whole(start.into_body(empty())));
            };
            let Ok(data) = frame?.into_data() else { continue };
            if !start.push(data, self) {
                break;
            }
        }
        Ok(Held::Begun(start.into_body(rest)))
    }

    /// Reads a body into memory until `waiting` ends, as far as `limit` bytes and the memory go.
    /// Returns the body, which repeats what was read of it, and the result of `waiting`.
    ///
    /// Fails if the body breaks off meanwhile.
    pub async fn read_ahead<T>(
        &self,
        mut rest: RelayBody,
        limit: usize,
        waiting: impl Future<Output = T>,
    ) -> Result<(RelayBody, T), RelayError> {
        let mut waiting = pin!(waiting);
        let mut start = HeldStart::default();
        while start.len < limit as u64 {
            let frame = tokio::select! {
                biased;
                waited = &mut waiting => return Ok((start.into_body(rest), waited)),
                frame = rest.frame() => frame,
            };
            let Some(frame) = frame else {
                rest = empty();
                break;
            };
            let Ok(data) = frame?.into_data() else { continue };
            if !start.push(data, self) {
                break;
            }
        }
        let waited = waiting.await;
        Ok((start.into_body(rest), waited))
    }
}

/// Converts a body received by `hyper` into a [`RelayBody`].
pub fn relay<B>(body: B) -> RelayBody
where
    B: Body<Data = Bytes, Error = hyper::Error> + Send + 'static,
{
    body.map_err(|source| RelayError::Cut { source }).boxed_unsync()
}
