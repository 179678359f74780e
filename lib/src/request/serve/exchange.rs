//! Sends a request to the local upstream and classifies the response.

use std::sync::Arc;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Body as _;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::owner::is_queue_closed;
use super::stop_bound::Passing;
use super::stop_bound::StopBound;
use super::stop_bound::bound_body;
use crate::connection::body::RelayBody;
use crate::connection::strip::strip;
use crate::connection::upstream::Lease;
use crate::connection::upstream::UpstreamError;
use crate::process::InstanceId;
use crate::process::admission::Admission;
use crate::process::admission::Completion;
use crate::process::log::Decision;
use crate::process::log::LoggedRequest;
use crate::process::membership::LocalStanding;
use crate::process::metrics::Counter;
use crate::process::node::InProgress;
use crate::process::node::Node;
use crate::process::node::Permit;
use crate::process::node::RunGuard;
use crate::process::repeats::Arrival;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::dialect::ResponseClass;
use crate::request::dialect::UnnamedInstance;
use crate::request::dialect::UpstreamInfo;
use crate::request::message::Inbound;
use crate::request::message::Payload;
use crate::request::parent::ParentGuard;

/// How many times one request is sent again to an upstream that refuses part of its
/// requests: enough for nearly all requests to succeed if it refuses half.
const MAX_RESENDS: u32 = 8;

/// One request at the upstream, with everything that must live until it ends.
pub(super) struct Exchange {
    pub(super) inbound: Inbound,
    pub(super) payload: Payload,
    pub(super) parent: ParentGuard,
    pub(super) permit: Permit,
    /// Keeps the daemon running until the exchange ends.
    pub(super) in_progress: Arc<InProgress>,
    /// The stops until which the request may be sent.
    pub(super) stop_bound: StopBound,
    /// How far the passing of the request to the upstream has come.
    pub(super) passing: Arc<Passing>,
    pub(super) deadline: Instant,
    /// The one instance that may run the request.
    pub(super) instance: InstanceId,
    /// Keeps the request among those that the upstream is running.
    pub(super) run: RunGuard,
    /// Status of the upstream's answer, once its head has arrived.
    pub(super) status: Option<StatusCode>,
}

impl Exchange {
    fn subject(&self) -> LoggedRequest {
        let inbound = &self.inbound;
        LoggedRequest::new(inbound.name.as_ref(), &inbound.service, &self.parent.parent().cx)
    }

    pub(super) fn complete(self, completion: Completion) {
        let has_succeeded = self.status.is_some_and(|status| !status.is_server_error());
        if completion == Completion::Answered && has_succeeded {
            self.run.answered();
        }
        match completion {
            Completion::Answered | Completion::Overloaded | Completion::AtRateLimit => {
                self.parent.parent().record_done();
            }
            Completion::Failed | Completion::TimedOut | Completion::Cancelled => {}
        }
        self.passing.end(completion);
        self.permit.complete(completion);
    }

    /// Builds the request for the upstream.
    ///
    /// # Errors
    ///
    /// Fails if the body was sent before and no copy is kept, or if the upstream cannot be told
    /// which instance may run the request.
    fn build_request(&mut self, node: &Node) -> Result<Request<RelayBody>, Refusal> {
        let body = self.payload.take_body().ok_or(Refusal::not_run(Reason::BadBody))?;
        let body = match self.payload.buffered() {
            Some(_) => {
                self.passing.whole();
                body
            }
            None => bound_body(body, self.stop_bound.clone(), Arc::clone(&self.passing)),
        };
        let Self { inbound, instance, parent, deadline, .. } = self;
        build_upstream_request(node, inbound, instance, body, parent, *deadline)
            .map_err(|UnnamedInstance| Refusal::not_run(Reason::InstanceGone))
    }

    /// Whether a request that the upstream refused should be sent to it again, and
    /// if so, counts the repeat.
    ///
    /// An upstream that refuses while it has free slots refuses only some requests
    /// and may accept the next attempt. Without free slots it is full.
    fn may_resend(&self, node: &Node) -> bool {
        let has_free_slots = node.gate.with_admission(Admission::has_spare_slots);
        let is_before_deadline = Instant::now() < self.deadline;
        has_free_slots
            && is_before_deadline
            && node.local_standing(&self.instance) == LocalStanding::Current
            && self.payload.has_body_left()
            && node.repeats.is_some()
            && self.has_room_for_calls(node)
            && !node.gate.is_at_rate_limit()
            && node.gate.try_resend()
            && node.count_arrival(&self.parent.parent().cx, Arrival::Resent)
    }

    /// Whether the services that such requests usually call would grant the calls of a repeat.
    fn has_room_for_calls(&self, node: &Node) -> bool {
        let parent = self.parent.parent();
        let level = node.repeat_level_below(&parent.kind);
        level.admits(parent.cx.criticality, parent.cx.hash)
    }
}

