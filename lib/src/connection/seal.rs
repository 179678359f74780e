//! Checksums over the heads of messages between daemons.
//!
//! HTTP/2 compresses heads with tables that both ends of a connection keep. If a part of
//! the stream is lost, as by a faulty relay, the ends read different heads from then on
//! without noticing: an answer may seem to say that a request has not run. A head whose
//! checksum is wrong is therefore not believed. See `docs/design/answers.md`.

use std::convert::Infallible;
use std::hash::Hasher as _;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use siphasher::sip::SipHasher13;
use tower::Service;

use super::body::RelayBody;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::SEAL;
use crate::request::SEAL_NUMBER;

/// Headers that the HTTP library adds or removes on the way.
const UNSEALED: [HeaderName; 7] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::DATE,
    header::HOST,
    header::TE,
    header::TRANSFER_ENCODING,
    SEAL,
];

/// Checksum of a message's head; the same on every platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Seal(u64);

/// What the checksum of a received head shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SealCheck {
    /// The head is as it was sent.
    Valid(Seal),
    /// The head has no checksum. It may have been lost on the way.
    Missing,
    /// The head is not as it was sent.
    Broken,
}

impl Seal {
    fn of_request<B>(req: &Request<B>) -> Self {
        let mut hasher = SipHasher13::new();
        write_part(&mut hasher, req.method().as_str().as_bytes());
        let uri = req.uri();
        let authority = uri.authority().map_or("", |authority| authority.as_str());
        write_part(&mut hasher, authority.as_bytes());
        write_part(&mut hasher, uri.path_and_query().map_or("", |path| path.as_str()).as_bytes());
        hasher.write(&hash_headers(req.headers()).to_be_bytes());
        Self(hasher.finish())
    }

    /// Returns the checksum of an answer, which also covers the request that it is for.
    fn of_response(status: StatusCode, headers: &HeaderMap, request: Self) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(&request.0.to_be_bytes());
        hasher.write(&status.as_u16().to_be_bytes());
        hasher.write(&hash_headers(headers).to_be_bytes());
        Self(hasher.finish())
    }

    fn insert(self, headers: &mut HeaderMap) {
        let Ok(mut value) = HeaderValue::from_str(&format!("{:016x}", self.0)) else { return };
        value.set_sensitive(true);
        headers.insert(SEAL, value);
    }

    fn check(self, headers: &HeaderMap) -> SealCheck {
        let Some(value) = headers.get(SEAL) else { return SealCheck::Missing };
        let text = value.to_str().ok();
        let found = text.and_then(|text| u64::from_str_radix(text, 16).ok());
        match found == Some(self.0) {
            true => SealCheck::Valid(self),
            false => SealCheck::Broken,
        }
    }
}

/// Adds the checksum to a request and returns it.
///
/// The number differs from that of all other requests on the connection, so that an answer is
/// valid for one of two requests with equal heads only.
pub fn seal_request<B>(req: &mut Request<B>, number: u64) -> Seal {
    let mut value = HeaderValue::from(number);
    // A value that is unique to the message must not enter the connection's table.
    value.set_sensitive(true);
    req.headers_mut().insert(SEAL_NUMBER, value);
    let seal = Seal::of_request(req);
    seal.insert(req.headers_mut());
    seal
}

/// Checks the checksum of a received request.
pub fn check_request<B>(req: &Request<B>) -> SealCheck {
    Seal::of_request(req).check(req.headers())
}

/// Adds the checksum to the answer to a request.
pub fn seal_response<B>(rsp: &mut Response<B>, request: Seal) {
    let seal = Seal::of_response(rsp.status(), rsp.headers(), request);
    seal.insert(rsp.headers_mut());
}

/// Checks the checksum of a received answer to a request.
pub fn check_response<B>(rsp: &Response<B>, request: Seal) -> SealCheck {
    Seal::of_response(rsp.status(), rsp.headers(), request).check(rsp.headers())
}

/// Hashes headers independently of their order, which the receiver may change.
fn hash_headers(headers: &HeaderMap) -> u64 {
    let sealed = headers.iter().filter(|(name, _)| !UNSEALED.contains(name));
    sealed.fold(0, |sum: u64, (name, value)| {
        let mut hasher = SipHasher13::new();
        write_part(&mut hasher, name.as_str().as_bytes());
        write_part(&mut hasher, value.as_bytes());
        sum.wrapping_add(hasher.finish())
    })
}

/// Hashes one part of a head with its length, so that parts cannot run together.
fn write_part(hasher: &mut SipHasher13, part: &[u8]) {
    hasher.write(&(part.len() as u64).to_be_bytes());
    hasher.write(part);
}

/// Server side of one connection of another daemon: checks requests and seals answers.
#[derive(Clone, Debug)]
pub struct Sealed<S> {
    inner: S,
}

impl<S> Sealed<S> {
    /// Wraps the service for a new connection.
    pub fn new(inner: S) -> Self {
        Self { inner }
    }
}

impl<S, B> Service<Request<B>> for Sealed<S>
where
    S: Service<Request<B>, Response = Response<RelayBody>, Error = Infallible>,
    S::Future: Send + 'static,
{
    type Response = Response<RelayBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, mut req: Request<B>) -> Self::Future {
        let seal = match check_request(&req) {
            SealCheck::Valid(seal) => seal,
            check @ (SealCheck::Missing | SealCheck::Broken) => {
                spdlog::warn!("event=head-corrupted of=request check={check:?}");
                return Box::pin(std::future::ready(Ok(refuse_corrupted())));
            }
        };
        req.headers_mut().remove(SEAL_NUMBER);
        req.headers_mut().remove(SEAL);
        let answer = self.inner.call(req);
        Box::pin(async move {
            let mut rsp = answer.await?;
            seal_response(&mut rsp, seal);
            Ok(rsp)
        })
    }
}

/// Returns the answer to a request whose head is not as it was sent.
///
/// It has no checksum, so that the sender gives up the connection. It states an outcome for
/// senders that believe it all the same, which must not take it for the upstream's answer. That
/// outcome is not `not-run`, since nothing is known of the request that was sent.
fn refuse_corrupted() -> Response<RelayBody> {
    Refusal::unknown(Reason::PeerFailed).into_response()
}
