//! Middleware that removes endivescale's own headers from requests whose sender may not set
//! them.

use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use http::HeaderMap;
use http::HeaderName;
use http::Request;
use tower::Layer;
use tower::Service;

use crate::request::HEADER_PREFIX;

/// Called for each request with a header that its sender may not set.
pub type OnStripped = Arc<dyn Fn() + Send + Sync>;

/// Layer that removes endivescale's own headers from requests, except for allowed ones.
#[derive(Clone)]
pub struct StripLayer {
    allowed: &'static [HeaderName],
    on_stripped: OnStripped,
}

impl StripLayer {
    /// Creates a layer that keeps the `allowed` headers and calls `on_stripped` for each
    /// request from which a header was removed.
    pub fn new(allowed: &'static [HeaderName], on_stripped: OnStripped) -> Self {
        Self { allowed, on_stripped }
    }
}

impl<S> Layer<S> for StripLayer {
    type Service = Strip<S>;

    fn layer(&self, inner: S) -> Self::Service {
        Strip { inner, layer: self.clone() }
    }
}

/// Service created by [`StripLayer`].
#[derive(Clone)]
pub struct Strip<S> {
    inner: S,
    layer: StripLayer,
}

impl<S, B> Service<Request<B>> for Strip<S>
where
    S: Service<Request<B>>,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, mut req: Request<B>) -> Self::Future {
        if strip(req.headers_mut(), self.layer.allowed) {
            (self.layer.on_stripped)();
        }
        self.inner.call(req)
    }
}

/// Removes endivescale's own headers, except for the `allowed` ones, from `headers`. Returns
/// whether any was removed.
pub fn strip(headers: &mut HeaderMap, allowed: &[HeaderName]) -> bool {
    let has_prefix = |name: &HeaderName| name.as_str().starts_with(HEADER_PREFIX);
    let forbidden: Vec<HeaderName> = headers
        .keys()
        .filter(|&name| has_prefix(name) && !allowed.contains(name))
        .cloned()
        .collect();
    for name in &forbidden {
        headers.remove(name);
    }
    !forbidden.is_empty()
}
