//! Hands a request to the local upstream.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::track::Tracked;
use crate::connection::body;
use crate::connection::body::BodyEnd;
use crate::connection::body::GuardedBody;
use crate::connection::body::OnEnd;
use crate::connection::body::RelayBody;
use crate::connection::strip::strip;
use crate::connection::upstream::Lease;
use crate::process::InstanceId;
use crate::process::admission::Completion;
use crate::process::admission::Level;
use crate::process::admission::Shed;
use crate::process::admission::ShedReason;
use crate::process::admission::Work;
use crate::process::burn::Role;
use crate::process::metrics::Counter;
use crate::process::node::InProgress;
use crate::process::node::Node;
use crate::process::node::Permit;
use crate::request::Context;
use crate::request::LEAVING;
use crate::request::LEVEL;
use crate::request::Outcome;
use crate::request::PATH_LEVEL;
use crate::request::RETRIES_LEFT;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::dialect::Claim;
use crate::request::dialect::Handover;
use crate::request::message::Inbound;
use crate::request::message::remove_hop_by_hop;
use crate::request::parent::OpenParent;

/// Deepest chain of calls that is served.
const MAX_DEPTH: u8 = 64;
/// Time beyond the deadline for which a non-idempotent request that has begun
/// is left to finish.
const LATE_FINISH_GRACE: Duration = Duration::from_secs(30);
/// Time for which a leaving daemon still hands queued requests to its upstream.
const QUEUE_NOTICE: Duration = Duration::from_secs(2);
/// Longest whole answer to a non-idempotent request, in bytes.
pub(super) const MAX_HELD_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Serves a request for the local upstream and marks the answer for the sender.
pub(super) async fn serve(
    node: &Arc<Node>,
    cx: Context,
    inbound: &Inbound,
    instance: &InstanceId,
    body: RelayBody,
) -> Response<RelayBody> {
    let mut tracked = Tracked::begin(node, Role::Owner);
    tracked.describe(&inbound.service, cx.criticality, cx.weight);
    let retries = cx.retries;
    let path_level = Arc::new(Mutex::new(Level::OPEN));
    let served = try_serve(node, cx, inbound, instance, body, &path_level).await;
    let mut rsp = served.unwrap_or_else(|refusal| {
        // What was refused before it began has spent nothing.
        let left = match refusal.outcome {
            Outcome::NotRun => refusal.retries_left.unwrap_or(retries),
            Outcome::Unknown | Outcome::Ran => refusal.retries_left.unwrap_or(0),
        };
        tracked.refuse(refusal.with_retries(left))
    });
    tracked.mark_failure(&mut rsp);
    let level = node.gate.level();
    let path_level = level.min(*path_level.lock());
    insert_level(rsp.headers_mut(), LEVEL, level);
    insert_level(rsp.headers_mut(), PATH_LEVEL, path_level);
    if node.lifecycle.is_leaving() {
        rsp.headers_mut().insert(LEAVING, HeaderValue::from_static("1"));
    }
    let latest = Instant::now() + node.settings.limits.max_deadline + LATE_FINISH_GRACE;
    rsp.map(|body| GuardedBody::new(body, latest, tracked).boxed_unsync())
}

/// Levels travel only while they refuse something.
fn insert_level(headers: &mut HeaderMap, name: HeaderName, level: Level) {
    if level == Level::OPEN {
        return;
    }
    if let Ok(value) = HeaderValue::try_from(level.to_string()) {
        headers.insert(name, value);
    }
}

async fn try_serve(
    node: &Arc<Node>,
    cx: Context,
    inbound: &Inbound,
    instance: &InstanceId,
    body: RelayBody,
    path_level: &Arc<Mutex<Level>>,
) -> Result<Response<RelayBody>, Refusal> {
    let in_progress = node.lifecycle.begin();
    if node.lifecycle.is_leaving() {
        return Err(Refusal::not_run(Reason::Leaving));
    }
    if cx.depth > MAX_DEPTH {
        return Err(Refusal::not_run(Reason::TooDeep));
    }
    if node.departed.lock().has(instance) {
        return Err(Refusal::not_run(Reason::InstanceGone));
    }
    if cx.repeat && !has_room_for_repeat(node) {
        return Err(Refusal::not_run(Reason::RetriesSpent));
    }
    let deadline = Instant::now() + cx.remaining;
    let work = work(node, &cx);
    let permit = tokio::select! {
        entered = node.gate.enter(work) => entered.map_err(shed)?,
        () = queue_closed(node) => return Err(Refusal::not_run(Reason::Leaving)),
    };
    // The process may have been paused while the request waited.
    if Instant::now() >= deadline {
        return Err(Refusal::not_run(Reason::Expired));
    }
    if !count_arrival(node, cx.repeat) {
        return Err(Refusal::not_run(Reason::RetriesSpent));
    }
    let non_idempotent = cx.non_idempotent;
    let name = inbound.name.clone();
    let parent = node.parents.open(cx, name, deadline, Arc::clone(path_level));
    let req = upstream_request(node, inbound, instance, body, &parent, deadline);
    let instance = instance.clone();
    let exchange = Exchange { parent, permit, _in_progress: in_progress, deadline, instance };
    match non_idempotent {
        true => run_detached(node, req, exchange).await,
        false => run_attached(node, req, exchange).await,
    }
}

