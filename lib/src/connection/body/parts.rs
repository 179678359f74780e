//! Bodies whose parts another task sends.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::RelayBody;
use super::RelayError;

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
