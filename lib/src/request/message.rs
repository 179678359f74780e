//! Requests as the daemon receives and forwards them.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::header;
use http::request;
use http::uri::PathAndQuery;
use hyper::body::Body as _;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::Reason;
use super::Refusal;
use super::idempotency::Fingerprint;
use super::idempotency::FingerprintInput;
use crate::connection::body;
use crate::connection::body::BodyMemory;
use crate::connection::body::BodyStart;
use crate::connection::body::RelayBody;
use crate::process::CustomerName;
use crate::process::RequestName;
use crate::process::ServiceName;
use crate::version::Plan;
use crate::version::Policy;

/// Longest request body that is buffered so that the request can be sent again.
pub(crate) const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;
/// Most bytes of a streamed body that are read while its request waits.
const MAX_READ_AHEAD_BYTES: usize = 4 * 1024 * 1024;
/// Longest name of a service, in bytes.
const MAX_SERVICE_NAME_BYTES: usize = 253;

/// Headers that concern a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request for a service, read from a listener.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// Host from the caller's request, with the port if there is one.
    pub host: String,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Name that the caller gave this attempt.
    pub name: Option<RequestName>,
    /// Service of the VM whose daemon received the request first.
    pub origin: Option<ServiceName>,
    /// Customer that the request belongs to, if the rules name customers.
    pub customer: Option<CustomerName>,
    /// Method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub path: PathAndQuery,
    /// Headers to forward.
    pub headers: HeaderMap,
}

/// The body of a request.
#[derive(Debug)]
pub enum Payload {
    /// The complete body is buffered, so the request can be sent again.
    Buffered(Bytes),
    /// The body is relayed while it arrives, so it can be sent only once; `None` after
    /// it was taken.
    Streamed(Option<RelayBody>),
}

impl Inbound {
    /// Splits a request into its head and body.
    ///
    /// # Errors
    ///
    /// Fails if the request names no valid service or has no path, or if its head is
    /// longer than `max_head_bytes`.
    pub fn read(
        req: Request<RelayBody>,
        max_head_bytes: usize,
    ) -> Result<(Self, RelayBody), Refusal> {
        let (parts, body) = req.into_parts();
        if count_head_bytes(&parts) > max_head_bytes {
            return Err(Refusal::not_run(Reason::HeadTooLong));
        }
        let host = host(&parts).ok_or(Refusal::not_run(Reason::Malformed))?.to_owned();
        let service = service_name(&host).ok_or(Refusal::not_run(Reason::Malformed))?;
        let path = parts.uri.path_and_query().cloned();
        let path = path.ok_or(Refusal::not_run(Reason::Malformed))?;
        let mut headers = parts.headers;
        headers.remove(header::HOST);
        remove_hop_by_hop(&mut headers);
        let inbound = Self {
            host,
            service,
            name: None,
            origin: None,
            customer: None,
            method: parts.method,
            path,
            headers,
        };
        Ok((inbound, body))
    }

    /// Returns the plan by which the rules serve the request, and sets the service of
    /// the request to that of the plan.
    ///
    /// # Errors
    ///
    /// Fails if no route matches the request.
    pub fn plan(&mut self, policy: &Policy) -> Result<Plan, Refusal> {
        let plan = policy.plan(&self.host, &self.method, self.path.path());
        let plan = plan.ok_or(Refusal::not_run(Reason::NoRoute))?;
        self.service = plan.service.clone();
        Ok(plan)
    }

    /// Returns the value of the `Idempotency-Key` header, if there is one.
    pub fn key(&self) -> Option<&[u8]> {
        self.headers.get(super::IDEMPOTENCY_KEY).map(|key| key.as_bytes())
    }

    /// Returns the fingerprint to which an idempotency token for the request is bound.
    pub fn fingerprint(&self, payload: &Payload) -> Fingerprint {
        self.compute_fingerprint(payload.buffered())
    }

    /// Returns the fingerprint that distinguishes this call from other calls made on
    /// behalf of the same request.
    ///
    /// A buffered body is part of the fingerprint only if the caller set no
    /// `Idempotency-Key`.
    pub fn call_identity(&self, payload: &Payload) -> Fingerprint {
        let has_no_key = self.key().is_none();
        self.compute_fingerprint(payload.buffered().filter(|_| has_no_key))
    }

    fn compute_fingerprint(&self, body: Option<&[u8]>) -> Fingerprint {
        Fingerprint::new(&FingerprintInput {
            service: self.service.as_str(),
            method: &self.method,
            path: self.path.as_str(),
            key: self.key(),
            body,
        })
    }

    /// Adds the headers about the request that daemons send to each other, except for
    /// its context.
    fn insert_peer_headers(&self, headers: &mut HeaderMap) {
        let mut insert = |name, text: &str, is_unique| {
            let Ok(mut value) = HeaderValue::from_str(text) else { return };
            // A value that is unique to the request must not enter the table by which
            // the connection compresses headers.
            value.set_sensitive(is_unique);
            headers.insert(name, value);
        };
        insert(super::SERVICE, self.service.as_str(), false);
        if let Some(origin) = &self.origin {
            insert(super::ORIGIN, origin.as_str(), false);
        }
        if let Some(customer) = &self.customer {
            insert(super::CUSTOMER, customer.as_str(), false);
        }
        if let Some(name) = &self.name {
            insert(super::NAME, name.as_str(), true);
        }
    }

