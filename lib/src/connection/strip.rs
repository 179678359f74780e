//! Removes the headers that only a peer may set.

use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use http::HeaderMap;
use http::HeaderName;
use http::Request;
use tower::Layer;
use tower::Service;

use crate::request::HEADER_PREFIX;

/// Called for each request that carried a header which its sender may not set.
pub type OnStripped = Arc<dyn Fn() + Send + Sync>;

/// Layer that strips endivescale's own headers, but for those named.
#[derive(Clone)]
pub struct StripLayer {
    allowed: &'static [HeaderName],
    on_stripped: OnStripped,
}

impl StripLayer {
    /// Creates a layer that lets the `allowed` headers through.
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

/// Service that [`StripLayer`] makes.
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

/// Removes every header of ours from `headers`, but for the `allowed` ones, and
/// returns whether there was any.
pub fn strip(headers: &mut HeaderMap, allowed: &[HeaderName]) -> bool {
    let is_ours = |name: &HeaderName| name.as_str().starts_with(HEADER_PREFIX);
    let forbidden: Vec<HeaderName> =
        headers.keys().filter(|&name| is_ours(name) && !allowed.contains(name)).cloned().collect();
    for name in &forbidden {
        headers.remove(name);
    }
    !forbidden.is_empty()
}