/// Sends a request to the upstream and waits for the head of the response, which still has the
/// headers of its connection.
///
/// If the upstream refuses while it has free slots, the request is sent again as
/// long as the limit on repeats allows.
pub(super) async fn send(
    node: &Arc<Node>,
    mut exchange: Exchange,
    wait_deadline: Instant,
) -> Result<(Response<Incoming>, Lease, Exchange), Refusal> {
    let mut resends = 0;
    loop {
        let (rsp, lease, class) = match send_once(node, &mut exchange, wait_deadline).await {
            Ok(received) => received,
            Err((refusal, completion)) => {
                let is_not_run = refusal.outcome == Outcome::NotRun;
                if is_not_run {
                    exchange.in_progress.handle().take_back();
                    exchange.run.not_run();
                }
                exchange.complete(completion);
                return Err(match is_not_run && resends > 0 {
                    // An earlier attempt has reached the upstream, which refused it.
                    true => Refusal::not_run(Reason::UpstreamShed),
                    false => refusal,
                });
            }
        };
        match class {
            ResponseClass::Answered => return accept_response(node, rsp, lease, exchange),
            ResponseClass::Shed if resends < MAX_RESENDS && exchange.may_resend(node) => {
                resends += 1;
                node.gate.record_resend();
                exchange.parent.parent().record_resend();
                node.metrics.count(Counter::RetriesSpent);
                let decision = Decision::Resent { times: resends, refused_on: lease.connection() };
                node.decisions.write(node.clock.now(), Some(&exchange.subject()), &decision);
                lease.discard_refusal(rsp, exchange.inbound.name.as_ref());
            }
            ResponseClass::Shed => {
                lease.discard_refusal(rsp, exchange.inbound.name.as_ref());
                let retries = exchange.parent.parent().take_retries();
                exchange.run.not_run();
                exchange.complete(match node.gate.is_at_rate_limit() {
                    true => Completion::AtRateLimit,
                    false => Completion::Overloaded,
                });
                return Err(Refusal::not_run(Reason::UpstreamShed).with_retries(retries));
            }
            ResponseClass::Misdirected => {
                node.record_departure(&exchange.instance);
                exchange.run.not_run();
                exchange.complete(Completion::Failed);
                return Err(Refusal::not_run(Reason::UpstreamMoved));
            }
            ResponseClass::Contradicted => {
                exchange.complete(Completion::Failed);
                return Err(Refusal::unknown(Reason::UpstreamFailed));
            }
            ResponseClass::Unusable => {
                let (status, connection) = (rsp.status(), lease.connection());
                let decision = Decision::UnusableStatus { status, connection };
                node.decisions.write(node.clock.now(), Some(&exchange.subject()), &decision);
                exchange.complete(Completion::Failed);
                return Err(Refusal::unknown(Reason::UpstreamFailed));
            }
            ResponseClass::Foreign => {
                let (status, connection) = (rsp.status(), lease.connection());
                let decision = Decision::ForeignAnswer { status, connection };
                node.decisions.write(node.clock.now(), Some(&exchange.subject()), &decision);
                exchange.complete(Completion::Failed);
                return Err(Refusal::unknown(Reason::AnswerForeign));
            }
        }
    }
}

/// Refuses a request if it is too late to send it, because of a stop or because its instance
/// has left.
fn check_may_send(
    node: &Node,
    instance: &InstanceId,
    stop_bound: &StopBound,
) -> Result<(), Refusal> {
    if is_queue_closed(node, instance) {
        return Err(Refusal::not_run(Reason::Leaving));
    }
    stop_bound.check()
}

/// Sends a request once and classifies the response by its head.
async fn send_once(
    node: &Arc<Node>,
    exchange: &mut Exchange,
    wait_deadline: Instant,
) -> Result<(Response<Incoming>, Lease, ResponseClass), (Refusal, Completion)> {
    let req = exchange.build_request(node);
    let req = req.map_err(|refusal| (refusal, Completion::Failed))?;
    let (instance, stop_bound) = (&exchange.instance, &exchange.stop_bound);
    let may_send = || check_may_send(node, instance, stop_bound);
    may_send().map_err(|refusal| (refusal, Completion::Cancelled))?;
    if !exchange.in_progress.handle().try_pass_on() {
        return Err((exchange.stop_bound.refuse(), Completion::Cancelled));
    }
    node.metrics.count(Counter::ForwardedToUpstream);
    let name = exchange.inbound.name.as_ref();
    let (inbound, cx) = (&exchange.inbound, &exchange.parent.parent().cx);
    let on_send = |connection| {
        // If the request runs twice all the same, the lines tell who sent it each time.
        if cx.non_idempotent {
            let subject = LoggedRequest::new(inbound.name.as_ref(), &inbound.service, cx);
            let decision = Decision::Sent { instance, connection, sender: cx.sender };
            node.decisions.write(node.clock.now(), Some(&subject), &decision);
        }
    };
    let sending = node.upstream.send(req, name, || may_send().is_ok(), on_send);
    match timeout_at(wait_deadline, sending).await {
        Ok(Ok((rsp, lease))) => {
            let class = classify_response(node, &rsp, exchange);
            record_notice(node, &rsp, exchange, class);
            Ok((rsp, lease, class))
        }
        Ok(Err(UpstreamError::Withheld)) => {
            let refusal = may_send().err().unwrap_or_else(|| exchange.stop_bound.refuse());
            Err((refusal, Completion::Cancelled))
        }
        Ok(Err(err)) if err.is_unsent() => {
            Err((Refusal::not_run(Reason::UpstreamUnreachable), Completion::Failed))
        }
        Ok(Err(_)) if exchange.passing.was_broken_off() => {
            Err((Refusal::unknown(exchange.stop_bound.reason()), Completion::Cancelled))
        }
        Ok(Err(_)) => {
            node.check_for_crash(&exchange.instance);
            Err((Refusal::unknown(Reason::UpstreamFailed), Completion::Failed))
        }
        Err(_) => Err((Refusal::unknown(Reason::DeadlineExceeded), Completion::TimedOut)),
    }
}

