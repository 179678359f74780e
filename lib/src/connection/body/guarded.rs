//! Bodies that end at a deadline.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::RelayError;

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