    /// Removes the headers that [`Self::to_request`] added on the sending daemon and
    /// stores their values in the fields.
    pub fn take_peer_headers(&mut self) {
        let mut take_text = |name| {
            let value = self.headers.remove(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let service = take_text(super::SERVICE);
        let origin = take_text(super::ORIGIN);
        let name = take_text(super::NAME);
        let customer = take_text(super::CUSTOMER);
        if let Some(service) = service {
            self.service = service.as_str().into();
        }
        self.origin = origin.map(|origin| origin.as_str().into());
        self.name = name.map(|name| name.as_str().into());
        self.customer = customer.map(|customer| customer.as_str().into());
    }

    /// Builds the request to another daemon, with the absolute URI that HTTP/2 needs.
    ///
    /// # Errors
    ///
    /// Fails if the host and path don't form a valid URI.
    pub fn to_request(&self, body: RelayBody) -> Result<Request<RelayBody>, Refusal> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.host.as_str())
            .path_and_query(self.path.clone())
            .build()
            .map_err(|_| Refusal::not_run(Reason::Malformed))?;
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = uri;
        *req.headers_mut() = self.headers.clone();
        self.insert_peer_headers(req.headers_mut());
        Ok(req)
    }
}

impl Payload {
    /// Buffers a short body; a long one, or one of unknown length, is left to be
    /// streamed.
    ///
    /// # Errors
    ///
    /// Fails if a short body ends early or has not arrived by `deadline`. In that
    /// case nothing of the request was forwarded.
    pub async fn read(incoming: RelayBody, deadline: Instant) -> Result<Self, Refusal> {
        if incoming.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let is_bufferable =
            incoming.size_hint().upper().is_some_and(|len| len <= MAX_BUFFERED_BODY_BYTES);
        if !is_bufferable {
            return Ok(Self::Streamed(Some(incoming)));
        }
        let reading = body::collect(incoming, MAX_BUFFERED_BODY_BYTES as usize);
        match timeout_at(deadline, reading).await {
            Ok(Ok(bytes)) => Ok(Self::Buffered(bytes)),
            Ok(Err(_)) => Err(Refusal::not_run(Reason::BadBody)),
            Err(_) => Err(Refusal::not_run(Reason::Expired)),
        }
    }

    /// Waits for the first `len` bytes of a streamed body. A body that ends within them is
    /// buffered.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off or these bytes have not arrived by `deadline`. In that case
    /// nothing of the request was forwarded.
    pub async fn read_start(self, len: usize, deadline: Instant) -> Result<Self, Refusal> {
        let Self::Streamed(Some(body)) = self else { return Ok(self) };
        match timeout_at(deadline, body::read_start(body, len)).await {
            Ok(Ok(BodyStart::Whole(bytes))) => Ok(Self::Buffered(bytes)),
            Ok(Ok(BodyStart::Begun(body))) => Ok(Self::Streamed(Some(body))),
            Ok(Err(_)) => Err(Refusal::not_run(Reason::BadBody)),
            Err(_) => Err(Refusal::not_run(Reason::Expired)),
        }
    }

    /// Reads a streamed body ahead until `waiting` ends, as far as `memory` has room. Its sender may
    /// do nothing else before it has sent all of it.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off meanwhile. In that case nothing of the request was forwarded.
    pub(crate) async fn read_ahead<T>(
        &mut self,
        memory: &BodyMemory,
        waiting: impl Future<Output = T>,
    ) -> Result<T, Refusal> {
        let Self::Streamed(body) = self else { return Ok(waiting.await) };
        let Some(rest) = body.take() else { return Ok(waiting.await) };
        let read = memory.read_ahead(rest, MAX_READ_AHEAD_BYTES, waiting).await;
        let (rest, waited) = read.map_err(|_| Refusal::not_run(Reason::BadBody))?;
        *body = Some(rest);
        Ok(waited)
    }

    /// Returns the body for another attempt; `None` if it was a streamed one and has
    /// been taken already.
    pub fn take_body(&mut self) -> Option<RelayBody> {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => Some(body::empty()),
            Self::Buffered(bytes) => Some(body::full(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Returns the complete body, if it is buffered.
    pub fn buffered(&self) -> Option<&[u8]> {
        match self {
            Self::Buffered(bytes) => Some(bytes),
            Self::Streamed(_) => None,
        }
    }

    /// Returns whether [`Self::take_body`] will return a body.
    pub fn has_body_left(&self) -> bool {
        matches!(self, Self::Buffered(_) | Self::Streamed(Some(_)))
    }
}

/// Returns the size in bytes of a request's headers, path and query, without
/// separators.
fn count_head_bytes(parts: &request::Parts) -> usize {
    let headers = parts.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
    headers + parts.uri.path().len() + parts.uri.query().map_or(0, str::len)
}

fn host(parts: &request::Parts) -> Option<&str> {
    let from_uri = parts.uri.authority().map(|authority| authority.as_str());
    let from_host = || parts.headers.get(header::HOST)?.to_str().ok();
    from_uri.or_else(from_host)
}

fn service_name(host: &str) -> Option<ServiceName> {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let is_valid = !name.is_empty()
        && name.len() <= MAX_SERVICE_NAME_BYTES
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'.' || b == b'_');
    is_valid.then(|| ServiceName::from(name))
}

/// Removes the headers that concern a single connection, including those that the
/// `Connection` header names.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
