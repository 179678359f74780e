//! Bounds the begin of runs at the upstream by the stops of this daemon and of the one that
//! sent the request; see `docs/design/stopping.md`.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::call::leaving_retry_after;
use crate::connection::body::RelayBody;
use crate::connection::body::RelayError;
use crate::process::admission::Completion;
use crate::process::node::BoundedRun;
use crate::process::node::Node;
use crate::process::node::RunTimer;
use crate::request::Reason;
use crate::request::Refusal;

/// The stops that bound when a request may begin to run.
#[derive(Clone, Debug)]
pub(super) struct StopBound {
    node: Arc<Node>,
    run: BoundedRun,
}

impl StopBound {
    pub(super) fn new(node: &Arc<Node>, run: BoundedRun) -> Self {
        Self { node: Arc::clone(node), run }
    }

    /// Runs `waiting`, for which the request is not passed on, until it is too late to begin.
    /// A wait that ends at that moment has ended; [`Self::check`] is called before the request is
    /// sent. `waiting` is [`Unpin`] because this future would otherwise hold a second copy of it.
    pub(super) async fn bound<T>(
        &self,
        waiting: impl Future<Output = Result<T, Refusal>> + Unpin,
    ) -> Result<T, Refusal> {
        tokio::select! {
            // Most requests need not wait, and the bound costs more than the check.
            biased;
            result = waiting => result,
            () = self.node.wait_latest_start(&self.run) => Err(self.refuse()),
        }
    }

    /// Refuses the request if it is too late to begin.
    pub(super) fn check(&self) -> Result<(), Refusal> {
        match self.node.is_too_late_to_start(&self.run) {
            true => Err(self.refuse()),
            false => Ok(()),
        }
    }

    /// Returns the refusal of a request that is too late to begin.
    pub(super) fn refuse(&self) -> Refusal {
        Refusal::not_run(self.reason()).retry_after(leaving_retry_after())
    }

    /// Returns why the request may not begin.
    pub(super) fn reason(&self) -> Reason {
        let is_own = self.run.sender == self.node.incarnation;
        match is_own || self.node.is_stopping_sender(self.run.sender) {
            true => Reason::SenderStopping,
            false => Reason::Leaving,
        }
    }
}

/// How far the passing of a streamed body to the upstream has come.
#[derive(Debug)]
pub(super) struct Passing {
    timer: Arc<RunTimer>,
    answer_begun: AtomicBool,
    was_broken_off: AtomicBool,
}

impl Passing {
    pub(super) fn new(timer: Arc<RunTimer>) -> Arc<Self> {
        let (answer_begun, was_broken_off) = (AtomicBool::new(false), AtomicBool::new(false));
        Arc::new(Self { timer, answer_begun, was_broken_off })
    }

    /// Records that the whole request is passed on at once.
    pub(super) fn whole(&self) {
        self.timer.begin();
    }

    /// Records that the upstream has begun to answer, after which nothing is broken off.
    pub(super) fn answer_begun(&self) {
        self.answer_begun.store(true, Ordering::Relaxed);
        self.timer.begin();
    }

    /// Records how the run ended.
    pub(super) fn end(&self, completion: Completion) {
        self.timer.end(completion);
    }

    /// Whether the body was broken off because of a stop.
    pub(super) fn was_broken_off(&self) -> bool {
        self.was_broken_off.load(Ordering::Relaxed)
    }
}

/// A body that fails if its end has not arrived when it is too late to begin the run.
struct BoundedBody {
    inner: RelayBody,
    too_late: Pin<Box<dyn Future<Output = ()> + Send>>,
    passing: Arc<Passing>,
}

/// Bounds a body that is passed on while it arrives.
pub(super) fn bound_body(body: RelayBody, bound: StopBound, passing: Arc<Passing>) -> RelayBody {
    let too_late = Box::pin(async move { bound.node.wait_latest_start(&bound.run).await });
    BoundedBody { inner: body, too_late, passing }.boxed_unsync()
}

impl Body for BoundedBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let this = &mut *self;
        if !this.passing.answer_begun.load(Ordering::Relaxed)
            && this.too_late.as_mut().poll(cx).is_ready()
        {
            this.passing.was_broken_off.store(true, Ordering::Relaxed);
            return Poll::Ready(Some(Err(RelayError::Ended)));
        }
        let frame = ready!(Pin::new(&mut this.inner).poll_frame(cx));
        if frame.is_none() || this.inner.is_end_stream() {
            this.passing.timer.begin();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
