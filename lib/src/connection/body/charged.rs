//! Bodies whose memory is charged to an account while they exist.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::RelayBody;
use super::RelayError;

struct ChargedBody<C> {
    inner: RelayBody,
    _charge: C,
}

/// Returns a body that drops `charge` together with itself.
pub(crate) fn charged<C: Send + Unpin + 'static>(inner: RelayBody, charge: C) -> RelayBody {
    ChargedBody { inner, _charge: charge }.boxed_unsync()
}

impl<C: Unpin> Body for ChargedBody<C> {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
