//! Bodies that end although nobody reads them.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

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

/// A body that is dropped at a time, also if its reader does not poll it.
///
/// Whatever else bounds a body is only noticed when it is read. A caller that reads nothing would
/// hold its upstream's slot and connection as long as it likes.
struct DroppedBody {
    inner: Arc<Mutex<Option<RelayBody>>>,
    timer: AbortHandle,
}

/// Returns a body that fails from `at` on, when `body` is dropped.
pub(crate) fn drop_at(body: RelayBody, at: Instant) -> RelayBody {
    if body.is_end_stream() {
        return body;
    }
    let inner = Arc::new(Mutex::new(Some(body)));
    let shared = Arc::clone(&inner);
    let timer = tokio::spawn(async move {
        sleep_until(at).await;
        let late = shared.lock().take();
        drop(late);
    });
    DroppedBody { inner, timer: timer.abort_handle() }.boxed_unsync()
}

impl Body for DroppedBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        match &mut *self.inner.lock() {
            Some(body) => Pin::new(body).poll_frame(cx),
            None => Poll::Ready(Some(Err(RelayError::DeadlineExceeded))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.lock().as_ref().is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.lock().as_ref().map(Body::size_hint).unwrap_or_default()
    }
}

impl Drop for DroppedBody {
    fn drop(&mut self) {
        self.timer.abort();
    }
}
