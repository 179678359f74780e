//! Byte streams that are a function of a request's mark.
//!
//! A caller recomputes the stream of its own mark and so notices any byte that
//! belongs to another request, is missing, or stands in the wrong place.

use std::future::Future;
use std::hash::Hasher;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use siphasher::sip::SipHasher13;
use tokio::time::Sleep;

use crate::error::StandInError;
use crate::upstream::ledger::Running;

/// Largest frame that a marked body hands out, in bytes.
const CHUNK_BYTES: u64 = 16 * 1024;

/// Pause between two frames of a paced body.
const PACE: Duration = Duration::from_millis(20);

/// Which side of an exchange a marked stream belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// Body of the request.
    Request,
    /// Body of the answer.
    Answer,
}

/// Stream of bytes that belongs to one mark.
#[derive(Clone, Copy, Debug)]
pub struct MarkStream {
    key: u64,
}

impl MarkStream {
    /// Returns the stream of `mark` for one side of the exchange.
    pub fn new(mark: &str, side: Side) -> Self {
        let mut hasher = SipHasher13::new_with_keys(side as u64, 0);
        hasher.write(mark.as_bytes());
        Self { key: hasher.finish() }
    }

    /// Returns `len` bytes of the stream from `offset` on.
    pub fn bytes(&self, offset: u64, len: usize) -> Bytes {
        let mut buf = BytesMut::with_capacity(len);
        let mut pos = offset;
        while buf.len() < len {
            let word = self.word(pos / 8).to_le_bytes();
            let skip = (pos % 8) as usize;
            let take = (8 - skip).min(len - buf.len());
            buf.extend_from_slice(&word[skip..skip + take]);
            pos += take as u64;
        }
        buf.freeze()
    }

    /// Tells whether `data` is the part of the stream that begins at `offset`.
    pub fn matches(&self, offset: u64, data: &[u8]) -> bool {
        self.bytes(offset, data.len()) == data
    }

    /// One word of the stream by the SplitMix64 generator.
    fn word(&self, index: u64) -> u64 {
        let mut z = self.key.wrapping_add(index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

/// Body made of a marked stream, paced and cut as told.
pub struct MarkBody {
    stream: MarkStream,
    sent: u64,
    size: u64,
    rate: Option<u64>,
    cut_at: Option<u64>,
    pause: Option<Pin<Box<Sleep>>>,
    running: Option<Running>,
}

impl MarkBody {
    /// Returns a body of `size` bytes.
    pub fn new(stream: MarkStream, size: u64) -> Self {
        Self { stream, sent: 0, size, rate: None, cut_at: None, pause: None, running: None }
    }

    /// Paces the body at `rate` bytes a second.
    #[must_use]
    pub fn paced(mut self, rate: Option<u64>) -> Self {
        self.rate = rate;
        self
    }

    /// Breaks the connection once `cut_at` bytes have been handed out.
    #[must_use]
    pub fn cut_at(mut self, cut_at: Option<u64>) -> Self {
        self.cut_at = cut_at;
        self
    }

    /// Ends the ledger's entry when the last byte has been handed out.
    #[must_use]
    pub fn ending(mut self, running: Running) -> Self {
        self.running = Some(running);
        self.end_when_sent();
        self
    }

    /// Returns the body in the type that the stand-ins share.
    pub fn boxed(self) -> UnsyncBoxBody<Bytes, StandInError> {
        UnsyncBoxBody::new(self)
    }

    fn end_when_sent(&mut self) {
        if self.sent < self.size {
            return;
        }
        if let Some(running) = self.running.take() {
            running.whole();
        }
    }

    fn next_len(&self) -> u64 {
        let paced = match self.rate {
            Some(rate) => (rate * PACE.as_millis() as u64 / 1000).max(1),
            None => CHUNK_BYTES,
        };
        let until = self.cut_at.unwrap_or(self.size).min(self.size);
        paced.min(CHUNK_BYTES).min(until - self.sent)
    }
}

impl Body for MarkBody {
    type Data = Bytes;
    type Error = StandInError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StandInError>>> {
        if let Some(pause) = self.pause.as_mut() {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        if self.sent >= self.size {
            return Poll::Ready(None);
        }
        if self.cut_at.is_some_and(|cut_at| self.sent >= cut_at) {
            if let Some(running) = self.running.take() {
                running.failed();
            }
            return Poll::Ready(Some(Err(StandInError::Cut)));
        }
        let len = self.next_len();
        let data = self.stream.bytes(self.sent, len as usize);
        self.sent += len;
        // Without the pause before a cut the server would drop what it has
        // buffered, the head included.
        if self.rate.is_some() || self.cut_at == Some(self.sent) {
            self.pause = Some(Box::pin(tokio::time::sleep(PACE)));
        }
        self.end_when_sent();
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent >= self.size
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.size - self.sent)
    }
}
