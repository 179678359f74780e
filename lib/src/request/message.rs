//! Requests and answers as they pass through the daemon.

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
use super::idempotency::Asked;
use super::idempotency::Fingerprint;
use crate::connection::body;
use crate::connection::body::RelayBody;
use crate::process::RequestName;
use crate::process::ServiceName;
use crate::version::Plan;
use crate::version::Policy;

/// Longest request body that is held so that the request can be sent again.
pub(crate) const HELD_BODY_BYTES: u64 = 64 * 1024;
/// Longest name of a service.
const SERVICE_NAME_BYTES: usize = 253;

/// Headers that speak of one connection and are not passed on.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
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
    /// Host that the caller named, with its port if it gave one.
    pub host: String,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Name that the caller gave this attempt.
    pub name: Option<RequestName>,
    /// Service of the VM where the request began.
    pub origin: Option<ServiceName>,
    /// Method of the request.
    pub method: Method,
    /// Path with query.
    pub path: PathAndQuery,
    /// Headers to pass on.
    pub headers: HeaderMap,
}

/// The body of a request.
#[derive(Debug)]
pub enum Payload {
    /// The whole body is held, so the request can be sent again.
    Held(Bytes),
    /// The body is relayed while it arrives, so it can be sent one time.
    Streamed(Option<RelayBody>),
}

impl Inbound {
    /// Splits a request into its head and body.
    ///
    /// # Errors
    ///
    /// Fails if the request names no service or its head is longer than
    /// `max_head` bytes.
    pub fn read(req: Request<RelayBody>, max_head: usize) -> Result<(Self, RelayBody), Refusal> {
        let (parts, body) = req.into_parts();
        if head_bytes(&parts) > max_head {
            return Err(Refusal::not_run(Reason::HeadTooLong));
        }
        let host = host(&parts).ok_or(Refusal::not_run(Reason::Malformed))?.to_owned();
        let service = service_name(&host).ok_or(Refusal::not_run(Reason::Malformed))?;
        let path = parts.uri.path_and_query().cloned();
        let path = path.ok_or(Refusal::not_run(Reason::Malformed))?;
        let mut headers = parts.headers;
        headers.remove(header::HOST);
        remove_hop_by_hop(&mut headers);
        let inbound =
            Self { host, service, name: None, origin: None, method: parts.method, path, headers };
        Ok((inbound, body))
    }

    /// Finds how the request is served, and with it its service.
    ///
    /// # Errors
    ///
    /// Fails if nothing serves the request.
    pub fn plan(&mut self, policy: &Policy) -> Result<Plan, Refusal> {
        let plan = policy.plan(&self.host, &self.method, self.path.path());
        let plan = plan.ok_or(Refusal::not_run(Reason::NoRoute))?;
        self.service = plan.service.clone();
        Ok(plan)
    }

    /// Returns the caller's name for the request, if it gave one.
    pub fn key(&self) -> Option<&[u8]> {
        self.headers.get(super::IDEMPOTENCY_KEY).map(|key| key.as_bytes())
    }

    /// Returns what an idempotency token is bound to.
    pub fn fingerprint(&self, payload: &Payload) -> Fingerprint {
        self.digest(payload.held())
    }

    /// Returns what tells the calls of one request apart: the caller's name for
    /// the call, or else all of the call that is known.
    pub fn call_identity(&self, payload: &Payload) -> Fingerprint {
        let unnamed = self.key().is_none();
        self.digest(payload.held().filter(|_| unnamed))
    }

    fn digest(&self, body: Option<&[u8]>) -> Fingerprint {
        Fingerprint::new(&Asked {
            service: self.service.as_str(),
            method: &self.method,
            path: self.path.as_str(),
            key: self.key(),
            body,
        })
    }

    /// Adds what a daemon tells another of the request, beside its context.
    fn tell_peer(&self, headers: &mut HeaderMap) {
        let mut insert = |name, text: &str, is_unique| {
            let Ok(mut value) = HeaderValue::from_str(text) else { return };
            // A value that never comes again is kept out of the table of headers
            // that the connection compresses by.
            value.set_sensitive(is_unique);
            headers.insert(name, value);
        };
        insert(super::SERVICE, self.service.as_str(), false);
        if let Some(origin) = &self.origin {
            insert(super::ORIGIN, origin.as_str(), false);
        }
        if let Some(name) = &self.name {
            insert(super::NAME, name.as_str(), true);
        }
    }

    /// Takes what [`Self::to_request`] added on the other daemon.
    pub fn hear_peer(&mut self) {
        let mut take = |name| {
            let value = self.headers.remove(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let service = take(super::SERVICE);
        let origin = take(super::ORIGIN);
        let name = take(super::NAME);
        if let Some(service) = service {
            self.service = service.as_str().into();
        }
        self.origin = origin.map(|origin| origin.as_str().into());
        self.name = name.map(|name| name.as_str().into());
    }

    /// Builds a request with the URI that an HTTP/2 connection needs.
    ///
    /// # Errors
    ///
    /// Fails if the service's name cannot stand in a URI.
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
        self.tell_peer(req.headers_mut());
        Ok(req)
    }
}

impl Payload {
    /// Holds a short body and streams a long one.
    ///
    /// # Errors
    ///
    /// Fails if a short body ends early or has not arrived by `deadline`; nothing
    /// was passed on then.
    pub async fn read(incoming: RelayBody, deadline: Instant) -> Result<Self, Refusal> {
        if incoming.is_end_stream() {
            return Ok(Self::Held(Bytes::new()));
        }
        let is_short = incoming.size_hint().upper().is_some_and(|len| len <= HELD_BODY_BYTES);
        if !is_short {
            return Ok(Self::Streamed(Some(incoming)));
        }
        let reading = body::collect(incoming, HELD_BODY_BYTES as usize);
        match timeout_at(deadline, reading).await {
            Ok(Ok(held)) => Ok(Self::Held(held)),
            Ok(Err(_)) => Err(Refusal::not_run(Reason::BadBody)),
            Err(_) => Err(Refusal::not_run(Reason::Expired)),
        }
    }

    /// Returns the body for one more attempt; `None` if it was streamed already.
    pub fn take_body(&mut self) -> Option<RelayBody> {
        match self {
            Self::Held(bytes) if bytes.is_empty() => Some(body::empty()),
            Self::Held(bytes) => Some(body::full(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Returns the whole body, if it is held.
    pub fn held(&self) -> Option<&[u8]> {
        match self {
            Self::Held(bytes) => Some(bytes),
            Self::Streamed(_) => None,
        }
    }

    /// Whether [`Self::take_body`] will return a body.
    pub fn is_left(&self) -> bool {
        matches!(self, Self::Held(_) | Self::Streamed(Some(_)))
    }
}

/// Size of a request's head, without what separates its parts.
fn head_bytes(parts: &request::Parts) -> usize {
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
        && name.len() <= SERVICE_NAME_BYTES
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'.' || b == b'_');
    is_valid.then(|| ServiceName::from(name))
}

/// Removes the headers that speak of one connection, the ones that the
/// `Connection` header names included.
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