fn has_room_for_repeat(node: &Node) -> bool {
    let Some(repeats) = &node.repeats else { return true };
    repeats.lock().has_room(node.clock.now())
}

/// Counts a request that is about to reach the upstream; returns whether it may.
fn count_arrival(node: &Node, repeat: bool) -> bool {
    let Some(repeats) = &node.repeats else { return true };
    let (mut repeats, now) = (repeats.lock(), node.clock.now());
    if repeat {
        return repeats.repeat(now);
    }
    repeats.first(now);
    true
}

/// Waits until queued requests are to be refused because the daemon leaves.
async fn queue_closed(node: &Node) {
    node.lifecycle.wait_leaving().await;
    tokio::time::sleep(QUEUE_NOTICE).await;
}

/// One request at the upstream, with all that must be held until it ends.
struct Exchange {
    parent: OpenParent,
    permit: Permit,
    _in_progress: InProgress,
    deadline: Instant,
    /// The one instance that may run the request.
    instance: InstanceId,
}

impl Exchange {
    fn complete(self, completion: Completion) {
        self.permit.complete(completion);
    }
}

/// Runs a request that ends when its caller goes away.
async fn run_attached(
    node: &Arc<Node>,
    req: Request<RelayBody>,
    exchange: Exchange,
) -> Result<Response<RelayBody>, Refusal> {
    let deadline = exchange.deadline;
    let (rsp, lease, exchange) = send(node, req, exchange, deadline).await?;
    let retries = exchange.parent.parent().take_retries();
    let guard = Guard { exchange: Some(exchange), lease: Some(lease) };
    let body = |body| GuardedBody::new(body::relay(body), deadline, guard).boxed_unsync();
    let mut rsp = rsp.map(body);
    rsp.headers_mut().insert(RETRIES_LEFT, retries.into());
    Ok(rsp)
}

/// Runs a request that goes on to its end though its caller goes away, because
/// stopping it half way would leave its effect unknown.
async fn run_detached(
    node: &Arc<Node>,
    req: Request<RelayBody>,
    exchange: Exchange,
) -> Result<Response<RelayBody>, Refusal> {
    let (tx, rx) = oneshot::channel();
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let answered = run_to_end(&node, req, exchange).await;
        // Without a receiver, the upstream's work is done all the same.
        let _ = tx.send(answered);
    });
    rx.await.unwrap_or_else(|_| Err(Refusal::unknown(Reason::UpstreamFailed)))
}

async fn run_to_end(
    node: &Arc<Node>,
    req: Request<RelayBody>,
    exchange: Exchange,
) -> Result<Response<RelayBody>, Refusal> {
    let give_up = exchange.deadline + LATE_FINISH_GRACE;
    let (rsp, lease, exchange) = send(node, req, exchange, give_up).await?;
    let (parts, incoming) = rsp.into_parts();
    let guard = Guard { exchange: None, lease: Some(lease) };
    let guarded = GuardedBody::new(body::relay(incoming), give_up, guard).boxed_unsync();
    let held = body::collect(guarded, MAX_HELD_ANSWER_BYTES).await;
    let retries = exchange.parent.parent().take_retries();
    let Ok(held) = held else {
        exchange.complete(Completion::Failed);
        return Err(Refusal::ran(Reason::UpstreamFailed));
    };
    exchange.complete(Completion::Answered);
    let mut rsp = Response::from_parts(parts, body::full(held));
    rsp.headers_mut().insert(RETRIES_LEFT, retries.into());
    Ok(rsp)
}

