//! Bodies whose start was read before they are relayed.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::RelayBody;
use super::RelayError;

/// The start of a body, as far as it was read.
pub(crate) enum BodyStart {
    /// The body has ended.
    Whole(Bytes),
    /// The body, which repeats what was read of it.
    Begun(RelayBody),
}

/// Reads a body until it ends or has delivered `len` bytes.
pub(crate) async fn read_start(mut body: RelayBody, len: usize) -> Result<BodyStart, RelayError> {
    let mut buf = BytesMut::new();
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
