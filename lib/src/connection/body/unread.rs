//! Bodies that end although nobody reads them.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use parking_lot::Mutex;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::RelayBody;
use super::RelayError;

/// A body that is dropped at a time, or when nobody has read it for a while, also if its reader
/// does not poll it.
///
/// Whatever else bounds a body is only noticed when it is read. A caller that reads nothing would
/// hold its upstream's slot and connection as long as it likes.
struct DroppedBody {
    shared: Arc<Mutex<Shared>>,
    timer: AbortHandle,
}

struct Shared {
    inner: Option<RelayBody>,
    /// When the reader last took a part; `None` while it waits for the sender.
    unread_since: Option<Instant>,
}

impl Shared {
    /// Returns when the body is to be dropped, unless it is read before.
    fn end(&self, at: Instant, unread: Duration) -> Instant {
        self.unread_since.map_or(at, |since| at.min(since + unread))
    }
}

/// Returns a body that fails from `at` on, or once it was left unread for `unread`, when `body` is
/// dropped.
pub(crate) fn drop_at(body: RelayBody, at: Instant, unread: Duration) -> RelayBody {
    if body.is_end_stream() {
        return body;
    }
    let shared = Shared { inner: Some(body), unread_since: Some(Instant::now()) };
    let shared = Arc::new(Mutex::new(shared));
    let timed = Arc::clone(&shared);
    let timer = tokio::spawn(async move {
        let mut end = timed.lock().end(at, unread);
        while Instant::now() < end {
            // A reader that begins to leave the body unread meanwhile is noticed that much later.
            sleep_until(end.min(Instant::now() + unread)).await;
            end = timed.lock().end(at, unread);
        }
        let late = timed.lock().inner.take();
        drop(late);
    });
    DroppedBody { shared, timer: timer.abort_handle() }.boxed_unsync()
}

impl Body for DroppedBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let mut shared = self.shared.lock();
        let polled = match &mut shared.inner {
            Some(body) => Pin::new(body).poll_frame(cx),
            None => return Poll::Ready(Some(Err(RelayError::DeadlineExceeded))),
        };
        shared.unread_since = polled.is_ready().then(Instant::now);
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.shared.lock().inner.as_ref().is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.shared.lock().inner.as_ref().map(Body::size_hint).unwrap_or_default()
    }
}

impl Drop for DroppedBody {
    fn drop(&mut self) {
        self.timer.abort();
    }
}