/// Sends a request to the upstream and waits for the head of its answer.
async fn send(
    node: &Arc<Node>,
    req: Request<RelayBody>,
    exchange: Exchange,
    give_up: Instant,
) -> Result<(Response<Incoming>, Lease, Exchange), Refusal> {
    node.metrics.count(Counter::Handed);
    let instance = exchange.instance.clone();
    let (mut rsp, lease) = match timeout_at(give_up, node.upstream.send(req)).await {
        Ok(Ok(answered)) => answered,
        Ok(Err(err)) if err.is_unsent() => {
            exchange.complete(Completion::Failed);
            return Err(Refusal::not_run(Reason::UpstreamUnreachable));
        }
        Ok(Err(_)) => {
            exchange.complete(Completion::Failed);
            return Err(Refusal::unknown(Reason::UpstreamFailed));
        }
        Err(_) => {
            exchange.complete(Completion::TimedOut);
            return Err(Refusal::unknown(Reason::DeadlineExceeded));
        }
    };
    match claim(node, &rsp, &exchange) {
        Claim::Answered => {}
        Claim::Shed => {
            let retries = exchange.parent.parent().take_retries();
            exchange.complete(Completion::Overloaded);
            return Err(Refusal::not_run(Reason::UpstreamShed).with_retries(retries));
        }
        Claim::Elsewhere => {
            node.departed.lock().note(&instance);
            exchange.complete(Completion::Failed);
            return Err(Refusal::not_run(Reason::UpstreamMoved));
        }
        Claim::Foreign => {
            exchange.complete(Completion::Failed);
            return Err(Refusal::unknown(Reason::AnswerForeign));
        }
    }
    if !is_delimited(&rsp) && !node.dialect.ends_by_close() {
        exchange.complete(Completion::Failed);
        return Err(Refusal::ran(Reason::AnswerUndelimited));
    }
    exchange.permit.answer_started();
    remove_hop_by_hop(rsp.headers_mut());
    strip(rsp.headers_mut(), node.dialect.answer_headers());
    Ok((rsp, lease, exchange))
}

/// Returns what the upstream says of the request.
///
/// That it did not run is believed only if no call was made on the request's
/// behalf: what ran below belongs to the request, too.
fn claim(node: &Node, rsp: &Response<Incoming>, exchange: &Exchange) -> Claim {
    let parent = exchange.parent.parent();
    let claim = node.dialect.claim(rsp.status(), rsp.headers(), parent.name.as_ref());
    match claim {
        Claim::Shed if parent.has_child_that_may_have_run() => Claim::Answered,
        claim => claim,
    }
}

/// Whether the end of the answer's body can be told from a cut; see
/// `docs/design/answers.md`.
fn is_delimited(rsp: &Response<Incoming>) -> bool {
    let body = rsp.body();
    let codings = rsp.headers().get_all(header::TRANSFER_ENCODING);
    let is_chunked = || codings.iter().any(|coding| coding.as_bytes().ends_with(b"chunked"));
    body.is_end_stream() || body.size_hint().exact().is_some() || is_chunked()
}

/// Ends the exchange with the body of its answer.
struct Guard {
    exchange: Option<Exchange>,
    lease: Option<Lease>,
}

impl OnEnd for Guard {
    fn on_end(&mut self, end: BodyEnd) {
        let lease = self.lease.take();
        if let (BodyEnd::Whole, Some(lease)) = (end, lease) {
            lease.release();
        }
        let Some(exchange) = self.exchange.take() else { return };
        exchange.complete(match end {
            BodyEnd::Whole => Completion::Answered,
            BodyEnd::Failed => Completion::Failed,
            BodyEnd::Dropped => Completion::Cancelled,
        });
    }
}

fn work(node: &Node, cx: &Context) -> Work {
    Work {
        criticality: cx.criticality,
        hash: cx.hash,
        depth: cx.depth,
        deadline: node.clock.now() + cx.remaining,
        may_wait: cx.may_wait,
        weight: cx.weight,
    }
}

fn shed(shed: Shed) -> Refusal {
    let reason = match shed.reason {
        ShedReason::Level | ShedReason::QueueFull | ShedReason::NoWait => Reason::Overloaded,
        ShedReason::Deadline => Reason::Expired,
    };
    Refusal::not_run(reason).retry_after(shed.retry_after)
}

fn upstream_request(
    node: &Node,
    inbound: &Inbound,
    instance: &InstanceId,
    body: RelayBody,
    parent: &OpenParent,
    deadline: Instant,
) -> Request<RelayBody> {
    // A GET or HEAD would otherwise be sent without its body.
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
    let handover = Handover {
        host: &inbound.host,
        name: inbound.name.as_ref(),
        origin: inbound.origin.as_ref(),
        service: &node.settings.daemon.service,
        instance,
        left: deadline.saturating_duration_since(Instant::now()),
        handle: parent.handle(),
    };
    node.dialect.hand_over(headers, &handover);
    req
}
