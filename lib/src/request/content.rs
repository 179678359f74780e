//! Digests that recognise a request when it comes again under another name.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http::HeaderName;
use http::header;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use super::RequestId;
use super::message::Inbound;
use super::message::Payload;
use crate::connection::body::RelayBody;
use crate::connection::body::RelayError;

/// Number of bytes at the start of a body that the digest of the content covers. Longer
/// bodies are told apart by their beginning only.
pub(crate) const DIGESTED_BODY_BYTES: usize = 64 * 1024;

/// Headers that name the caller.
const CALLER_HEADERS: [HeaderName; 2] = [header::USER_AGENT, header::AUTHORIZATION];

/// Digest of method, host, path, query, caller and body, which does not depend on the daemon
/// that computes it or on how the body is framed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ContentDigest(pub u64);

/// Digest of all that [`ContentDigest`] covers but the body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct HeadDigest(pub u64);

/// Digest of the headers that name the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct CallerDigest(pub u64);

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The content of one request, whose body may still be on its way.
#[derive(Clone, Debug)]
pub struct RequestContent {
    /// Digest of the head.
    pub head: HeadDigest,
    /// Digest of the caller.
    pub caller: CallerDigest,
    /// The request, if it is known; it is the same for all of its attempts.
    pub request: Option<RequestId>,
    body: BodyState,
}

#[derive(Clone, Debug)]
enum BodyState {
    Known(ContentDigest),
    Streamed(Arc<Mutex<BodyHasher>>),
}

/// Computes the digest of a request while its body arrives.
#[derive(Clone, Debug)]
struct BodyHasher {
    hasher: blake3::Hasher,
    digested: usize,
    has_ended: bool,
}

impl BodyHasher {
    fn update(&mut self, data: &[u8]) {
        let len = data.len().min(DIGESTED_BODY_BYTES - self.digested);
        self.hasher.update(&data[..len]);
        self.digested += len;
    }

    fn digest(&self) -> Option<ContentDigest> {
        let is_known = self.has_ended || self.digested == DIGESTED_BODY_BYTES;
        is_known.then(|| ContentDigest(short_digest(&self.hasher)))
    }
}

impl RequestContent {
    /// Creates the content of a request whose body is known.
    pub fn new(head: HeadDigest, caller: CallerDigest, content: ContentDigest) -> Self {
        Self { head, caller, request: None, body: BodyState::Known(content) }
    }

    /// Sets which request has the content.
    pub fn of_request(self, request: RequestId) -> Self {
        Self { request: Some(request), ..self }
    }

    /// Computes the digests of a request that is about to be sent. The body of a streamed one
    /// is digested on its way.
    pub(crate) fn of(inbound: &Inbound, payload: &mut Payload) -> Self {
        let mut callers = blake3::Hasher::new();
        for name in &CALLER_HEADERS {
            let value = inbound.headers.get(name).map(http::HeaderValue::as_bytes);
            update_field(&mut callers, value);
        }
        let customer = inbound.customer.as_ref().map(|customer| customer.as_str().as_bytes());
        update_field(&mut callers, customer);
        let mut hasher = callers.clone();
        let head = [inbound.method.as_str(), &inbound.host, inbound.path.as_str()];
        for field in head {
            update_field(&mut hasher, Some(field.as_bytes()));
        }
        let head = HeadDigest(short_digest(&hasher));
        let mut hasher = BodyHasher { hasher, digested: 0, has_ended: false };
        let body = match payload {
            Payload::Buffered(bytes) => {
                hasher.update(bytes);
                BodyState::Known(ContentDigest(short_digest(&hasher.hasher)))
            }
            Payload::Streamed(body) => {
                let hasher = Arc::new(Mutex::new(hasher));
                *body = body.take().map(|inner| {
                    DigestedBody { inner, hasher: Arc::clone(&hasher) }.boxed_unsync()
                });
                BodyState::Streamed(hasher)
            }
        };
        Self { head, caller: CallerDigest(short_digest(&callers)), request: None, body }
    }

    /// Returns the digest of the content; `None` while too little of the body is known.
    pub fn digest(&self) -> Option<ContentDigest> {
        match &self.body {
            BodyState::Known(digest) => Some(*digest),
            BodyState::Streamed(hasher) => hasher.lock().digest(),
        }
    }
}

/// Adds a field with its length, so that different lists of fields never give the same input.
fn update_field(hasher: &mut blake3::Hasher, field: Option<&[u8]>) {
    let len = field.map_or(u64::MAX, |field| field.len() as u64);
    hasher.update(&len.to_be_bytes());
    hasher.update(field.unwrap_or_default());
}

fn short_digest(hasher: &blake3::Hasher) -> u64 {
    let mut digest = [0; 8];
    hasher.finalize_xof().fill(&mut digest);
    u64::from_be_bytes(digest)
}

/// A body that is digested as it is read.
struct DigestedBody {
    inner: RelayBody,
    hasher: Arc<Mutex<BodyHasher>>,
}

impl Body for DigestedBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        let mut hasher = self.hasher.lock();
        match &frame {
            None => hasher.has_ended = true,
            Some(Ok(frame)) => hasher.update(frame.data_ref().map_or(&[], |data| &data[..])),
            Some(Err(_)) => {}
        }
        // The reader of the last frame may not poll again.
        let is_last = matches!(&frame, Some(Ok(_))) && self.inner.is_end_stream();
        hasher.has_ended |= is_last;
        drop(hasher);
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
