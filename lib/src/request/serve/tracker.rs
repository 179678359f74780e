//! Tracks one request until its response ends and records the result.

use std::sync::Arc;
use std::time::Duration;

use http::Response;

use super::call::leaving_retry_after;
use crate::connection::body::BodyEnd;
use crate::connection::body::OnEnd;
use crate::connection::body::RelayBody;
use crate::process::burn::Cause;
use crate::process::burn::Class;
use crate::process::burn::Ending;
use crate::process::burn::Fault;
use crate::process::burn::Origin;
use crate::process::burn::Role;
use crate::process::log::Decision;
use crate::process::log::LoggedRequest;
use crate::process::metrics::Counter;
use crate::process::node::End;
use crate::process::node::InProgress;
use crate::process::node::Node;
use crate::request::Context;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::message::Inbound;

/// Tracks one request that the daemon serves in one role.
///
/// If dropped before the response ends, records the request as cancelled.
#[derive(Debug)]
pub(super) struct RequestTracker {
    node: Arc<Node>,
    role: Role,
    started_at: Duration,
    class_and_weight: Option<(Class, u32)>,
    subject: Option<LoggedRequest>,
    failure: Option<Cause>,
    has_ended: bool,
    in_progress: Arc<InProgress>,
}

impl RequestTracker {
    /// Starts to track a request that has just arrived.
    pub(super) fn begin(node: &Arc<Node>, role: Role) -> Self {
        // Must come before any decision about the request; see `Lifecycle::begin`.
        let in_progress = Arc::new(node.lifecycle.begin(role));
        node.metrics.count(match role {
            Role::Entry => Counter::CallerRequests,
            Role::Outbound => Counter::UpstreamCalls,
            Role::Owner => Counter::PeerRequests,
        });
        Self {
            node: Arc::clone(node),
            role,
            started_at: node.clock.now(),
            class_and_weight: None,
            subject: None,
            failure: None,
            has_ended: false,
            in_progress,
        }
    }

    /// Returns what keeps the request among those in progress.
    pub(super) fn in_progress(&self) -> Arc<InProgress> {
        Arc::clone(&self.in_progress)
    }

    fn set_name(&self, inbound: &Inbound) {
        if self.subject.is_none() {
            self.in_progress.handle().set_name(inbound.name.as_ref());
        }
    }

    /// Sets the class and the log subject of the request once its head was read.
    pub(super) fn describe(&mut self, inbound: &Inbound, cx: &Context) {
        let service = inbound.service.clone();
        let class = Class { role: self.role, service, criticality: cx.criticality };
        self.class_and_weight = Some((class, cx.weight));
        self.set_name(inbound);
        let subject = LoggedRequest::new(inbound.name.as_ref(), &inbound.service, cx);
        self.subject = Some(subject.of_customer(inbound.customer.as_ref()));
    }

    /// Sets the log subject of a request that may be refused before its rule or route is
    /// applied.
    pub(super) fn describe_caller(&mut self, inbound: &Inbound) {
        self.set_name(inbound);
        let subject = LoggedRequest::unplanned(inbound.name.as_ref(), &inbound.service);
        self.subject = Some(subject.of_customer(inbound.customer.as_ref()));
    }

    fn log(&self, decision: &Decision<'_>) {
        self.node.decisions.write(self.node.clock.now(), self.subject.as_ref(), decision);
    }

    fn elapsed(&self) -> Duration {
        self.node.clock.now().saturating_sub(self.started_at)
    }

    /// Records a refusal or failure and builds the response for it.
    pub(super) fn refuse(&mut self, refusal: Refusal) -> Response<RelayBody> {
        self.node.metrics.count(Counter::Refused(refusal.reason));
        let origin = refusal.origin;
        let after = self.elapsed();
        self.log(&Decision::Refused { role: self.role, refusal: &refusal, after });
        let fault = Fault::Refused(refusal.reason);
        self.failure = Some(Cause { fault, outcome: refusal.outcome, origin });
        match self.role {
            Role::Entry | Role::Outbound => self.node.dialect.refuse(refusal),
            Role::Owner => refusal.into_response(),
        }
    }

    /// Records a server error that the upstream returned, and marks the response for
    /// the sender.
    ///
    /// A response to another daemon is not marked, because it is the upstream's
    /// complete response and is relayed with its body.
    pub(super) fn record_upstream_error(&mut self, rsp: &mut Response<RelayBody>) {
        if !rsp.status().is_server_error() || self.failure.is_some() {
            return;
        }
        let reason = Reason::UpstreamFailed;
        let fault = Fault::Refused(reason);
        let origin = if self.role == Role::Owner { Origin::Here } else { Origin::Below };
        self.failure = Some(Cause { fault, outcome: Outcome::Ran, origin });
        if self.role != Role::Owner {
            self.node.dialect.mark_failure(rsp.headers_mut());
        }
    }

    fn ending(&self, end: BodyEnd) -> Ending {
        match (end, self.failure) {
            (_, Some(cause)) => Ending::Failed(cause),
            (BodyEnd::Whole, None) => Ending::Complete(self.elapsed()),
            (BodyEnd::Failed, None) => Ending::Failed(Cause {
                fault: Fault::Truncated,
                outcome: Outcome::Ran,
                origin: Origin::Below,
            }),
            (BodyEnd::Dropped, None) => Ending::Cancelled,
        }
    }
}

impl OnEnd for RequestTracker {
    fn on_end(&mut self, end: BodyEnd) {
        self.has_ended = true;
        let ending = self.ending(end);
        if self.in_progress.end() != End::Cut {
            self.in_progress.set_end(match ending {
                Ending::Complete(_) => End::Answered,
                Ending::Failed(Cause { outcome: Outcome::NotRun, .. }) => End::Refused,
                Ending::Failed(_) => End::Failed,
                Ending::Cancelled => End::Cancelled,
            });
        }
        match ending {
            Ending::Complete(_) => self.node.metrics.count(Counter::CompleteResponses),
            Ending::Failed(Cause { fault: Fault::Truncated, .. }) => {
                self.node.metrics.count(Counter::TruncatedResponses);
            }
            Ending::Failed(_) => {}
            Ending::Cancelled => {
                self.node.metrics.count(Counter::Cancelled);
                self.log(&Decision::Cancelled { role: self.role, after: self.elapsed() });
            }
        }
        if let Some((class, weight)) = &self.class_and_weight {
            let now = self.node.clock.now();
            self.node.burn.lock().record(now, class, *weight, ending);
        }
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if !self.has_ended {
            self.on_end(BodyEnd::Dropped);
        }
    }
}

/// Serves a request until this daemon's stop ends.
///
/// A process that ended would close the connection, which tells the sender nothing. What was
/// not passed on is refused as not run.
///
/// `serving` is [`Unpin`] because this future would otherwise hold a second copy of it.
pub(super) async fn serve_until_cutoff<T>(
    node: &Node,
    in_progress: &InProgress,
    serving: impl Future<Output = Result<T, Refusal>> + Unpin,
) -> Result<T, Refusal> {
    tokio::select! {
        biased;
        result = serving => result,
        () = node.lifecycle.wait_cutoff() => Err(cut_off(node, in_progress)),
    }
}

fn cut_off(node: &Node, in_progress: &InProgress) -> Refusal {
    let handle = in_progress.handle();
    if handle.try_refuse() {
        return Refusal::not_run(Reason::Leaving).retry_after(leaving_retry_after());
    }
    in_progress.set_end(End::Cut);
    if let Some(request) = handle.get() {
        node.record_cut(&request);
    }
    handle.set_cut();
    Refusal::unknown(Reason::Leaving)
}