fn accept_response(
    node: &Node,
    mut rsp: Response<Incoming>,
    lease: Lease,
    mut exchange: Exchange,
) -> Result<(Response<Incoming>, Lease, Exchange), Refusal> {
    exchange.status = Some(rsp.status());
    if !is_delimited(&rsp) && !node.dialect.allows_close_delimited() {
        exchange.complete(Completion::Failed);
        return Err(Refusal::ran(Reason::AnswerUndelimited));
    }
    exchange.permit.answer_started();
    exchange.passing.answer_begun();
    exchange.in_progress.handle().set_answering();
    strip(rsp.headers_mut(), node.dialect.answer_headers());
    Ok((rsp, lease, exchange))
}

/// Whether a status is one of a final response. `http` also takes those beyond 599, which RFC 9110
/// does not know, and `hyper` takes 101 for final although no upgrade was asked for.
pub(super) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Classifies the upstream's response to a request.
///
/// A refusal counts as not run only if no call made on behalf of the request may
/// have run, because the effects of such calls are effects of the request.
fn classify_response(node: &Node, rsp: &Response<Incoming>, exchange: &Exchange) -> ResponseClass {
    if !is_final(rsp.status()) {
        return ResponseClass::Unusable;
    }
    let parent = exchange.parent.parent();
    let echo = node.dialect.echo(rsp.headers(), parent.name.as_ref());
    let class = node.dialect.classify_response(rsp.status(), rsp.headers());
    match class.for_echo(echo) {
        ResponseClass::Shed | ResponseClass::Misdirected
            if parent.has_child_that_may_have_run() =>
        {
            ResponseClass::Contradicted
        }
        class => class,
    }
}

/// Records what the upstream says about itself in a response.
fn record_notice(node: &Node, rsp: &Response<Incoming>, exchange: &Exchange, class: ResponseClass) {
    let is_late = match class {
        ResponseClass::Answered | ResponseClass::Shed | ResponseClass::Contradicted => false,
        ResponseClass::Foreign => true,
        // Another instance has answered, or nobody that could be believed.
        ResponseClass::Misdirected | ResponseClass::Unusable => return,
    };
    // An upstream may refuse or fail a request before it looks at whom the request is for.
    if class == ResponseClass::Answered && rsp.status().is_success() {
        node.record_run(&exchange.instance);
    }
    let notice = node.dialect.upstream_notice(rsp.headers());
    node.record_upstream_notice(&exchange.instance, &notice, is_late);
}

/// Whether a complete response body can be distinguished from a truncated one; see
/// `docs/design/answers.md`.
pub(super) fn is_delimited(rsp: &Response<Incoming>) -> bool {
    let body = rsp.body();
    let codings = rsp.headers().get_all(header::TRANSFER_ENCODING);
    let is_chunked = || codings.iter().any(|coding| coding.as_bytes().ends_with(b"chunked"));
    body.is_end_stream() || body.size_hint().exact().is_some() || is_chunked()
}

fn build_upstream_request(
    node: &Node,
    inbound: &Inbound,
    instance: &InstanceId,
    body: RelayBody,
    parent: &ParentGuard,
    deadline: Instant,
) -> Result<Request<RelayBody>, UnnamedInstance> {
    // Without this header, a GET or HEAD would be sent without its body.
    let is_chunked = !body.is_end_stream() && body.size_hint().exact().is_none();
    let mut req = Request::new(body);
    *req.method_mut() = inbound.method.clone();
    *req.uri_mut() = inbound.path.clone().into();
    *req.headers_mut() = inbound.headers.clone();
    let headers = req.headers_mut();
    strip(headers, &[]);
    if is_chunked {
        headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    }
    let info = UpstreamInfo {
        host: &inbound.host,
        name: inbound.name.as_ref(),
        origin: inbound.origin.as_ref(),
        customer: inbound.customer.as_ref(),
        service: &node.settings.daemon.service,
        instance,
        left: deadline.saturating_duration_since(Instant::now()),
        handle: parent.handle(),
    };
    node.dialect.insert_upstream_headers(headers, &info)?;
    Ok(req)
}
