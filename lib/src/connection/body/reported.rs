//! Bodies that tell another task how far their reader has come.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::BodyEnd;
use super::RelayBody;
use super::RelayError;

/// How far the reader of a body has come that is another task.
#[derive(Debug, Default)]
pub(crate) struct BodyReport {
    progress: Mutex<Progress>,
}

#[derive(Debug, Default)]
struct Progress {
    end: Option<BodyEnd>,
    /// Bytes read before the last frame, for which the reader may still have no room.
    read_bytes: u64,
    last_frame_bytes: u64,
    /// When the reader took the last frame; `None` while it waits for the sender.
    unread_since: Option<Instant>,
}

/// A body whose reader takes nothing, although the sender has more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unread {
    /// When the reader last took something.
    pub(crate) since: Instant,
    /// Bytes that the reader has taken, without those for which it may have no room.
    pub(crate) read_bytes: u64,
}

impl BodyReport {
    /// Returns how the body ended, if its reader has come so far.
    pub(crate) fn end(&self) -> Option<BodyEnd> {
        self.progress.lock().end
    }

    /// Returns since when the reader has left the body unread; `None` while it waits for the
    /// sender.
    pub(crate) fn unread(&self) -> Option<Unread> {
        let progress = self.progress.lock();
        let read_bytes = progress.read_bytes;
        progress.unread_since.map(|since| Unread { since, read_bytes })
    }

    fn record_end(&self, end: BodyEnd) {
        self.progress.lock().end.get_or_insert(end);
    }

    fn record_frame(&self, frame: &Frame<Bytes>) {
        let mut progress = self.progress.lock();
        progress.read_bytes += progress.last_frame_bytes;
        progress.last_frame_bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
        progress.unread_since = Some(Instant::now());
    }

    fn record_wait(&self) {
        self.progress.lock().unread_since = None;
    }
}

/// A body with a [`BodyReport`].
struct ReportedBody {
    inner: RelayBody,
    report: Arc<BodyReport>,
}

/// Returns a body, and how far its reader has come with it.
pub(crate) fn reported(body: RelayBody) -> (RelayBody, Arc<BodyReport>) {
    let report = Arc::<BodyReport>::default();
    let body = ReportedBody { inner: body, report: Arc::clone(&report) };
    body.report_if_whole();
    (body.boxed_unsync(), report)
}

impl ReportedBody {
    fn report_if_whole(&self) {
        if self.inner.is_end_stream() {
            self.report.record_end(BodyEnd::Whole);
        }
    }
}

impl Body for ReportedBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if polled.is_pending() {
            self.report.record_wait();
        }
        let frame = ready!(polled);
        match &frame {
            Some(Ok(frame)) => {
                self.report.record_frame(frame);
                self.report_if_whole();
            }
            Some(Err(_)) => self.report.record_end(BodyEnd::Failed),
            None => self.report.record_end(BodyEnd::Whole),
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
